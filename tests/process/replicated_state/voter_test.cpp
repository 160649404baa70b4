#include "process/consensus/file_log_storage.hpp"
#include "support/temporary_folder.hpp"
#include "voter_cluster.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <tuple>

using namespace hickorygap;
using test::voter_cluster;

namespace
{

constexpr int steps_per_second = 50;

// Upper bound for the length of the sequences that RapidCheck makes.
constexpr int max_sequence_length = 400;

// Number of steps after an action: three quarters of the pauses are below
// 200 ms, the others below two seconds.
int pause_after(std::uint8_t value)
{
    return value % 4 == 0 ? value % (2 * steps_per_second) : value % 10;
}

// Kind of fault or request, node, and number of steps to run afterwards.
using action = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

bool run_until_fully_replicated(voter_cluster& group)
{
    for (int i = 0; i < 30 * steps_per_second && !group.is_fully_replicated();
         ++i)
    {
        group.step();
    }
    return group.is_fully_replicated();
}

// Runs until the voter list records the lost disk, because only a ticket filed
// after that re-admits the voter.
bool run_until_loss_recorded(voter_cluster& group, instance_id lost)
{
    for (int i = 0; i < 30 * steps_per_second; ++i)
    {
        group.step();
        const voter* leader = group.leader();
        if (leader != nullptr &&
            leader->status().voters.find_lost_disk(lost) != nullptr)
        {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against lost or changed tickets, two contents accepted under one
// number, stale reads, two requests that may run the same non-idempotent call,
// and a group that does not recover. Faults: crashes, lost disks (one at a
// time, each re-admitted by a ticket before the next), partitions, hung nodes,
// and loss, duplication and delay of messages.
TEST_CASE("tickets and calls stay consistent under random faults")
{
    rc::prop(
        "answers stay consistent and the group commits after all faults end",
        [](std::uint64_t seed, bool five)
        {
            const auto actions = *rc::gen::resize(
                max_sequence_length, rc::gen::arbitrary<std::vector<action>>());
            voter_cluster group{five ? 5U : 3U, seed};
            group.run(5 * steps_per_second);
            for (const auto& [kind, node, steps] : actions)
            {
                group.perform(kind, node);
                group.run(pause_after(steps));
            }
            RC_CLASSIFY(group.accepted().size() > 2, "three tickets");
            RC_CLASSIFY(group.permitted_calls() > 2, "three calls");
            RC_CLASSIFY(group.reads() > 0, "reads");
            RC_CLASSIFY(group.lost_disks() > 0, "a lost disk");
            RC_CLASSIFY(group.lost_disks() > 1, "two lost disks");
            group.heal();
            group.run(15 * steps_per_second);
            RC_ASSERT(group.violation() == "");
            RC_ASSERT(group.file_ticket("last ticket"));
            RC_ASSERT(run_until_fully_replicated(group));
            group.run(steps_per_second);
            group.check_histories();
            RC_ASSERT(group.violation() == "");
        });
}

// Guards against a ticket that is lost because a second voter loses its disk
// right after the first one was re-admitted.
TEST_CASE("tickets survive the loss of one disk after another")
{
    const std::uint64_t seed = GENERATE(range(1, 11));
    voter_cluster group{3, seed};
    for (const instance_id lost : {1U, 2U, 3U, 1U})
    {
        REQUIRE(group.file_ticket("before the loss"));
        REQUIRE(run_until_fully_replicated(group));
        group.lose_disk(lost);
        REQUIRE(run_until_loss_recorded(group, lost));
        REQUIRE(group.file_ticket("re-admits the voter"));
        REQUIRE(run_until_fully_replicated(group));
    }
    group.run(steps_per_second);
    group.check_histories();
    CHECK(group.violation().empty());
    CHECK(group.accepted().size() == 8);
}

// Guards against lost tickets: a voter with a new, empty disk must not help to
// elect a leader that lacks committed tickets.
TEST_CASE("a voter without its disk does not vote before a ticket lists it")
{
    voter_cluster group{3, 1};
    REQUIRE(run_until_fully_replicated(group));
    // Voter 3 does not receive the ticket, voter 2 loses it, and voter 1 stops.
    group.network().cut(3);
    REQUIRE(group.file_ticket("committed by voters 1 and 2"));
    group.crash(1);
    group.lose_disk(2);
    group.network().heal(3);
    group.run(30 * steps_per_second);
    CHECK(group.leader() == nullptr);
    CHECK_FALSE(group.find(2)->status().votes);
    // Voter 1 restarts. Voter 2 receives the log as a learner and votes only
    // after a ticket.
    group.restart(1);
    group.run(30 * steps_per_second);
    CHECK(group.find(2)->tickets().size() == 1);
    CHECK_FALSE(group.find(2)->status().votes);
    REQUIRE(group.file_ticket("re-admits voter 2"));
    CHECK(run_until_fully_replicated(group));
    group.run(steps_per_second);
    group.check_histories();
    CHECK(group.violation().empty());
}

// Guards against an isolated leader that answers a repeated ticket from its own
// state, which may be stale, and against a new log entry for each repetition.
TEST_CASE("a repeated ticket gets the same answer once a quorum confirms it")
{
    voter_cluster group{3, 2};
    REQUIRE(group.file_ticket("ticket 1"));
    const std::uint64_t last_index = group.leader()->status().last_index;
    const instance_id leader = group.leader()->leader();
    wire::propose_msg again;
    again.kind = wire::entry_kind::ticket;
    again.data = test::ticket_data(1, "ticket  1");
    group.deliver(leader, make_payload(again));
    group.run(steps_per_second / 2);
    const auto replies = group.take_observer_replies();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].status == wire::proposal_status::accepted);
    CHECK(replies[0].accepted_unix_ms == group.accepted().at(1).accepted);
    CHECK(replies[0].recorded == group.accepted().at(1).document);
    CHECK(group.leader()->status().last_index == last_index);

    group.network().cut(leader);
    group.deliver(leader, make_payload(again));
    group.run(5 * steps_per_second);
    for (const wire::propose_reply_msg& reply : group.take_observer_replies())
    {
        CHECK(reply.status == wire::proposal_status::not_leader);
    }
}

// Guards against a new ticket that is accepted while the acceptance check
// fails, and against repeated tickets that are refused by it.
TEST_CASE("the acceptance check refuses new tickets only")
{
    voter_cluster group{3, 3};
    REQUIRE(group.file_ticket("ticket 1"));
    const instance_id leader = group.leader()->leader();
    group.leader()->set_acceptance_check(
        []
        { return make_error(error_kind::no_quorum, "restore the network"); });
    const auto [number, expected] =
        GENERATE(table<configuration_version, wire::proposal_status>(
            {{1, wire::proposal_status::accepted},
             {2, wire::proposal_status::unavailable}}));
    wire::propose_msg proposal;
    proposal.kind = wire::entry_kind::ticket;
    proposal.data = test::ticket_data(number, "ticket 1");
    group.deliver(leader, make_payload(proposal));
    group.run(steps_per_second);
    const auto replies = group.take_observer_replies();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].status == expected);
}

// Guards against calls that stay "running" for ever after their entry
// instance restarted.
TEST_CASE("open calls of a process that ended get an unknown outcome")
{
    voter_cluster group{3, 4};
    REQUIRE(run_until_fully_replicated(group));
    const instance_id leader = group.leader()->leader();
    wire::propose_msg proposal;
    proposal.kind = wire::entry_kind::call_intent;
    proposal.data =
        encode_table<wire::call_intent>(test::make_intent("key", 11, 1));
    group.deliver(leader, make_payload(proposal));
    group.run(steps_per_second);
    for (instance_id id = 1; id <= 3; ++id)
    {
        group.find(id)->set_oldest_incarnation(11, 2);
    }
    group.run(steps_per_second);
    proposal.proposal = 1;
    proposal.data =
        encode_table<wire::call_intent>(test::make_intent("key", 12, 2));
    group.deliver(leader, make_payload(proposal));
    group.run(steps_per_second);
    const auto replies = group.take_observer_replies();
    REQUIRE(replies.size() == 2);
    CHECK(replies[0].status == wire::proposal_status::accepted);
    CHECK(replies[1].status == wire::proposal_status::outcome_unknown);
}

// Guards against a second ticket history when all voters have lost their disks:
// other members still have the tickets of the first one.
TEST_CASE("no group is created while the creation check fails")
{
    voter_cluster group{3, 6};
    bool knows_tickets = true;
    for (instance_id id = 1; id <= 3; ++id)
    {
        group.find(id)->set_creation_check(
            [&knows_tickets]
            {
                return knows_tickets ? make_error(
                                           error_kind::storage_damaged,
                                           "restore a voter's data folder")
                                     : absl::OkStatus();
            });
    }
    group.run(20 * steps_per_second);
    CHECK(group.leader() == nullptr);
    knows_tickets = false;
    CHECK(run_until_fully_replicated(group));
}

// Guards against a voter that votes with a new disk before the disk has all
// committed tickets.
TEST_CASE("a lost voter is re-admitted only once it has caught up")
{
    voter_cluster group{3, 7};
    for (int i = 0; i < 40; ++i)
    {
        REQUIRE(group.file_ticket(std::string(200, 'a')));
    }
    REQUIRE(run_until_fully_replicated(group));
    const instance_id lost = group.leader()->leader() == 1 ? 2 : 1;
    group.lose_disk(lost);
    REQUIRE(run_until_loss_recorded(group, lost));
    REQUIRE(group.file_ticket("re-admits the voter"));
    for (int i = 0; i < 60 * steps_per_second &&
                    group.leader()->status().voters.find_voter(lost) == nullptr;
         ++i)
    {
        group.step();
        REQUIRE(group.leader() != nullptr);
    }
    CHECK(group.find(lost)->tickets().size() >= 40);
    CHECK(group.violation().empty());
}

// Guards against a wrong answer to a proposal of an isolated leader whose log
// entry was replaced: the result of the new entry belongs to another proposal.
TEST_CASE("a proposal whose log entry another leader replaced gets no answer")
{
    voter_cluster group{3, 8};
    REQUIRE(group.file_ticket("ticket 1"));
    const instance_id isolated = group.leader()->leader();
    group.network().cut(isolated);
    wire::propose_msg proposal;
    proposal.kind = wire::entry_kind::ticket;
    proposal.data = test::ticket_data(2, "never committed");
    group.deliver(isolated, make_payload(proposal));
    group.run(5 * steps_per_second);
    REQUIRE(group.file_ticket("ticket 2"));
    group.network().heal(isolated);
    group.run(5 * steps_per_second);
    CHECK(group.find(isolated)->tickets().size() == 2);
    CHECK(group.take_observer_replies().empty());
}

// Guards against a leader that ignores a proposal for good because it had
// appended it in an earlier term, and its entry was replaced since.
TEST_CASE("a proposal is appended again after its log entry was replaced")
{
    constexpr std::uint64_t proposals = 20;
    voter_cluster group{3, 8};
    REQUIRE(group.file_ticket("ticket 1"));
    const instance_id isolated = group.leader()->leader();
    group.network().cut(isolated);
    wire::propose_msg proposal;
    proposal.kind = wire::entry_kind::ticket;
    proposal.data = test::ticket_data(2, "repeated");
    const auto propose = [&](std::uint64_t number)
    {
        proposal.proposal = number;
        group.deliver(isolated, make_payload(proposal));
    };
    for (std::uint64_t number = 1; number <= proposals; ++number)
    {
        propose(number);
    }
    group.run(5 * steps_per_second);
    group.network().heal(isolated);
    group.run(steps_per_second);
    // Others lead until the isolated voter does again, which adds fewer entries
    // than were replaced.
    for (int turn = 0; turn < 8 && group.leader()->leader() != isolated; ++turn)
    {
        const instance_id other = group.leader()->leader();
        group.network().cut(other);
        group.run(5 * steps_per_second);
        group.network().heal(other);
        group.run(steps_per_second);
    }
    REQUIRE(group.leader()->leader() == isolated);
    REQUIRE(group.take_observer_replies().empty());
    propose(proposals);
    group.run(2 * steps_per_second);
    const auto replies = group.take_observer_replies();
    REQUIRE(replies.size() == 1);
    CHECK(replies.front().proposal == proposals);
    CHECK(group.find(isolated)->tickets().size() == 2);
}

// Guards against a group that does not adopt a voter list in which another
// instance replaces a voter.
TEST_CASE("a ticket replaces one voter by another instance")
{
    voter_cluster group{4, 5};
    REQUIRE(run_until_fully_replicated(group));
    for (instance_id id = 1; id <= 4; ++id)
    {
        group.find(id)->set_target_voters(100, {1, 3, 4});
    }
    group.run(10 * steps_per_second);
    REQUIRE(group.leader() != nullptr);
    CHECK(group.leader()->status().voters.voters.size() == 3);
    CHECK(group.leader()->status().voters.find_voter(2) == nullptr);
}

// Guards against a voter that loses state when it restarts from its files, and
// against one that starts with a damaged snapshot.
TEST_CASE("a voter restarts from its files and refuses damaged ones")
{
    const test::temporary_folder folder;
    voter_options options;
    options.raft.self = 1;
    options.raft.initial_voters = {1};
    options.entries_per_snapshot = 4;
    time_point now{std::chrono::seconds{1000}};
    const auto open = [&]
    {
        return voter::open(
            options, std::make_unique<file_log_storage>(folder.path()),
            std::make_shared<test::text_validator>(), now);
    };
    for (configuration_version number = 1; number <= 5; ++number)
    {
        auto opened = open();
        REQUIRE(opened.ok());
        voter& subject = **opened;
        const std::uint64_t term = subject.term();
        for (int i = 0; i < 400 && subject.tickets().size() < number; ++i)
        {
            now = now + std::chrono::milliseconds{20};
            subject.tick(now, number);
            wire::propose_msg proposal;
            proposal.kind = wire::entry_kind::ticket;
            proposal.data = test::ticket_data(number, "text");
            subject.receive(9, make_payload(proposal), now, number);
            REQUIRE(subject.flush().ok());
            static_cast<void>(subject.take_outgoing());
        }
        CHECK(subject.term() > term);
        CHECK(subject.take_applied_tickets().size() == number);
    }
    REQUIRE_FALSE(folder.file("snapshot-").empty());
    std::filesystem::resize_file(folder.file("snapshot-"), 100);
    CHECK(kind_of(open().status()) == error_kind::storage_damaged);
}
