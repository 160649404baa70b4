#include "process/membership/membership_network.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

void start_all(membership_network& network)
{
    for (const auto& [id, item] : network.nodes())
    {
        network.start(id);
    }
}

wire::member_state state_of(const membership& view, instance_id id)
{
    for (const auto& record : view.members())
    {
        if (record.instance == id)
        {
            return record.state;
        }
    }
    return wire::member_state::left;
}

} // namespace

// Guards against instances that never learn of each other.
TEST_CASE("instances that know only the seeds find each other")
{
    const std::size_t size = GENERATE(1U, 2U, 3U, 8U, 60U);
    membership_network network{{.size = size}};
    start_all(network);
    CHECK(network.run_until([&] { return network.views_agree(); }, 10s));
}

// Guards against a dead member that keeps its cells, and against a detection
// so fast that a short pause would be taken for death.
TEST_CASE("a dead member is detected in a few seconds")
{
    const std::size_t size = GENERATE(3U, 8U, 60U);
    membership_network network{{.size = size}};
    start_all(network);
    REQUIRE(network.run_until([&] { return network.views_agree(); }, 10s));
    network.run_for(2s);
    network.stop(3);
    network.run_for(1s);
    CHECK(state_of(*network.at(1).members, 3) != wire::member_state::dead);
    CHECK(network.run_until([&] { return network.views_agree(); }, 8s));
    CHECK(state_of(*network.at(1).members, 3) == wire::member_state::dead);
}

// Guards against a version that does not reach every instance.
TEST_CASE("an accepted version reaches all instances")
{
    membership_network network{{.size = 8}};
    start_all(network);
    network.run_for(5s);
    network.accept_ticket(1);
    CHECK(network.run_until(
        [&]
        {
            return std::all_of(
                network.nodes().begin(), network.nodes().end(),
                [](const auto& item) { return item.second.applied == 1; });
        },
        13s));
}
