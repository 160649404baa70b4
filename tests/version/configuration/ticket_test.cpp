#include "common/error.hpp"
#include "common/hashing.hpp"
#include "common/json.hpp"
#include "version/configuration/ticket.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include <string>
#include <tuple>
#include <vector>

using namespace hickorygap;

namespace
{

const std::string full_ticket = R"({
    "ticket": 7, "comment": "first engines",
    "services": {
        "report-7b": {"kind": "engine", "model": "report-7b", "adapter": "",
            "version": "1", "load_bound": 1.25,
            "ranks": {"urgent": {"target_ms": 2000, "floor": 0.0},
                      "normal": {"target_ms": 8000, "floor": 0.2}}},
        "booking": {"kind": "plain", "path": "/booking",
            "repeatable": false},
        "old": null},
    "backend_servers": {
        "eng-1": {"address": "127.0.0.1:9001", "service": "report-7b",
            "failure_domain": "thess-a", "slots": 8, "state": "leaving",
            "checks_fencing": false},
        "eng-2": {"address": "[::1]:9002", "service": "report-7b",
            "failure_domain": "thess-b"}},
    "organisations": {
        "diarroi": {"api_key_digests": [
            "0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f20"],
            "highest_rank": "urgent", "weight": 2}},
    "voters": [3, 1, 2]})";

// Tokens of a small ticket, to be joined by whitespace and comments.
const std::vector<std::string> ticket_tokens{
    "{", "\"ticket\"", ":",     "4",          ",", "\"services\"",
    ":", "{",          "\"a\"", ":",          "{", "\"kind\"",
    ":", "\"plain\"",  ",",     "\"path\"",   ":", "\"/*x*/ //\\\"\"",
    "}", "}",          ",",     "\"voters\"", ":", "[",
    "1", "]",          "}"};

std::string error_message_of(const std::string& text)
{
    const auto result = parse_ticket(text);
    REQUIRE_FALSE(result.ok());
    CHECK(kind_of(result.status()) == error_kind::ticket_invalid);
    return std::string{result.status().message()};
}

} // namespace

// Guards against a member that is read into the wrong field or lost.
TEST_CASE("all members of a ticket are read")
{
    const auto parsed = parse_ticket(full_ticket);
    REQUIRE(parsed.ok());
    CHECK(parsed->document.number == 7);
    CHECK(parsed->comment == "first engines");
    CHECK_FALSE(parsed->services.at("old").has_value());
    const service& engine = *parsed->services.at("report-7b");
    CHECK(engine.id == hash_name("report-7b"));
    CHECK(engine.kind == service_kind::engine);
    CHECK(engine.ranks[0].target == std::chrono::seconds{2});
    CHECK(engine.ranks[1].floor == 0.2);
    CHECK(engine.ranks[2].target == std::chrono::seconds{10});
    const service& booking = *parsed->services.at("booking");
    CHECK(booking.kind == service_kind::plain);
    CHECK_FALSE(booking.repeatable);
    const backend_server& server = parsed->backend_servers.at("eng-1")->server;
    CHECK(server.host == "127.0.0.1");
    CHECK(server.port == 9001);
    CHECK(server.service == engine.id);
    CHECK(server.state == backend_server_state::leaving);
    CHECK_FALSE(server.checks_fencing);
    CHECK(parsed->backend_servers.at("eng-2")->server.host == "::1");
    const organisation& caller = *parsed->organisations.at("diarroi");
    CHECK(caller.api_key_digests.at(0).at(31) == 0x20);
    CHECK(caller.highest_rank == rank::urgent);
    CHECK(caller.weight == 2.0);
    CHECK(parsed->voters == std::vector<instance_id>{1, 2, 3});
}

// Guards against a stored ticket that parses to other content than the original
// document.
TEST_CASE("parsing the canonical text gives the same digest and text")
{
    const auto first = parse_ticket(full_ticket);
    REQUIRE(first.ok());
    const auto second = parse_ticket(first->document.text);
    REQUIRE(second.ok());
    CHECK(second->document.text == first->document.text);
    CHECK(second->document.content_digest == first->document.content_digest);
    CHECK(second->comment == first->comment);
}

// Guards against strings and numbers that change when they are written to the
// canonical text and parsed again.
TEST_CASE("strings and numbers are unchanged by the canonical text")
{
    rc::prop(
        "the canonical form keeps comment, model and weight",
        []()
        {
            const auto character = rc::gen::inRange<char>(' ', '~');
            const auto text = *rc::gen::container<std::string>(character);
            const auto weight = *rc::gen::inRange(1, 1'000'000'000) / 1e6;
            const auto first = parse_ticket(fmt::format(
                R"({{"ticket": 1, "comment": {0}, "services": {{"s": {{
                    "kind": "engine", "model": {1}}}}},
                    "organisations": {{"o": {{"weight": {2}}}}}}})",
                json_quote(text), json_quote("m" + text), weight + 1));
            RC_ASSERT(first.ok());
            const auto second = parse_ticket(first->document.text);
            RC_ASSERT(second.ok());
            RC_ASSERT(second->comment == text);
            RC_ASSERT(second->services.at("s")->model == "m" + text);
            RC_ASSERT(
                second->organisations.at("o")->weight ==
                first->organisations.at("o")->weight);
            RC_ASSERT(second->document.text == first->document.text);
        });
}

// Guards against a resent ticket that is refused as a conflict because only its
// whitespace differs, and against a comment marker inside a string that is
// taken for a comment.
TEST_CASE("the digest does not depend on whitespace and comments")
{
    rc::prop(
        "any filler between the tokens gives the same ticket",
        [](const std::vector<std::uint8_t>& choices)
        {
            const std::vector<std::string> separators{
                "", " ", "\n\t", "/* c */", "// \"c\n", "/*\"*/ ", "/**/"};
            std::string plain;
            std::string separated;
            for (std::size_t i = 0; i < ticket_tokens.size(); ++i)
            {
                plain += ticket_tokens[i];
                separated += ticket_tokens[i];
                if (!choices.empty())
                {
                    separated += separators.at(
                        choices[i % choices.size()] % separators.size());
                }
            }
            const auto expected = parse_ticket(plain);
            const auto result = parse_ticket(separated);
            RC_ASSERT(expected.ok());
            RC_ASSERT(result.ok());
            RC_ASSERT(result->services.at("a")->path == "/*x*/ //\"");
            RC_ASSERT(
                result->document.content_digest ==
                expected->document.content_digest);
        });
}

// Guards against different content that is taken for a resend of the same
// ticket.
TEST_CASE("the digest depends on every member")
{
    const auto original = parse_ticket(full_ticket)->document.content_digest;
    const auto [from, to] = GENERATE(table<std::string, std::string>(
        {{"\"ticket\": 7", "\"ticket\": 8"},
         {"\"old\": null", "\"older\": null"},
         {"2000", "2001"},
         {"\"floor\": 0.2", "\"floor\": 0.3"},
         {"1.25", "1.5"},
         {"\"version\": \"1\"", "\"version\": \"2\""},
         {"\"repeatable\": false", "\"repeatable\": true"},
         {"9001", "9003"},
         {"thess-a", "thess-c"},
         {"\"slots\": 8", "\"slots\": 9"},
         {"leaving", "serving"},
         {"\"checks_fencing\": false", "\"checks_fencing\": true"},
         {"1e1f20", "1e1f21"},
         {"\"highest_rank\": \"urgent\"", "\"highest_rank\": \"normal\""},
         {"\"weight\": 2", "\"weight\": 3"},
         {"[3, 1, 2]", "[3, 1]"}}));
    std::string changed = full_ticket;
    changed.replace(changed.find(from), from.size(), to);
    const auto result = parse_ticket(changed);
    REQUIRE(result.ok());
    CHECK(result->document.content_digest != original);
}

// Guards against an invalid member that is ignored, and against messages that
// don't name it.
TEST_CASE("invalid tickets are refused with the member in the message")
{
    const auto [text, expected] = GENERATE(table<std::string, std::string>(
        {{"", "no valid JSON"},
         {"[1]", "must be a JSON object"},
         {"{}", "ticket is missing"},
         {R"({"ticket": 0})", "from 1 to"},
         {R"({"ticket": -3})", "from 1 to"},
         {R"({"ticket": 1.5})", "whole number"},
         {R"({"ticket": "1"})", "whole number"},
         {R"({"ticket": 1, "ticket": 2})", "occurs twice"},
         {R"({"ticket": 1} {"ticket": 2})", "no valid JSON"},
         {R"({"ticket": 1, "servces": {}})", "nearest known key is services"},
         {R"({"ticket": 1, "services": []})", "services must be an object"},
         {R"({"ticket": 1, "services": {"a b": null}})", "name \"a b\""},
         {R"({"ticket": 1, "services": {"a": 3}})", "object or null"},
         {R"({"ticket": 1, "services": {"a": {}}})", "services.a.kind"},
         {R"({"ticket": 1, "services": {"a": {"kind": "engin"}}})",
          "engine, plain"},
         {R"({"ticket": 1, "services": {"a": {"kind": "engine"}}})",
          "services.a.model"},
         {R"({"ticket": 1, "services": {"a": {"kind": "plain",
             "path": "x"}}})",
          "services.a.path must start"},
         {R"({"ticket": 1, "services": {"a": {"kind": "engine",
             "model": "a\nb"}}})",
          "model holds control characters"},
         {R"({"ticket": 1, "services": {"a": {"kind": "plain", "path": "/",
             "ranks": {"urgent": {"target_ms": 0}}}}})",
          "services.a.ranks.urgent.target_ms must be a whole number from 1 "
          "to 86400000 ms; it is 0"},
         {R"({"ticket": 1, "services": {"a": {"kind": "plain", "path": "/",
             "ranks": {"urgent": {"floor": 0.5}, "normal": {"floor": 0.5}}
             }}})",
          "sum is below 1"},
         {R"({"ticket": 1, "services": {"a": {"kind": "plain", "path": "/",
             "load_bound": 0.9}}})",
          "load_bound must be a number from 1"},
         {R"({"ticket": 1, "backend_servers": {"e": {"address": "host:1",
             "service": "a", "failure_domain": "d"}}})",
          "backend_servers.e.address must be an IP number"},
         {R"({"ticket": 1, "backend_servers": {"e": {
             "address": "127.0.0.1:0", "service": "a",
             "failure_domain": "d"}}})",
          "port from 1 to 65535"},
         {R"({"ticket": 1, "backend_servers": {"e": {
             "address": "127.0.0.1:1", "service": "a"}}})",
          "failure_domain is missing"},
         {R"({"ticket": 1, "organisations": {"o": {
             "api_key_digests": ["zz"]}}})",
          "64 hexadecimal digits"},
         {R"({"ticket": 1, "organisations": {"o": {"weight": 0}}})",
          "organisations.o.weight"},
         {R"({"ticket": 1, "voters": [1, 1]})", "twice"},
         {R"({"ticket": 1, "voters": []})", "from 1 to 9"},
         {R"({"ticket": 1, "voters": null})", "must be an array"}}));
    CAPTURE(text);
    CHECK_THAT(error_message_of(text), Catch::Contains(expected));
}

// Guards against deep nesting that exhausts the stack, and against tickets that
// don't fit into a frame.
TEST_CASE("deeply nested and oversized tickets are refused")
{
    CHECK_THAT(
        error_message_of(std::string(100'000, '[')), Catch::Contains("depth"));
    CHECK_THAT(
        error_message_of(std::string(max_ticket_bytes + 1, ' ')),
        Catch::Contains("split it"));
}
