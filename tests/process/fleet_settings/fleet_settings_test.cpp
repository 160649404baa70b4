#include "common/error.hpp"
#include "process/fleet_settings/fleet_settings.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against a value that is read into the wrong member or with the wrong
// unit.
TEST_CASE("each value of a settings file is read into its member")
{
    const auto result = parse_fleet_settings(R"(// rendered
        {"instance": {"name": "core-1", "host": "10.1.0.22",
                      "failure_domain": "thess-a"},
         "callers": {"address": ""},
         "readiness": {"address": ""},
         "operators": {"address": "10.1.0.22:8229"},
         "peers": {"port": 7340, "seeds": ["10.1.0.22:8229", "10.2.0.39"],
                   "link_megabits_per_second": 2.5},
         "metrics": {"port": 7341},
         "storage": {"folder": "/data/x", "bootstrap": true, "lost_disks": 2},
         "backend_list": {"address": "10.200.0.61:8223",
                          "calls_per_second": 44.5},
         "retry": {"ratio": 0.2, "slack": 56, "window_s": 10},
         "machine": {"memory_mb": 160, "descriptors": 4100},
         "shutdown": {"limit_s": 8}})");
    INFO(std::string{result.status().message()});
    REQUIRE(result.ok());
    CHECK(result->instance.failure_domain == "thess-a");
    CHECK(result->callers.port == 0);
    CHECK(result->operators == numeric_address{"10.1.0.22", 8229});
    CHECK(
        result->peers.seeds ==
        std::vector<std::string>{"10.1.0.22", "10.2.0.39"});
    CHECK(result->peers.link_megabits_per_second == 2.5);
    CHECK(result->storage.bootstrap);
    CHECK(result->storage.lost_disks == 2);
    CHECK(result->backend_list.calls_per_second == 44.5);
    CHECK(result->retry.window == 10s);
    CHECK(result->machine.memory_bytes == 160U * 1024 * 1024);
    CHECK(result->machine.descriptors == 4100);
    CHECK(result->shutdown.limit == 8s);
}

// Guards against a feature that the platform names and that has no effect, and
// against one that turns on another behaviour.
TEST_CASE("features turn on the behaviours that they stand for")
{
    struct row
    {
        std::string features;
        bool survives_domain_loss;
        bool by_work;
    };
    const auto [features, survives_domain_loss, by_work] = GENERATE(values<row>(
        {{R"("base", "drain")", false, false},
         {R"("base", "places")", true, false},
         {R"("pressure", "places")", true, true},
         {R"("pressure")", false, true}}));
    CAPTURE(features);
    const auto result = parse_fleet_settings(
        R"({"instance": {"host": "10.1.0.22"}, "overload": {"features": [)" +
        features + "]}}");
    INFO(std::string{result.status().message()});
    REQUIRE(result.ok());
    CHECK(result->storage.survives_domain_loss == survives_domain_loss);
    CHECK(result->overload.by_work == by_work);
}

// Guards against invalid settings that are accepted at the start and noticed
// only when the process misbehaves, and against messages that don't name the
// key.
TEST_CASE("an invalid setting is rejected with the name of its key")
{
    const auto [text, named_key] = GENERATE(table<std::string, std::string>({
        {R"({})", "instance.host"},
        {R"({"instance": {"host": "here"}})", "instance.host"},
        {R"({"instance": {"host": "10.0.0.1", "nam": "x"}})", "name"},
        {R"({"instance": {"host": "10.0.0.1"}, "callers": {"address": "x"}})",
         "callers.address"},
        {R"({"instance": {"host": "10.0.0.1"}, "peers": {"seeds": ["a:1"]}})",
         "peers.seeds"},
        {R"({"instance": {"host": "10.0.0.1"}, "peers": {"port": 99999}})",
         "peers.port"},
        {R"({"instance": {"host": "10.0.0.1"},
             "peers": {"link_megabits_per_second": 0}})",
         "peers.link_megabits_per_second"},
        {R"({"instance": {"host": "10.0.0.1"}, "retry": {"ratio": -1}})",
         "retry.ratio"},
        {R"({"instance": {"host": "10.0.0.1"}, "shutdown": {"limit_s": "8"}})",
         "shutdown.limit_s"},
        {R"({"instance": )", ""},
    }));
    CAPTURE(text);
    const auto result = parse_fleet_settings(text);
    REQUIRE_FALSE(result.ok());
    CHECK(kind_of(result.status()) == error_kind::settings_invalid);
    CHECK_THAT(
        std::string{result.status().message()}, Catch::Contains(named_key));
}

// Guards against an id from which the address of the machine can't be derived.
TEST_CASE("an instance's id is its IPv4 address as a number")
{
    CHECK(host_of(instance_at("10.1.0.22")) == "10.1.0.22");
    CHECK(instance_at("10.1.0.22") == 0x0A010016);
    CHECK(instance_at("name") == 0);
    CHECK(instance_at({"10.1.0.22\0x", 11}) == 0);
}
