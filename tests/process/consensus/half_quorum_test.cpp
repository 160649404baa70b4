#include "common/random.hpp"
#include "process/consensus/raft_node.hpp"
#include "process/consensus/storage_writer.hpp"
#include "support/memory_log_storage.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;

namespace
{

constexpr disk_id first_disk(instance_id id)
{
    return 1000 + id;
}

// The disk of an instance of a group whose first log entry, the list of voters
// 1 to `voters`, is committed. An instance that is none of them has no entry.
stored_state first_state(instance_id id, instance_id voters, bool half_quorums)
{
    stored_state state;
    state.empty = false;
    state.hard.disk = first_disk(id);
    if (id > voters)
    {
        return state;
    }
    voter_list list;
    list.half_quorums = half_quorums;
    for (instance_id voter = 1; voter <= voters; ++voter)
    {
        list.voters.push_back({voter, first_disk(voter)});
    }
    wire::log_entry_msg entry;
    entry.index = 1;
    entry.term = 1;
    entry.kind = wire::entry_kind::voters;
    entry.data = encode_table<wire::voters_entry>(to_wire(list));
    state.entries.push_back(std::move(entry));
    state.hard.term = 1;
    state.hard.committed_list = 1;
    return state;
}

// A group of raft nodes whose messages are delivered when the test says so, in
// any order, between any of them, or never. Starts with a committed list of
// voters that has half quorums. Checks after each step that a term has one
// leader, that no committed entry is replaced or missing from a later leader,
// and that confirmed reads are current.
class scheduled_group
{
public:
    scheduled_group(instance_id voters, instance_id spares, std::uint64_t seed)
        : random_{seed}
    {
        for (instance_id id = 1; id <= voters + spares; ++id)
        {
            member& self = members_[id];
            self.disk = std::make_shared<memory_disk>();
            self.disk->synced = first_state(id, voters, true);
            start(id);
        }
    }

    std::size_t size() const
    {
        return members_.size();
    }

    void restart(instance_id id)
    {
        start(id);
    }

    // The disk is lost; the process starts again with an empty one. Messages of
    // the former process stay on their way.
    void lose_disk(instance_id id)
    {
        members_.at(id).disk = std::make_shared<memory_disk>();
        start(id);
    }

    // Lets the node's election timeout pass.
    void campaign(instance_id id)
    {
        now_ = now_ + std::chrono::seconds{5};
        members_.at(id).node->tick(now_);
        settle(id);
    }

    // Delivers each message between the connected instances, in random order,
    // until there is none; loses some of them.
    void
    deliver(const std::set<instance_id>& connected, std::uint64_t lost_percent)
    {
        constexpr int max_deliveries = 400;
        for (int i = 0; i < max_deliveries; ++i)
        {
            std::vector<std::size_t> due;
            for (std::size_t m = 0; m < messages_.size(); ++m)
            {
                if (connected.contains(messages_[m].from) &&
                    connected.contains(messages_[m].to))
                {
                    due.push_back(m);
                }
            }
            if (due.empty())
            {
                return;
            }
            const std::size_t at = due[random_below(random_, due.size())];
            const message item = messages_[at];
            messages_.erase(
                messages_.begin() + static_cast<std::ptrdiff_t>(at));
            if (random_below(random_, 100) >= lost_percent)
            {
                members_.at(item.to).node->receive(
                    item.from, item.payload, now_);
                settle(item.to);
            }
        }
    }

    // Forgets most of the undelivered messages; the others are late.
    void lose_old_messages()
    {
        std::erase_if(
            messages_,
            [this](const message&) { return random_below(random_, 8) != 0; });
    }

    void propose(instance_id id)
    {
        std::vector<std::uint8_t> data{++last_value_};
        static_cast<void>(
            node(id).propose(wire::entry_kind::ticket, std::move(data), now_));
        settle(id);
    }

    void propose_voters(instance_id id, const voter_list& list)
    {
        static_cast<void>(node(id).propose_voters(list, now_));
        settle(id);
    }

    void read(instance_id id)
    {
        const auto read = node(id).read_index(now_);
        if (read.ok())
        {
            members_.at(id).reads[*read] = last_committed();
        }
        settle(id);
    }

    // Sends heartbeats.
    void broadcast(instance_id id)
    {
        now_ = now_ + std::chrono::milliseconds{200};
        read(id);
    }

    raft_node& node(instance_id id)
    {
        return *members_.at(id).node;
    }

    // The first violated property; empty for none.
    const std::string& violation() const
    {
        return violation_;
    }

    std::uint64_t last_committed() const
    {
        return committed_.empty() ? 0 : committed_.rbegin()->first;
    }

private:
    struct message
    {
        instance_id from;
        instance_id to;
        wire::payloadUnion payload;
    };

    struct member
    {
        std::shared_ptr<memory_disk> disk;
        std::unique_ptr<raft_node> node;
        std::unique_ptr<storage_writer> writer;

        // Last committed index at the start of each read.
        std::map<std::uint64_t, std::uint64_t> reads;
    };

    struct committed_entry
    {
        std::uint64_t term;
        std::uint64_t commit_term;
        std::vector<std::uint8_t> data;
    };

    void start(instance_id id)
    {
        member& self = members_.at(id);
        self.reads.clear();
        raft_options options;
        options.self = id;
        options.half_quorums = true;
        options.seed = random_();
        // Votes don't wait for a lease.
        now_ = now_ + std::chrono::seconds{5};
        auto storage = std::make_unique<memory_log_storage>(self.disk);
        self.node = std::make_unique<raft_node>(
            options, *storage->load(), now_ - std::chrono::seconds{5});
        self.writer = std::make_unique<storage_writer>(
            std::move(storage), std::chrono::milliseconds{1});
        settle(id);
    }

    void settle(instance_id id)
    {
        member& self = members_.at(id);
        static_cast<void>(self.writer->write(*self.node, now_));
        for (outgoing_message& item : self.node->take_outgoing())
        {
            messages_.push_back(
                {id, item.destination, std::move(item.payload)});
        }
        static_cast<void>(self.writer->write(*self.node, now_));
        check_leader(id);
        check_committed(id);
        for (const read_outcome& outcome : self.node->take_read_outcomes())
        {
            const std::uint64_t required = self.reads[outcome.read];
            if (outcome.confirmed && self.node->commit_index() < required)
            {
                report(fmt::format("read of {} lacks entry {}", id, required));
            }
        }
    }

    void check_leader(instance_id id)
    {
        const raft_node& leader = node(id);
        if (!leader.is_leader())
        {
            return;
        }
        const auto [item, is_new] = leaders_.try_emplace(leader.term(), id);
        if (item->second != id)
        {
            report(fmt::format(
                "{} and {} lead in term {}", item->second, id, leader.term()));
        }
        if (!is_new)
        {
            return;
        }
        for (const auto& [index, entry] : committed_)
        {
            if (entry.commit_term < leader.term() &&
                leader.entries().term_at(index) != entry.term)
            {
                report(fmt::format(
                    "leader {} of term {} lacks entry {} of term {}", id,
                    leader.term(), index, entry.term));
            }
        }
    }

    void check_committed(instance_id id)
    {
        const committed_batch batch = node(id).take_committed();
        for (const wire::log_entry_msg& entry : batch.entries)
        {
            const auto [item, is_new] = committed_.try_emplace(
                entry.index,
                committed_entry{entry.term, node(id).term(), entry.data});
            if (item->second.term != entry.term ||
                item->second.data != entry.data)
            {
                report(fmt::format(
                    "{} replaces committed entry {}", id, entry.index));
            }
        }
    }

    void report(std::string what)
    {
        if (violation_.empty())
        {
            violation_ = std::move(what);
        }
    }

    random_engine random_;
    time_point now_{std::chrono::hours{1}};
    std::map<instance_id, member> members_;
    std::vector<message> messages_;
    std::map<std::uint64_t, instance_id> leaders_;
    std::map<std::uint64_t, committed_entry> committed_;
    std::uint8_t last_value_ = 0;
    std::string violation_;
};

// One random run: phases in each of which some of the instances are connected.
class random_run
{
public:
    random_run(instance_id voters, std::uint64_t seed)
        : group_{voters, 1, seed}
        , random_{seed}
        , voters_{voters}
    {
    }

    std::string run()
    {
        group_.campaign(random_instance());
        group_.deliver(all(), 0);
        constexpr int phases = 8;
        for (int phase = 0; phase < phases && group_.violation().empty();
             ++phase)
        {
            run_phase();
        }
        return group_.violation();
    }

private:
    std::set<instance_id> all() const
    {
        std::set<instance_id> result;
        for (instance_id id = 1; id <= group_.size(); ++id)
        {
            result.insert(id);
        }
        return result;
    }

    instance_id random_instance()
    {
        return static_cast<instance_id>(
            random_below(random_, group_.size()) + 1);
    }

    void run_phase()
    {
        std::set<instance_id> connected;
        const std::size_t count = voters_ / 2 + random_below(random_, 3);
        while (connected.size() < count)
        {
            connected.insert(random_instance());
        }
        if (random_below(random_, 3) == 0)
        {
            lose_disks();
        }
        const std::uint64_t lost_percent =
            random_below(random_, 3) == 0 ? 15 : 0;
        const int actions = static_cast<int>(random_below(random_, 6)) + 1;
        for (int i = 0; i < actions; ++i)
        {
            auto chosen = connected.begin();
            std::advance(chosen, random_below(random_, connected.size()));
            act(*chosen, connected, lost_percent);
            group_.deliver(connected, lost_percent);
        }
        group_.lose_old_messages();
    }

    // Two instances at most lose their disks in a run.
    void lose_disks()
    {
        const std::size_t count = random_below(random_, 2) + 1;
        for (std::size_t i = 0; i < count && lost_.size() < 2; ++i)
        {
            const instance_id id = random_instance();
            if (id <= voters_ && lost_.insert(id).second)
            {
                group_.lose_disk(id);
            }
        }
    }

    void
    act(instance_id id, const std::set<instance_id>& connected,
        std::uint64_t lost_percent)
    {
        raft_node& node = group_.node(id);
        if (!node.is_leader())
        {
            if (random_below(random_, 10) == 0)
            {
                group_.restart(id);
            }
            // A lost disk is detected, named and confirmed in three rounds of
            // pre-votes.
            constexpr int rounds = 4;
            for (int round = 0; round < rounds; ++round)
            {
                group_.campaign(id);
                group_.deliver(connected, lost_percent);
            }
            return;
        }
        switch (random_below(random_, 6))
        {
        case 0:
            group_.read(id);
            break;
        case 1:
            group_.broadcast(id);
            break;
        case 2:
            group_.propose(id);
            break;
        default:
            change_voters(id);
            break;
        }
    }

    void change_voters(instance_id leader)
    {
        const raft_node& node = group_.node(leader);
        const voter_list& list = *node.configuration();
        for (const voter_identity& voter : list.voters)
        {
            const disk_id disk = node.disk_of(voter.instance);
            if (disk != 0 && disk != voter.disk &&
                random_below(random_, 2) == 0)
            {
                group_.propose_voters(
                    leader, list.with_voter({voter.instance, disk}));
                return;
            }
        }
        const instance_id changed = random_instance();
        if (random_below(random_, 4) == 0)
        {
            // The same voters.
            group_.propose_voters(leader, list);
            return;
        }
        const bool is_voter = list.find_voter(changed) != nullptr;
        // A majority of a list must be more than the disks that are lost.
        constexpr std::size_t min_voters = 4;
        if (is_voter && list.voters.size() > min_voters)
        {
            group_.propose_voters(leader, list.without(changed));
        }
        else if (!is_voter && !lost_.contains(changed))
        {
            group_.propose_voters(
                leader, list.with_voter({changed, first_disk(changed)}));
        }
    }

    scheduled_group group_;
    random_engine random_;
    instance_id voters_;
    std::set<instance_id> lost_;
};

} // namespace

// A node of a group of six of which the test plays all others.
class lone_candidate
{
public:
    explicit lone_candidate(bool half_quorums)
    {
        raft_options options;
        options.self = 1;
        options.half_quorums = true;
        node_ = std::make_unique<raft_node>(
            options, first_state(1, 6, half_quorums), now_);
    }

    // Lets the election timeout pass and returns the votes requested.
    std::map<instance_id, wire::vote_request_msg> campaign()
    {
        now_ = now_ + std::chrono::seconds{5};
        node_->tick(now_);
        return take<wire::vote_request_msg>();
    }

    template <typename Message>
    void receive(instance_id from, const Message& message)
    {
        node_->receive(from, make_outgoing(1, message).payload, now_);
    }

    // The last message of this kind to each instance since the last call.
    template <typename Message>
    std::map<instance_id, Message> take()
    {
        static_cast<void>(node_->take_writes());
        node_->on_synced(now_);
        std::map<instance_id, Message> result;
        for (const outgoing_message& item : node_->take_outgoing())
        {
            if (const auto* message = message_in<Message>(item.payload))
            {
                result[item.destination] = *message;
            }
        }
        return result;
    }

    bool is_leader() const
    {
        return node_->is_leader();
    }

private:
    time_point now_{std::chrono::hours{1}};
    std::unique_ptr<raft_node> node_;
};

wire::vote_reply_msg
grant(instance_id voter, const wire::vote_request_msg& request, bool confirms)
{
    wire::vote_reply_msg reply;
    reply.term = request.term;
    reply.granted = true;
    reply.pre_vote = request.pre_vote;
    reply.disk = first_disk(voter);
    reply.confirms_loss = confirms;
    return reply;
}

// Guards against a half quorum without proof: that the lost disk is only
// reported by a message that may be older than the disk itself, that a voter
// has not confirmed the loss, or that another voter may count by another rule.
TEST_CASE("half of the voters elect a leader only after a confirmed loss")
{
    struct proof
    {
        bool half_quorums;
        bool is_fresh;
        bool is_other_disk;
        instance_id confirming;
        bool elected;
    };
    const auto [half_quorums, is_fresh, is_other_disk, confirming, elected] =
        GENERATE(values<proof>(
            {{true, true, true, 2, true},
             {true, true, true, 1, false},
             {true, true, true, 0, false},
             {true, true, false, 2, false},
             {true, false, true, 2, false},
             {false, true, true, 2, false}}));
    CAPTURE(half_quorums, is_fresh, is_other_disk, confirming);
    lone_candidate candidate{half_quorums};
    REQUIRE(candidate.campaign().contains(4));
    // Voter 4 replies from a new disk, which makes the candidate ask.
    wire::vote_reply_msg refusal;
    refusal.pre_vote = true;
    refusal.disk = 7;
    candidate.receive(4, refusal);
    const auto queries = candidate.take<wire::group_query_msg>();
    CHECK(queries.contains(4) == half_quorums);
    wire::group_reply_msg answer;
    answer.disk = is_other_disk ? 7 : first_disk(4);
    answer.nonce = queries.contains(4) && is_fresh ? queries.at(4).nonce : 3;
    candidate.receive(4, answer);
    auto requests = candidate.campaign();
    const bool proven = half_quorums && is_fresh && is_other_disk;
    CHECK((requests.at(2).lost_disk == first_disk(4)) == proven);
    for (const bool pre_vote : {true, false})
    {
        for (const instance_id voter : {2U, 3U})
        {
            const bool confirms = voter - 1 <= confirming;
            if (requests.contains(voter) &&
                requests.at(voter).pre_vote == pre_vote)
            {
                candidate.receive(
                    voter, grant(voter, requests.at(voter), confirms));
            }
        }
        requests = candidate.take<wire::vote_request_msg>();
    }
    CHECK(candidate.is_leader() == elected);
}

// Random elections, changes of the voter list, lost disks and partitions, with
// messages that are lost or arrive when their sender no longer exists. Guards
// against half quorums that have no voter in common with another quorum: two
// leaders in a term, and committed entries that a later leader lacks.
TEST_CASE("half quorums are safe in any order of events")
{
    const auto voters = GENERATE(values<instance_id>({4, 5, 6}));
    constexpr std::uint64_t seeds = 8000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(voters, seed);
        REQUIRE(random_run{voters, seed}.run() == "");
    }
}
