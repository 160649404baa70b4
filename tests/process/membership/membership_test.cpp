#include "process/membership/membership_network.hpp"

#include <catch2/catch.hpp>

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

// Guards against instances that never learn of each other when all start at
// the same time with the seeds as their only members.
TEST_CASE("instances that know only the seeds find each other")
{
    const std::size_t size = GENERATE(1U, 2U, 3U, 8U, 60U);
    membership_network network{{.size = size}};
    start_all(network);
    CHECK(network.run_until([&] { return network.views_agree(); }, 10s));
}

// Guards against a dead member that keeps its cells because it is detected late
// or not at all, and against detection within a second, which would declare
// members dead for a short pause.
TEST_CASE("a dead member is detected after 1 s and within 9 s")
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

// Guards against an accepted version that does not reach every instance.
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

// Guards against evidence that looks fresher than it is because the ping or its
// answer was delayed.
TEST_CASE("evidence is dated when the ping was sent")
{
    const time_point start{1s};
    membership_options options;
    options.self = 1;
    options.incarnation = 1'000'000;
    options.address = "10.0.0.1:1";
    options.seeds = {{2, "10.0.0.2:1"}};
    membership one{options, start};
    options.self = 2;
    options.address = "10.0.0.2:1";
    options.seeds = {};
    membership two{options, start};
    one.tick(start);
    for (const outgoing_message& message : one.take_outgoing())
    {
        two.receive(1, 0, message.payload, start);
    }
    const time_point late = start + 4s;
    const std::vector<instance_id> voters{2};
    for (const outgoing_message& message : two.take_outgoing())
    {
        one.receive(2, 0, message.payload, late);
    }
    CHECK(one.reaches_majority_of(voters, late, 4s));
    CHECK_FALSE(one.reaches_majority_of(voters, late, 3999ms));
    // A received ping is no evidence, because it may have been delayed.
    CHECK_FALSE(
        two.reaches_majority_of(std::vector<instance_id>{1}, start, 1h));
}

// Guards against a member that left still counting as a member until it is
// declared dead and forgotten, and against one that can't join again.
TEST_CASE("a member that leaves stops counting at once")
{
    membership_network network{{.size = 8}};
    start_all(network);
    network.run_for(5s);
    network.at(8).members->leave(network.now());
    CHECK(network.run_until(
        [&]
        {
            return std::all_of(
                network.nodes().begin(), network.nodes().end(),
                [](const auto& item) {
                    return item.first == 8 ||
                           item.second.members->counted_members() == 7;
                });
        },
        5s));
    network.stop(8);
    network.run_for(5s);
    network.start(8);
    CHECK(network.run_until([&] { return network.views_agree(); }, 10s));
}

// Guards against readiness, quarantines and loads that some members never
// receive.
TEST_CASE("readiness, quarantines and cell loads spread")
{
    membership_network network{{.size = 8}};
    start_all(network);
    network.run_for(5s);
    network.at(2).members->set_ready(true);
    network.at(2).members->add_quarantine(77, 5000);
    wire::cell_load_msg load;
    load.cell = 9;
    load.in_flight = 3;
    load.queued = {1, 2, 3};
    network.at(2).members->set_cell_loads({load});
    network.run_for(20s);
    for (auto& [id, item] : network.nodes())
    {
        const auto members = item.members->members();
        CHECK(members[1].ready);
        CHECK_FALSE(members[2].ready);
        REQUIRE(item.members->quarantines(4999).size() == 1);
        CHECK(item.members->quarantines(5000).empty());
        if (id != 2)
        {
            REQUIRE(item.members->cell_loads().contains(9));
            CHECK(item.members->cell_loads().at(9).load.in_flight == 3);
        }
    }
}

// Guards against a restarted instance that does not receive the quarantines in
// force, through which the same request crashes a third backend server.
TEST_CASE("a restarted instance receives the quarantines in force")
{
    membership_network network{{.size = 4}};
    start_all(network);
    network.run_for(5s);
    network.at(1).members->add_quarantine(77, 5000);
    network.run_for(60s);
    network.stop(4);
    network.run_for(1s);
    network.start(4);
    network.run_for(3s);
    CHECK(network.at(4).members->quarantines(0).size() == 1);
}
