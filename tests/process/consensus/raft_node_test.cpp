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
constexpr int max_sequence_length = 400;

// Number of steps after a fault: three quarters of the pauses are below 200 ms,
// the others below two seconds.
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
        group.perform(kind, node);
        group.run(pause_after(steps));
    }
}

void wait_for_leader(raft_cluster& group)
{
    for (int i = 0; i < 20 * steps_per_second && group.leader() == nullptr; ++i)
    {
        group.step();
    }
    REQUIRE(group.leader() != nullptr);
    group.run(steps_per_second);
}

constexpr time_point start_time{std::chrono::seconds{1000}};
constexpr disk_id disk_of_first = 10;

// Makes voter 1 of the voters 1, 2 and 3 with disks 10, 20 and 30. Its log has
// the voter list of term 1 and then entries of the given terms.
raft_node make_node(const std::vector<std::uint64_t>& terms)
{
    voter_list list;
    list.voters = {{1, disk_of_first}, {2, 20}, {3, 30}};
    stored_state state;
    state.empty = false;
    state.hard = {terms.empty() ? 1 : terms.back(), 0, disk_of_first, {}};
    wire::log_entry_msg entry;
    entry.index = 1;
    entry.term = 1;
    entry.kind = wire::entry_kind::voters;
    entry.data = encode_table<wire::voters_entry>(to_wire(list));
    state.entries.push_back(entry);
    for (const std::uint64_t term : terms)
    {
        wire::log_entry_msg next;
        next.index = state.entries.size() + 1;
        next.term = term;
        state.entries.push_back(next);
    }
    raft_options options;
    options.self = 1;
    return raft_node{options, std::move(state), start_time};
}

void sync(raft_node& node, time_point now)
{
    static_cast<void>(node.take_writes());
    node.on_synced(now);
}

// Makes the node leader by the vote of voter 2; returns the time.
time_point make_leader(raft_node& node)
{
    const time_point now = start_time + std::chrono::seconds{3};
    node.tick(now);
    for (const bool pre_vote : {true, false})
    {
        wire::vote_reply_msg vote;
        vote.term = node.term() + (pre_vote ? 1 : 0);
        vote.granted = true;
        vote.pre_vote = pre_vote;
        vote.disk = 20;
        node.receive(2, make_payload(vote), now);
        sync(node, now);
    }
    REQUIRE(node.is_leader());
    return now;
}

void acknowledge(raft_node& node, std::uint64_t match, time_point now)
{
    wire::append_reply_msg reply;
    reply.term = node.term();
    reply.success = true;
    reply.match_index = match;
    reply.disk = 20;
    node.receive(2, make_payload(reply), now);
}

} // namespace

// Guards against an entry of an earlier term that counts as committed because
// a quorum has it: a leader without it could still be elected.
TEST_CASE("entries of earlier terms commit only with one of the current term")
{
    raft_node node = make_node({2, 2});
    const time_point now = make_leader(node);
    acknowledge(node, 3, now);
    CHECK(node.commit_index() == 0);
    acknowledge(node, 4, now);
    CHECK(node.commit_index() == 4);
}

// Guards against a leader that counts itself towards the quorum of an entry
// before the entry is durable on its own disk.
TEST_CASE("the leader counts its own copy of an entry once it is synced")
{
    raft_node node = make_node({});
    const time_point now = make_leader(node);
    sync(node, now);
    acknowledge(node, 2, now);
    REQUIRE(node.commit_index() == 2);
    REQUIRE(node.propose(wire::entry_kind::ticket, {1}, now).ok());
    acknowledge(node, 3, now);
    CHECK(node.commit_index() == 2);
    sync(node, now);
    CHECK(node.commit_index() == 3);
}

// Guards against a delayed append that truncates entries acknowledged since.
TEST_CASE("a delayed append request removes no entries")
{
    raft_node node = make_node({2, 2, 2});
    wire::append_request_msg late;
    late.term = 2;
    late.previous_index = 1;
    late.previous_term = 1;
    wire::log_entry_msg entry;
    entry.index = 2;
    entry.term = 2;
    late.entries.push_back(std::make_unique<wire::log_entry_msg>(entry));
    node.receive(2, make_payload(late), start_time);
    CHECK(node.last_index() == 4);
}

// Guards against votes and acknowledgements that are sent before they are
// durable: after a crash the voter would vote again in the same term or lack an
// entry that it acknowledged.
TEST_CASE("votes and acknowledgements wait for the sync")
{
    const bool is_vote = GENERATE(true, false);
    raft_node node = make_node({});
    const time_point now = start_time + std::chrono::milliseconds{1100};
    if (is_vote)
    {
        wire::vote_request_msg request;
        request.term = 2;
        request.last_index = 5;
        request.last_term = 1;
        request.receiver_disk = disk_of_first;
        node.receive(2, make_payload(request), now);
    }
    else
    {
        wire::append_request_msg request;
        request.term = 1;
        request.previous_index = 1;
        request.previous_term = 1;
        request.entries.push_back(std::make_unique<wire::log_entry_msg>());
        request.entries.back()->term = 1;
        node.receive(2, make_payload(request), now);
    }
    CHECK(node.take_outgoing().empty());
    sync(node, now);
    const auto sent = node.take_outgoing();
    REQUIRE(sent.size() == 1);
    const auto* vote = message_in<wire::vote_reply_msg>(sent[0].payload);
    const auto* reply = message_in<wire::append_reply_msg>(sent[0].payload);
    CHECK((is_vote ? vote->granted : reply->success));
}

// Guards against votes and acknowledgements from a disk that is not in the
// voter list: an instance that lost its disk must not act as the former voter.
TEST_CASE("only votes and acknowledgements from disks in the voter list count")
{
    raft_node node = make_node({});
    const time_point now = make_leader(node);
    sync(node, now);
    wire::append_reply_msg reply;
    reply.term = node.term();
    reply.success = true;
    reply.match_index = 2;
    reply.read_sequence = 1;
    reply.disk = 21;
    static_cast<void>(node.take_outgoing());
    node.receive(2, make_payload(reply), now);
    CHECK(node.commit_index() == 0);
    CHECK_FALSE(node.holds_lease(now));
    reply.disk = 20;
    node.receive(2, make_payload(reply), now);
    CHECK(node.commit_index() == 2);
    CHECK(node.holds_lease(now));

    raft_node other = make_node({});
    wire::vote_request_msg request;
    request.term = 2;
    request.last_index = 5;
    request.last_term = 1;
    request.receiver_disk = disk_of_first + 1;
    other.receive(2, make_payload(request), now);
    sync(other, now);
    const auto sent = other.take_outgoing();
    REQUIRE(sent.size() == 1);
    CHECK_FALSE(message_in<wire::vote_reply_msg>(sent[0].payload)->granted);

    raft_node third = make_node({});
    third.tick(now);
    wire::vote_reply_msg vote;
    vote.term = third.term() + 1;
    vote.granted = true;
    vote.pre_vote = true;
    vote.disk = 21;
    third.receive(2, make_payload(vote), now);
    CHECK(third.role() == raft_role::pre_candidate);
    vote.disk = 20;
    third.receive(2, make_payload(vote), now);
    CHECK(third.role() == raft_role::candidate);
}

// Guards against stale reads: an isolated leader that answers from its own
// state while a newer leader may exist.
TEST_CASE("a read waits until a quorum confirmed the leader")
{
    raft_cluster group{3, 6};
    wait_for_leader(group);
    const std::uint64_t before = group.confirmed_reads();
    const instance_id leader = group.leader()->leader();
    group.network().cut(leader);
    group.perform(11, 0);
    group.run(steps_per_second / 2);
    CHECK(group.confirmed_reads() == before);
    group.network().heal(leader);
    group.run(steps_per_second / 2);
    CHECK(group.confirmed_reads() == before + 1);
}

// Guards against two leaders in a term, logs that match at one entry but not
// before it, committed entries that change or vanish, stale reads, and a lease
// that is still held when a newer leader exists. Faults: crashes that lose
// unsynced writes, partitions, hung nodes, full and slow disks, and loss,
// duplication and delay of messages.
TEST_CASE("raft keeps its safety properties under random faults")
{
    rc::prop(
        "no property is violated and the group commits after all faults end",
        [](std::uint64_t seed, bool five)
        {
            const auto faults = *rc::gen::resize(
                max_sequence_length, rc::gen::arbitrary<std::vector<fault>>());
            raft_cluster group{five ? 5U : 3U, seed};
            run_faults(group, faults);
            group.heal();
            group.run(20 * steps_per_second);
            RC_ASSERT(group.violation() == "");
            const std::uint64_t before = group.committed();
            RC_ASSERT(group.leader() != nullptr);
            group.perform(11, 0);
            group.run(5 * steps_per_second);
            RC_ASSERT(group.violation() == "");
            RC_ASSERT(group.committed() > before);
            RC_ASSERT(group.confirmed_reads() > 0U);
        });
}

// Guards against a second group: while an initial voter does not answer, it may
// be a member of an existing group.
TEST_CASE("a group is created only when all initial voters answer")
{
    raft_cluster group{3, 1};
    group.crash(2);
    group.run(20 * steps_per_second);
    CHECK(group.leader() == nullptr);
    group.restart(2);
    wait_for_leader(group);
    CHECK(group.violation().empty());
}

// Guards against an isolated leader that remains leader, and against one that
// returns from the partition with a higher term and deposes the current leader.
TEST_CASE("an isolated leader steps down and causes no election on its return")
{
    raft_cluster group{3, 2};
    wait_for_leader(group);
    raft_node* old_leader = group.leader();
    const instance_id old_id = old_leader->leader();
    group.network().cut(old_id);
    group.run(2 * steps_per_second);
    CHECK_FALSE(old_leader->is_leader());
    wait_for_leader(group);
    const std::uint64_t term = group.leader()->term();
    group.run(10 * steps_per_second);
    group.network().heal(old_id);
    group.run(5 * steps_per_second);
    CHECK(group.leader()->term() == term);
    CHECK(old_leader->term() == term);
}

// Guards against a follower that acknowledges an entry before it is synced to
// its disk.
TEST_CASE("an entry commits only once a quorum of disks has synced it")
{
    raft_cluster group{3, 3};
    wait_for_leader(group);
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
    wait_for_leader(group);
    CHECK(group.committed() > before);
}

// Guards against a follower that can't catch up once the leader has compacted
// the entries that it lacks.
TEST_CASE("a follower that is far behind receives a snapshot in chunks")
{
    raft_cluster group{3, 4};
    wait_for_leader(group);
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

// Guards against two membership changes at a time: the quorums before and after
// them need not overlap.
TEST_CASE("the voter list changes by one voter at a time")
{
    raft_cluster group{5, 5};
    wait_for_leader(group);
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
