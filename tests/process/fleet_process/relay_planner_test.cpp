#include "process/fleet_process/relay_planner.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

// A fleet whose routers use the relays of the plan.
struct simulated_fleet
{
    simulated_fleet(std::size_t size, std::size_t domains)
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            routers.push_back(
                {static_cast<instance_id>(100 + i),
                 fmt::format("domain-{}", i % domains),
                 0,
                 0,
                 {i * 1ms}});
        }
    }

    void plan()
    {
        planner.update(routers, now);
        for (planned_router& router : routers)
        {
            router.relay = planner.relay_of(router.instance);
        }
        now = now + 500ms;
    }

    void remove(instance_id instance)
    {
        std::erase_if(
            routers, [&](const planned_router& router)
            { return router.instance == instance; });
    }

    planned_router& router(instance_id instance)
    {
        return *std::ranges::find(routers, instance, &planned_router::instance);
    }

    std::map<instance_id, std::size_t> groups() const
    {
        std::map<instance_id, std::size_t> result;
        for (const planned_router& router : routers)
        {
            ++result[planner.relay_of(router.instance)];
        }
        return result;
    }

    // Number of routers whose relay has changed.
    std::size_t
    moved_since(const std::map<instance_id, instance_id>& before) const
    {
        std::size_t moved = 0;
        for (const planned_router& router : routers)
        {
            const auto found = before.find(router.instance);
            moved += found != before.end() &&
                             found->second != planner.relay_of(router.instance)
                         ? 1
                         : 0;
        }
        return moved;
    }

    std::map<instance_id, instance_id> current_plan() const
    {
        std::map<instance_id, instance_id> result;
        for (const planned_router& router : routers)
        {
            result[router.instance] = planner.relay_of(router.instance);
        }
        return result;
    }

    std::vector<planned_router> routers;
    relay_planner planner;
    time_point now{10s};
};

} // namespace

// Load: in a large fleet, a voter that serves every router directly saturates
// its link. Guards against a voter whose messages grow in proportion to the
// fleet, and against groups that are too large for their relay.
TEST_CASE("relays and groups grow with the square root of the fleet")
{
    const auto [size, domains, most_direct] =
        GENERATE(table<std::size_t, std::size_t, std::size_t>({
            {8, 3, 8},
            {16, 3, 16},
            {30, 5, 10},
            {77, 3, 14},
            {195, 5, 20},
            {300, 5, 25},
            {1000, 5, 45},
        }));
    CAPTURE(size);
    simulated_fleet fleet{size, domains};
    fleet.plan();
    std::size_t direct = 0;
    for (const auto& [relay, members] : fleet.groups())
    {
        direct += relay == 0 ? members : 1;
        if (relay != 0)
        {
            CHECK(static_cast<double>(members) <= 2 * std::sqrt(size) + 4);
        }
    }
    CHECK(direct <= most_direct);
    for (const planned_router& router : fleet.routers)
    {
        const instance_id relay = fleet.planner.relay_of(router.instance);
        if (relay != 0)
        {
            CHECK(fleet.router(relay).failure_domain == router.failure_domain);
            CHECK(fleet.planner.relay_of(relay) == relay);
        }
    }
}

// Guards against routers that are moved although their relay is up: each move
// leaves a router without loads for a moment.
TEST_CASE("the loss of a relay moves the routers of its own group only")
{
    simulated_fleet fleet{195, 5};
    fleet.plan();
    const auto before = fleet.current_plan();
    fleet.plan();
    CHECK(fleet.moved_since(before) == 0);

    const instance_id lost = fleet.planner.relay_of(150);
    const std::size_t group = fleet.groups()[lost];
    fleet.remove(lost);
    fleet.plan();
    CHECK(fleet.planner.relay_of(150) != lost);
    CHECK(fleet.planner.relay_of(150) != 0);
    // Besides the group, the router that becomes a relay moves.
    CHECK(fleet.moved_since(before) <= group + 1);
}

// Failure: the leader is lost. Guards against a fleet whose groups all move
// after each election.
TEST_CASE("a new leader keeps the existing groups")
{
    simulated_fleet fleet{195, 5};
    fleet.plan();
    const auto before = fleet.current_plan();
    fleet.planner = {};
    // The routers connected to the new leader in another order.
    for (planned_router& router : fleet.routers)
    {
        router.since = {1s - router.since.since_start};
    }
    fleet.plan();
    CHECK(fleet.moved_since(before) == 0);
}

// Failure: a relay is partitioned from its routers but not from the voters, or
// hangs. Guards against routers that are assigned to it again, and against a
// healthy relay being replaced because of one router that is itself
// partitioned.
TEST_CASE("a relay that several routers can't use is replaced")
{
    const auto [complaints, keeps_relay] =
        GENERATE(table<std::size_t, bool>({{1, true}, {2, false}, {5, false}}));
    CAPTURE(complaints);
    simulated_fleet fleet{195, 5};
    fleet.plan();
    const instance_id relay = fleet.planner.relay_of(150);
    std::size_t left = complaints;
    for (planned_router& router : fleet.routers)
    {
        if (router.relay == relay && router.instance != relay && left > 0)
        {
            --left;
            router.relay = 0;
            router.avoided = relay;
        }
    }
    fleet.plan();
    for (const planned_router& router : fleet.routers)
    {
        if (router.avoided == relay)
        {
            CHECK(fleet.planner.relay_of(router.instance) != relay);
            CHECK(fleet.planner.relay_of(router.instance) != 0);
        }
    }
    CHECK((fleet.planner.relay_of(relay) == relay) == keeps_relay);
}
