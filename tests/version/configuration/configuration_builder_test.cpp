#include "common/error.hpp"
#include "version/configuration/configuration_builder.hpp"
#include "version/configuration/ticket_chain.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include <string>
#include <tuple>
#include <vector>

using namespace hickorygap;

namespace
{

std::string make_key_digest(int number)
{
    return to_hex(sha256(fmt::format("key {}", number)));
}

ticket parse_valid_ticket(const std::string& text)
{
    const auto result = parse_ticket(text);
    INFO(text);
    INFO(std::string{result.status().message()});
    REQUIRE(result.ok());
    return *result;
}

// A service with two engines and an organisation.
configuration_ptr base_configuration()
{
    const auto built = configuration_builder{}
                           .apply(
                               parse_valid_ticket(fmt::format(
                                   R"({{"ticket": 1, "voters": [1, 2, 3],
        "services": {{"s": {{"kind": "engine", "model": "m"}},
            "p": {{"kind": "plain", "path": "/p"}}}},
        "backend_servers": {{
            "e1": {{"address": "127.0.0.1:1", "service": "s",
                "failure_domain": "a"}},
            "e2": {{"address": "127.0.0.1:2", "service": "s",
                "failure_domain": "b"}}}},
        "organisations": {{"o1": {{"api_key_digests": ["{}"]}}}}}})",
                                   make_key_digest(1))),
                               1000)
                           .build();
    REQUIRE(built.ok());
    return *built;
}

// Serializes a configuration, for comparison.
std::string dump(const configuration& value)
{
    std::string result = fmt::format(
        "{} {} {};", value.version(), value.accepted(),
        fmt::join(value.voters(), ","));
    for (const auto& [id, entry] : value.services())
    {
        result += fmt::format("{}={},{};", id, entry.name, entry.load_bound);
    }
    for (const auto& [id, entry] : value.backend_servers())
    {
        result += fmt::format(
            "{}={},{},{},{};", id, entry.name, entry.port, entry.service,
            entry.slots);
    }
    for (const auto& [id, entry] : value.organisations())
    {
        result += fmt::format("{}={},{}", id, entry.name, entry.weight);
        for (const digest& key : entry.api_key_digests)
        {
            result += to_hex(key);
            const organisation* owner = value.find_organisation_by_key(key);
            result += owner == nullptr ? "?" : owner->name;
        }
    }
    for (const cell& entry : value.cells())
    {
        result += fmt::format(
            "{}:{};", entry.id, fmt::join(entry.backend_servers, ","));
    }
    return result;
}

// Random ticket from a small set of names, so that tickets often change the
// same object.
std::string random_ticket(configuration_version number)
{
    const auto name = [](const char* prefix)
    { return fmt::format("{}{}", prefix, *rc::gen::inRange(0, 4)); };
    std::string text = fmt::format(R"({{"ticket": {})", number);
    if (*rc::gen::arbitrary<bool>())
    {
        text += fmt::format(
            R"(, "services": {{"{}": {}}})", name("s"),
            *rc::gen::inRange(0, 3) == 0
                ? "null"
                : fmt::format(
                      R"({{"kind": "plain", "path": "/", "load_bound": {}}})",
                      *rc::gen::inRange(1, 4)));
    }
    if (*rc::gen::arbitrary<bool>())
    {
        text += fmt::format(
            R"(, "backend_servers": {{"{}": {}}})", name("e"),
            *rc::gen::inRange(0, 3) == 0
                ? "null"
                : fmt::format(
                      R"({{"address": "127.0.0.1:{}", "service": "{}",
                          "failure_domain": "d"}})",
                      *rc::gen::inRange(1, 5), name("s")));
    }
    if (*rc::gen::arbitrary<bool>())
    {
        text += fmt::format(
            R"(, "organisations": {{"{}": {}}})", name("o"),
            *rc::gen::inRange(0, 3) == 0
                ? "null"
                : fmt::format(
                      R"({{"api_key_digests": ["{}"], "weight": {}}})",
                      make_key_digest(*rc::gen::inRange(0, 4)),
                      *rc::gen::inRange(1, 4)));
    }
    if (*rc::gen::inRange(0, 4) == 0)
    {
        text += fmt::format(R"(, "voters": [1, {}])", *rc::gen::inRange(2, 5));
    }
    return text + "}";
}

} // namespace

// Guards against lookups that return a wrong object or none.
TEST_CASE("the lookups of a configuration find its objects")
{
    const configuration_ptr base = base_configuration();
    CHECK(base->version() == 1);
    CHECK(base->accepted() == 1000);
    CHECK(base->find_service(hash_name("s"))->name == "s");
    CHECK(base->find_service(hash_name("x")) == nullptr);
    CHECK(base->find_service_by_model("m")->name == "s");
    CHECK(base->find_service_by_model("p") == nullptr);
    CHECK(base->find_backend_server(hash_name("e2"))->port == 2);
    CHECK(base->find_organisation(hash_name("o1"))->name == "o1");
    CHECK(
        base->find_organisation_by_key(sha256(std::string_view{"key 1"}))
            ->name == "o1");
    CHECK(
        base->find_organisation_by_key(sha256(std::string_view{"key 2"})) ==
        nullptr);
    REQUIRE_FALSE(base->cells().empty());
    const cell& first = base->cells().front();
    CHECK(base->find_cell(first.id) == &first);
    CHECK(base->cells_for(hash_name("s"), 77).size() == 1);
    CHECK(base->cells_for(hash_name("p"), 77).empty());
}

// Guards against tickets that are valid by themselves but not together with the
// previous configuration, and against ones that are applied in part.
TEST_CASE("tickets that conflict with the configuration are refused")
{
    const auto [text, expected] = GENERATE(table<std::string, std::string>(
        {{R"("ticket": 1)", "higher number"},
         {R"("ticket": 2, "services": {"s": null})", "e1 refers to"},
         {R"("ticket": 2, "services": {"x": null})", "does not exist"},
         {R"("ticket": 2, "backend_servers": {"e3": {
             "address": "127.0.0.1:3", "service": "x",
             "failure_domain": "a"}})",
          "e3.service is x"},
         {R"("ticket": 2, "backend_servers": {"e3": {
             "address": "127.0.0.1:2", "service": "s",
             "failure_domain": "a"}})",
          "same address 127.0.0.1:2"},
         {fmt::format(
              R"("ticket": 2, "organisations": {{"o2": {{
                  "api_key_digests": ["{}"]}}}})",
              make_key_digest(1)),
          "same API key"},
         {R"("ticket": 2, "voters": [1, 4, 5])", "at most one"},
         {R"("ticket": 2, "voters": [1, 2, 4])", "at most one"}}));
    CAPTURE(text);
    const configuration_ptr base = base_configuration();
    const std::string before = dump(*base);
    const auto checked = check_ticket("{" + text + "}", base, 2000);
    REQUIRE_FALSE(checked.ok());
    CHECK(kind_of(checked.status()) == error_kind::ticket_invalid);
    CHECK_THAT(
        std::string{checked.status().message()}, Catch::Contains(expected));
    CHECK(dump(*base) == before);
}

// Guards against checks that refuse valid changes: removing a service with its
// backend servers, sharing or reusing an address, moving an API key, changing
// one voter.
TEST_CASE("valid changes are accepted")
{
    const std::string text = GENERATE(values<std::string>({
        R"("services": {"s": null},
           "backend_servers": {"e1": null, "e2": null})",
        R"("backend_servers": {"e3": {"address": "127.0.0.1:2",
            "service": "p", "failure_domain": "a"}})",
        R"("backend_servers": {"e1": null, "e4": {"address": "127.0.0.1:1",
            "service": "s", "failure_domain": "a"}})",
        // Move a key to another organisation that sorts after or before it.
        fmt::format(
            R"("organisations": {{"o1": {{}},
                "o2": {{"api_key_digests": ["{}"]}}}})",
            make_key_digest(1)),
        fmt::format(
            R"("organisations": {{"a1": {{"api_key_digests": ["{}"]}},
                "o1": null}})",
            make_key_digest(1)),
        R"("voters": [1, 2])", R"("voters": [1, 2, 3, 4])",
        R"("comment": "no change")"}));
    CAPTURE(text);
    const auto checked = check_ticket(
        R"({"ticket": 2, )" + text + "}", base_configuration(), 2000);
    INFO(std::string{checked.status().message()});
    REQUIRE(checked.ok());
    CHECK(checked->result->version() == 2);
    CHECK(checked->result->accepted() == 2000);
}

// Guards against a restarted instance, which replays the stored tickets, that
// ends up with another configuration than one that applied them one by one.
TEST_CASE("replaying stored tickets gives the same configuration")
{
    rc::prop(
        "both ways of applying accepted tickets agree",
        []()
        {
            const auto attempts = *rc::gen::inRange(1, 30);
            configuration_ptr current;
            std::vector<std::pair<ticket, unix_millis>> accepted;
            for (int i = 0; i < attempts; ++i)
            {
                const auto number = static_cast<configuration_version>(i) + 1;
                const auto checked =
                    check_ticket(random_ticket(number), current, number * 10);
                if (checked.ok())
                {
                    current = checked->result;
                    accepted.emplace_back(checked->change, number * 10);
                }
            }
            RC_PRE(!accepted.empty());
            configuration_builder replay;
            for (const auto& [change, time] : accepted)
            {
                const auto stored = parse_ticket(change.document.text);
                RC_ASSERT(stored.ok());
                replay.apply(*stored, time);
            }
            const auto replayed = replay.build();
            RC_ASSERT(replayed.ok());
            RC_ASSERT(dump(**replayed) == dump(*current));
        });
}

// Guards against a ticket_conflict error without the next free number, which
// operators need to submit the ticket again.
TEST_CASE("a conflict carries the next free number")
{
    const absl::Status status = make_ticket_conflict(4, 9);
    CHECK(kind_of(status) == error_kind::ticket_conflict);
    CHECK(next_free_number_of(status) == 9U);
    CHECK_FALSE(next_free_number_of(make_error(error_kind::no_quorum, "x"))
                    .has_value());
}
