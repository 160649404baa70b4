#include "process/consensus/raft_cluster.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <tuple>

using namespace hickorygap;
using test::raft_cluster;

namespace
{

constexpr int steps_per_second = 50;

// Upper bound for the length of the sequences that RapidCheck makes.
constexpr int sequence_size = 400;

// Most faults follow each other within 200 ms, the others within two seconds.
int pause_after(std::uint8_t value)
{
    return value % 4 == 0 ? value % (2 * steps_per_second) : value % 10;
}

// Kind of fault, node, and number of steps to run afterwards.
using fault = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

void run_faults(raft_cluster& group, const std::vector<fault>& faults)
{
    group.run(5 * steps_per_second);
    for (const auto& [kind, node, steps] : faults)
    {
        group.act(kind, node);
        group.run(pause_after(steps));
    }
}

void elect(raft_cluster& group)
{
    for (int i = 0; i < 20 * steps_per_second && group.leader() == nullptr; ++i)
    {
        group.step();
    }
    REQUIRE(group.leader() != nullptr);
    group.run(steps_per_second);
}

} // namespace

// Guards against two leaders in a term, logs that match at one entry but not
// before it, committed entries that change or vanish, stale reads, and a
// lease beside a newer leader, under crashes that lose unsynced writes,
// partitions, hung nodes, full and slow disks, loss, duplication, delay.
TEST_CASE("raft keeps its guarantees under faults")
{
    rc::prop(
        "no guarantee is violated, and the group works after all faults end",
        [](std::uint64_t seed, bool five)
        {
            const auto faults = *rc::gen::resize(
                sequence_size, rc::gen::arbitrary<std::vector<fault>>());
            raft_cluster group{five ? 5U : 3U, seed};
            run_faults(group, faults);
            group.heal();
            group.run(20 * steps_per_second);
            RC_ASSERT(group.violation() == "");
            const std::uint64_t before = group.committed();
            RC_ASSERT(group.leader() != nullptr);
            group.act(11, 0);
            group.run(5 * steps_per_second);
            RC_ASSERT(group.violation() == "");
            RC_ASSERT(group.committed() > before);
            RC_ASSERT(group.confirmed_reads() > 0U);
        });
}

// Guards against a group that is created while a voter is missing, which may
// come from an existing group.
TEST_CASE("a group is created only when all voters answer")
{
    raft_cluster group{3, 1};
    group.crash(2);
    group.run(20 * steps_per_second);
    CHECK(group.leader() == nullptr);
    group.restart(2);
    elect(group);
    CHECK(group.violation().empty());
}

// Guards against a leader that goes on alone in a partition, and against one
// that returns with a higher term and unseats a working leader.
TEST_CASE("an isolated leader steps down and does not disturb on its return")
{
    raft_cluster group{3, 2};
    elect(group);
    raft_node* old_leader = group.leader();
    const instance_id old_id = old_leader->leader();
    group.network().cut(old_id);
    group.run(2 * steps_per_second);
    CHECK_FALSE(old_leader->is_leader());
    elect(group);
    const std::uint64_t term = group.leader()->term();
    group.run(10 * steps_per_second);
    group.network().heal(old_id);
    group.run(5 * steps_per_second);
    CHECK(group.leader()->term() == term);
    CHECK(old_leader->term() == term);
}

// Guards against an entry that counts on a disk before it is synced there.
TEST_CASE("an entry commits only on a quorum of synced disks")
{
    raft_cluster group{3, 3};
    elect(group);
    const instance_id leader = group.leader()->leader();
    for (instance_id id = 1; id <= 3; ++id)
    {
        group.disk(id).full = id != leader;
    }
    const std::uint64_t before = group.leader()->commit_index();
    group.propose(leader);
    group.run(steps_per_second / 2);
    CHECK(group.committed() == before);
    group.disk(leader == 1 ? 2 : 1).full = false;
    group.run(5 * steps_per_second);
    elect(group);
    CHECK(group.committed() > before);
}

// Guards against a follower that can't catch up once the leader dropped the
// entries that it lacks.
TEST_CASE("a follower that is far behind gets a snapshot in chunks")
{
    raft_cluster group{3, 4};
    elect(group);
    const instance_id leader = group.leader()->leader();
    const instance_id behind = leader == 1 ? 2 : 1;
    group.crash(behind);
    for (int i = 0; i < 20; ++i)
    {
        group.propose(leader);
        group.run(5);
    }
    const std::uint64_t index = group.leader()->commit_index();
    group.leader()->compact(index, std::vector<std::uint8_t>(1000, 7));
    group.restart(behind);
    group.run(5 * steps_per_second);
    CHECK(group.installed_snapshots() == 1);
    CHECK(group.node(behind)->snapshot_index() == index);
    CHECK(group.node(behind)->commit_index() >= index);
    CHECK(group.violation().empty());
}

// Guards against two changes at once, whose quorums need not overlap.
TEST_CASE("voters change one at a time")
{
    raft_cluster group{5, 5};
    elect(group);
    raft_node& leader = *group.leader();
    const voter_list list = *leader.configuration();
    const instance_id first = leader.leader() == 1 ? 2 : 1;
    const instance_id second = leader.leader() <= 2 ? 3 : 2;
    const time_point now{std::chrono::seconds{1000}};
    const voter_list one_less = list.without(first);
    CHECK_FALSE(leader.propose_voters(one_less.without(second), now).ok());
    CHECK(leader.propose_voters(one_less, now).ok());
    CHECK_FALSE(leader.propose_voters(one_less.without(second), now).ok());
    group.run(steps_per_second);
    CHECK(leader.propose_voters(one_less.without(second), now).ok());
    group.run(steps_per_second);
    CHECK(leader.configuration()->voters.size() == 3);
    CHECK(group.violation().empty());
}
