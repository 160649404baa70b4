#include "process/control/readiness_rule.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;

namespace
{

constexpr duration freshness = std::chrono::seconds{10};
constexpr time_point start{std::chrono::seconds{100}};

readiness_inputs healthy()
{
    readiness_inputs inputs;
    inputs.version = 3;
    inputs.highest_announced = 3;
    inputs.hears_voters = true;
    inputs.hears_half_of_members = true;
    return inputs;
}

// A rule that has been ready once.
readiness_rule started_rule()
{
    readiness_rule rule{freshness};
    rule.update(healthy(), start);
    return rule;
}

} // namespace

// Guards against an instance that takes work before it can know the last
// accepted ticket.
TEST_CASE("an instance starts only with the voters' version")
{
    const auto [version, announced, floor, voters, expected] =
        GENERATE(table<
                 configuration_version, configuration_version, bool, bool,
                 readiness>(
            {{3, 3, true, true, readiness::ready},
             {0, 0, true, true, readiness::starting},
             {2, 3, true, true, readiness::starting},
             {3, 3, false, true, readiness::starting},
             {3, 3, true, false, readiness::starting}}));
    readiness_inputs inputs = healthy();
    inputs.version = version;
    inputs.highest_announced = announced;
    inputs.reached_floor = floor;
    inputs.hears_voters = voters;
    readiness_rule rule{freshness};
    CHECK(rule.update(inputs, start) == expected);
}

// Guards against an isolated instance that serves an old configuration, and
// against a fleet that stops because all voters are down.
TEST_CASE("a started instance follows the freshness rule")
{
    const auto [voters, half, draining, expected] =
        GENERATE(table<bool, bool, bool, readiness>(
            {{true, true, false, readiness::ready},
             {true, false, false, readiness::ready},
             {false, true, false, readiness::ready},
             {false, false, false, readiness::cut_off},
             {true, true, true, readiness::draining},
             {false, false, true, readiness::draining}}));
    readiness_inputs inputs = healthy();
    inputs.hears_voters = voters;
    inputs.hears_half_of_members = half;
    inputs.draining = draining;
    readiness_rule rule = started_rule();
    CHECK(rule.update(inputs, start) == expected);
}

// Guards against an instance that hears the fleet but can't fetch a version.
TEST_CASE("an instance that stays behind stops taking work")
{
    readiness_rule rule = started_rule();
    readiness_inputs behind = healthy();
    behind.highest_announced = 4;
    CHECK(rule.update(behind, start) == readiness::ready);
    CHECK(rule.update(behind, start + freshness / 2) == readiness::ready);
    CHECK(rule.update(behind, start + freshness) == readiness::cut_off);
    CHECK(rule.update(healthy(), start + freshness) == readiness::ready);
    // The period starts anew with the next version that is missed.
    CHECK(rule.update(behind, start + freshness * 2) == readiness::ready);
}
