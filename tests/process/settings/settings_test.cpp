#include "common/error.hpp"
#include "process/settings/settings.hpp"
#include "process/settings/settings_table.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>
#include <set>
#include <string>
#include <tuple>

using namespace hickorygap;

namespace
{

// Text of a settings file with all required keys and one more member.
std::string settings_text_with(const std::string& member)
{
    return fmt::format(
        R"({{// one instance
            "instance": {{"id": 2, "failure_domain": "thess-a"}},
            "operators": {{"token_digest": "{}"}},
            "peers": {{"fleet_key_file": "key"}}{}{}}})",
        to_hex(sha256(std::string_view{"token"})), member.empty() ? "" : ", ",
        member);
}

} // namespace

// Guards against a key that is declared twice or has no description, and
// against a default that doesn't parse or lies outside its range.
TEST_CASE("every key is declared once with a valid default")
{
    std::set<std::string_view> keys;
    const settings defaults;
    for (const setting& row : settings_table())
    {
        CAPTURE(row.key);
        CHECK(keys.insert(row.key).second);
        CHECK_FALSE(row.description.empty());
        if (!row.default_json.empty())
        {
            CHECK(value_json(row, defaults) == row.default_json);
        }
    }
}

// Guards against a key that is stored in the wrong member of settings.
TEST_CASE("values of the file override defaults")
{
    const auto result = parse_settings(settings_text_with(
        R"("callers": {"port": 9000, "limits": {"idle_timeout_ms": 1500}},
           "voters": [3, 2], "data_folder": "/tmp/x", "bootstrap": true,
           "idempotency": {"window_hours": 2},
           "log": {"level": "debug"}, "slo": {"error_budget": 0.1})"));
    INFO(std::string{result.status().message()});
    REQUIRE(result.ok());
    CHECK(result->instance.id == 2);
    CHECK(result->instance.name == "instance-2");
    CHECK(result->callers.port == 9000);
    CHECK(
        result->callers.limits.idle_timeout == std::chrono::milliseconds{1500});
    CHECK(result->callers.limits.header_bytes == 16384);
    CHECK(result->voters == std::vector<instance_id>{2, 3});
    CHECK(result->bootstrap);
    CHECK(result->idempotency.window == std::chrono::hours{2});
    CHECK(result->log.level == log_level::debug);
    CHECK(result->slo.error_budget == 0.1);
    CHECK(result->freshness == std::chrono::seconds{10});
    CHECK(result->test.blocked_peers_file.empty());
}

// Guards against seeds that are read incorrectly, and against an empty group of
// known keys that is rejected as an unknown key.
TEST_CASE("seeds and empty groups are read")
{
    const auto result =
        parse_settings(settings_text_with(R"("voters": [], "log": {})"));
    REQUIRE(result.ok());
    CHECK(result->peers.seeds.empty());
    std::string text = settings_text_with("");
    const std::string from = R"("fleet_key_file": "key")";
    text.replace(
        text.find(from), from.size(),
        from + R"(, "seeds": [{"id": 4, "address": "127.0.0.1:7004"}])");
    const auto seeded = parse_settings(text);
    REQUIRE(seeded.ok());
    CHECK(
        seeded->peers.seeds ==
        std::vector<peer_seed>{{4, {"127.0.0.1", 7004}}});
}

// Guards against invalid settings that are ignored, or reported without the key
// and the remedy.
TEST_CASE("invalid settings are rejected with the key and the remedy")
{
    const auto [member, expected] = GENERATE(table<std::string, std::string>(
        {{R"("freshnes_ms": 1)", "nearest known key is freshness_ms"},
         {R"("callers": {"prt": 1})", "nearest known key is callers.port"},
         {R"("calers": {})", "calers is no known key"},
         {R"("callers": 5)", "callers is no known key"},
         {R"("callers": {"port": 65536})",
          "callers.port must be a whole number from 0 to 65535"},
         {R"("callers": {"port": "80"})", "callers.port must be"},
         {R"("callers": {"host": "localhost"})", "IP number"},
         {R"("callers": {"tls": {"key_file": "k"}})", "set both or neither"},
         {R"("freshness_ms": 1)", "from 100 to 3600000 ms; it is 1"},
         {R"("log": {"level": "loud"})", "debug, info, warning or error"},
         {R"("voters": [1, 1])", "twice"},
         {R"("voters": [0])", "voters must be a whole number from 1"},
         {R"("voters": [2])", "data_folder is empty"},
         {R"("bootstrap": true)", "not among the voters"},
         {R"("bootstrap": 1)", "true or false"},
         {R"("slo": {"error_budget": 2})", "slo.error_budget"},
         {R"("data_folder": "a", "data_folder": "b")", "occurs twice"}}));
    CAPTURE(member);
    const auto result = parse_settings(settings_text_with(member));
    REQUIRE_FALSE(result.ok());
    CHECK(kind_of(result.status()) == error_kind::settings_invalid);
    CHECK_THAT(
        std::string{result.status().message()}, Catch::Contains(expected));
}

// Guards against a process that starts without a key that has no safe default.
TEST_CASE("missing or empty required keys are rejected")
{
    const std::string key = GENERATE(
        "instance.id", "instance.failure_domain", "operators.token_digest",
        "peers.fleet_key_file");
    const auto result = parse_settings("{}");
    CHECK_THAT(
        std::string{result.status().message()},
        Catch::Contains("instance.id is missing"));
    bool is_required = false;
    for (const setting& row : settings_table())
    {
        is_required =
            is_required || (row.key == key && row.default_json.empty());
    }
    CHECK(is_required);
    const auto empty =
        parse_settings(R"({"instance": {"id": 1, "failure_domain": ""}})");
    CHECK_THAT(
        std::string{empty.status().message()},
        Catch::Contains("instance.failure_domain must not be empty"));
}

// Guards against a missing file that is treated as an empty one.
TEST_CASE("an unreadable settings file is rejected")
{
    const auto result = load_settings("/nonexistent/settings.json");
    REQUIRE_FALSE(result.ok());
    CHECK_THAT(
        std::string{result.status().message()},
        Catch::Contains("check the path"));
}
