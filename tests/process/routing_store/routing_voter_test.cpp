#include "process/routing_store/routing_cluster.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace hickorygap;
using namespace hickorygap::test;

namespace
{

const std::set<instance_id> first_five{1, 2, 3, 4, 5};

// Times as the voters of a fleet use them.
raft_options lively_options()
{
    raft_options options;
    options.heartbeat_interval = std::chrono::milliseconds{100};
    options.election_timeout = std::chrono::milliseconds{600};
    return options;
}

// A group of five that has acknowledged one version.
void settle(routing_cluster& cluster)
{
    cluster.start_all(5);
    REQUIRE(cluster.file_and_wait());
    cluster.run(100);
    REQUIRE(cluster.voters() == first_five);
    REQUIRE(cluster.votes() == 5);
}

} // namespace

// Guards against an acknowledgement while fewer disks hold the group than the
// losses to be borne demand.
TEST_CASE("three seeds found the group and nothing is taken before five vote")
{
    routing_cluster cluster{1};
    cluster.start(1, true);
    cluster.start(2, true);
    cluster.run(200);
    CHECK_FALSE(cluster.leader());
    cluster.start(3, true);
    cluster.run(200);
    REQUIRE(cluster.leader());
    CHECK_FALSE(cluster.file(*cluster.leader()));
    cluster.start(4, true);
    cluster.start(5, true);
    cluster.run(100);
    CHECK(cluster.voters() == first_five);
    CHECK(cluster.file_and_wait());
}

// Failure: all voters lose power, some lose their disks, and all start again
// within a short time of each other. Guards against elections that end without
// a leader because two voters ask at the same time: with two disks lost, every
// other vote is needed. Routers refuse everything until there is a leader, and
// tell callers to come back 1.3 s after their start.
TEST_CASE("voters that start together elect a leader soon")
{
    constexpr int restarts = 100;
    constexpr int limit_steps = 65;
    const auto [skew_steps, lost_disks] =
        GENERATE(table<int, instance_id>({{2, 0}, {2, 2}, {15, 0}, {15, 2}}));
    CAPTURE(skew_steps, lost_disks);
    int in_time = 0;
    for (std::uint64_t seed = 1; seed <= restarts; ++seed)
    {
        routing_cluster cluster{seed, lively_options()};
        cluster.start_all(5);
        REQUIRE(cluster.file_and_wait());
        for (instance_id id = 1; id <= 5; ++id)
        {
            if ((id + seed) % 5 < lost_disks)
            {
                cluster.wipe(id);
            }
            else
            {
                cluster.kill(id);
            }
        }
        int steps = 0;
        for (; steps < limit_steps && !cluster.leader(); ++steps)
        {
            for (instance_id id = 1; id <= 5; ++id)
            {
                if (static_cast<int>(seed * 7 + id * 11) % skew_steps == steps)
                {
                    cluster.start(id);
                }
            }
            cluster.step();
        }
        in_time += cluster.leader() ? 1 : 0;
    }
    CHECK(in_time == restarts);
}

// Failure: the link of one voter is cut one way, so that it asks for votes and
// hears no answer, and the leader is lost. Guards against the others waiting
// for its election for ever.
TEST_CASE("a voter that hears nobody keeps the others from no election")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        CAPTURE(seed);
        routing_cluster cluster{seed, lively_options()};
        settle(cluster);
        const instance_id lost = *cluster.leader();
        const instance_id deaf = lost == 1 ? 2 : 1;
        cluster.kill(lost);
        cluster.network().deafen(deaf);
        cluster.run(150);
        REQUIRE(cluster.leader());
        CHECK(*cluster.leader() != deaf);
    }
}

// Failure: machines are replaced one after another while the seeds of the new
// ones do not name the leader. Guards against a group that loses one voter
// after another and gets none.
TEST_CASE("a new machine joins through voters that do not lead")
{
    routing_cluster cluster{8};
    settle(cluster);
    // The leader moves until it is none of the seeds 1 to 3.
    while (*cluster.leader() <= 3)
    {
        const instance_id leader = *cluster.leader();
        cluster.kill(leader);
        cluster.run(200);
        cluster.start(leader);
        cluster.run(200);
        REQUIRE(cluster.leader());
    }
    const instance_id gone = *cluster.leader() == 4 ? 5 : 4;
    cluster.kill(gone);
    cluster.start(6);
    cluster.run(500);
    CHECK(cluster.voters().contains(6));
    CHECK(cluster.votes() == 5);
    CHECK(cluster.file_and_wait());
}

// Load: operators read a large configuration often. Guards against reads that
// only the leader answers, over the link that carries its heartbeats, and
// against an answer of a voter that a majority no longer hears.
TEST_CASE("each voter answers reads, and none that is cut off does")
{
    routing_cluster cluster{3};
    settle(cluster);
    for (instance_id id = 1; id <= 5; ++id)
    {
        REQUIRE(cluster.file_and_wait());
        cluster.read(id);
        cluster.run(20);
        CAPTURE(id);
        CHECK(cluster.confirmed_reads(id) == 1);
    }
    const auto cut = static_cast<instance_id>(*cluster.leader() % 5 + 1);
    cluster.network().cut(cut);
    cluster.read(cut);
    REQUIRE(cluster.file_and_wait());
    cluster.run(400);
    CHECK(cluster.confirmed_reads(cut) == 1);
    CHECK_FALSE(cluster.stale_read());
}

// Guards against a second history, founded by seeds that lost their disks.
TEST_CASE("an empty disk without bootstrap never founds a group")
{
    routing_cluster cluster{2};
    for (instance_id id = 1; id <= 5; ++id)
    {
        cluster.start(id, false);
    }
    cluster.run(500);
    CHECK_FALSE(cluster.leader());
}

// Failure: two disks are lost right after an acknowledgement, and all other
// machines lose power. Guards against the loss of what was acknowledged.
TEST_CASE("an acknowledged version survives the loss of any two disks")
{
    const auto first = GENERATE(1U, 2U, 3U, 4U);
    const auto second = GENERATE(2U, 3U, 4U, 5U);
    if (first >= second)
    {
        return;
    }
    CAPTURE(first, second);
    routing_cluster cluster{first * 10 + second};
    settle(cluster);
    REQUIRE(cluster.file_and_wait());
    for (instance_id id = 1; id <= 5; ++id)
    {
        if (id == first || id == second)
        {
            cluster.wipe(id);
        }
        else
        {
            cluster.kill(id);
        }
    }
    for (instance_id id = 1; id <= 5; ++id)
    {
        cluster.start(id);
    }
    cluster.run(400);
    REQUIRE(cluster.leader());
    CHECK(cluster.version_at(*cluster.leader()) >= cluster.acknowledged());
    CHECK(cluster.votes() == 5);
    CHECK(cluster.file_and_wait());
}

// Failure: one disk after another is lost, ten times. Guards against a group
// that shrinks, or counts the votes of disks that are gone.
TEST_CASE("disks lost one after another are voted in again")
{
    routing_cluster cluster{7};
    settle(cluster);
    for (int round = 0; round < 10; ++round)
    {
        const auto id = static_cast<instance_id>(round % 5 + 1);
        cluster.wipe(id);
        cluster.run(20);
        cluster.start(id);
        cluster.run(200);
        CAPTURE(round);
        REQUIRE(cluster.votes() == 5);
        REQUIRE(cluster.file_and_wait());
    }
    CHECK(cluster.voters() == first_five);
}

// Failure: a machine is gone for good and an empty one comes at another
// address. Guards against a group that stays at four, and against a spare
// that takes the place of a voter that is only slow.
TEST_CASE("a new machine replaces a voter that stays away")
{
    routing_cluster cluster{8};
    settle(cluster);
    cluster.start(6);
    cluster.run(300);
    CHECK(cluster.voters() == first_five);
    const bool planned = GENERATE(true, false);
    const instance_id gone = planned ? 4 : 1;
    cluster.wipe(gone);
    cluster.run(600);
    std::set<instance_id> expected = first_five;
    expected.erase(gone);
    expected.insert(6);
    CHECK(cluster.voters() == expected);
    CHECK(cluster.votes() == 5);
    CHECK(cluster.file_and_wait());
}

// Load: a storm of configurations. Guards against each of them being sent to
// all voters, which fills their links until the leader is taken for lost.
TEST_CASE("versions in quick succession share an entry and are all settled")
{
    routing_cluster cluster{10};
    settle(cluster);
    const instance_id leader = *cluster.leader();
    const auto entries_before = cluster.last_index(leader);
    const auto first = cluster.acknowledged();
    constexpr int filed = 50;
    for (int i = 0; i < filed; ++i)
    {
        REQUIRE(cluster.file(leader));
        cluster.step();
    }
    cluster.run(50);
    CHECK(cluster.acknowledged() == first + filed);
    CHECK(cluster.acknowledgements(leader) >= filed);
    CHECK(cluster.last_index(leader) - entries_before <= 8);
}

// Failure: the leader's disk is full. Guards against a leader that holds the
// place but can't accept anything.
TEST_CASE("a leader with a full disk gives way")
{
    routing_cluster cluster{9};
    settle(cluster);
    const instance_id before = *cluster.leader();
    cluster.disk(before).full = true;
    CHECK(cluster.file_and_wait(200));
    CHECK(*cluster.leader() != before);
}

// Failures of every kind in any order, as far as two disks at once may be
// lost. Guards against lost or stale versions and a group that stays stuck.
TEST_CASE("acknowledged versions survive any order of faults")
{
    const bool holds = rc::check(
        [](std::uint64_t seed, std::vector<std::uint8_t> actions)
        {
            routing_cluster cluster{seed};
            cluster.start_all(5);
            cluster.run(200);
            int lost_disks = 0;
            for (const std::uint8_t action : actions)
            {
                const auto id = static_cast<instance_id>(action % 5 + 1);
                switch (action / 5 % 8)
                {
                case 0:
                    cluster.kill(id);
                    cluster.start(id);
                    break;
                case 1:
                    if (++lost_disks <= 2)
                    {
                        cluster.wipe(id);
                        cluster.start(id);
                    }
                    break;
                case 2:
                    cluster.network().cut(id);
                    break;
                case 3:
                    cluster.network().heal(id);
                    break;
                case 4:
                    cluster.network().set_faults(action % 20, 5);
                    break;
                case 5:
                    // Time in which lost disks are voted in again.
                    cluster.network().set_faults(0, 0);
                    for (instance_id all = 1; all <= 5; ++all)
                    {
                        cluster.network().heal(all);
                    }
                    cluster.run(400);
                    RC_ASSERT(cluster.votes() == 5);
                    lost_disks = 0;
                    break;
                case 6:
                    cluster.read(id);
                    cluster.file(id);
                    break;
                default:
                    break;
                }
                cluster.run(10);
                cluster.file(id);
                cluster.read(id);
            }
            cluster.network().set_faults(0, 0);
            for (instance_id id = 1; id <= 5; ++id)
            {
                cluster.network().heal(id);
            }
            cluster.run(400);
            RC_ASSERT(cluster.leader().has_value());
            RC_ASSERT(
                cluster.version_at(*cluster.leader()) >=
                cluster.acknowledged());
            RC_ASSERT_FALSE(cluster.stale_read());
            RC_ASSERT(cluster.file_and_wait());
        });
    CHECK(holds);
}
