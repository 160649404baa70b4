#include "process/control/readiness_rule.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;

namespace
{

constexpr duration freshness = std::chrono::seconds{10};
constexpr time_point start{std::chrono::seconds{100}};

readiness_inputs healthy_inputs()
{
    readiness_inputs inputs;
    inputs.version = 3;
    inputs.highest_announced = 3;
    inputs.reaches_voters = true;
    inputs.reaches_half_of_members = true;
    return inputs;
}

// A rule that has returned ready once.
readiness_rule started_rule()
{
    readiness_rule rule{freshness};
    rule.update(healthy_inputs(), start);
    return rule;
}

} // namespace

// Guards against an instance that takes work after its start before it has the
// last accepted ticket: without contact to the voters, with a lower version
// than announced, or with a lower one than before its restart.
TEST_CASE("an instance is not ready before it has the voters' version")
{
    const auto [version, announced, floor, reaches_voters, expected] =
        GENERATE(table<
                 configuration_version, configuration_version, bool, bool,
                 readiness>(
            {{3, 3, true, true, readiness::ready},
             {0, 0, true, true, readiness::starting},
             {2, 3, true, true, readiness::starting},
             {3, 3, false, true, readiness::starting},
             {3, 3, true, false, readiness::starting}}));
    readiness_inputs inputs = healthy_inputs();
    inputs.version = version;
    inputs.highest_announced = announced;
    inputs.reached_floor = floor;
    inputs.reaches_voters = reaches_voters;
    readiness_rule rule{freshness};
    CHECK(rule.update(inputs, start) == expected);
}

// Guards against a partitioned instance that serves an old configuration, and
// against a fleet that refuses all work because all voters are down.
TEST_CASE("a started instance is ready while it reaches voters or members")
{
    const auto [reaches_voters, reaches_half, draining, expected] =
        GENERATE(table<bool, bool, bool, readiness>(
            {{true, true, false, readiness::ready},
             {true, false, false, readiness::ready},
             {false, true, false, readiness::ready},
             {false, false, false, readiness::cut_off},
             {true, true, true, readiness::draining},
             {false, false, true, readiness::draining}}));
    readiness_inputs inputs = healthy_inputs();
    inputs.reaches_voters = reaches_voters;
    inputs.reaches_half_of_members = reaches_half;
    inputs.draining = draining;
    readiness_rule rule = started_rule();
    CHECK(rule.update(inputs, start) == expected);
}

// Guards against an instance that reaches the fleet but can't fetch an
// announced version and keeps serving the old one.
TEST_CASE("an instance that lags for the freshness period stops taking work")
{
    readiness_rule rule = started_rule();
    readiness_inputs behind = healthy_inputs();
    behind.highest_announced = 4;
    CHECK(rule.update(behind, start) == readiness::ready);
    CHECK(rule.update(behind, start + freshness / 2) == readiness::ready);
    CHECK(rule.update(behind, start + freshness) == readiness::cut_off);
    CHECK(rule.update(healthy_inputs(), start + freshness) == readiness::ready);
    // The period starts again with the next version that is missing.
    CHECK(rule.update(behind, start + freshness * 2) == readiness::ready);
}
