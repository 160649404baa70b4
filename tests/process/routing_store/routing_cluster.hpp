#ifndef HICKORYGAP_TESTS_PROCESS_ROUTING_STORE_ROUTING_CLUSTER_HPP
#define HICKORYGAP_TESTS_PROCESS_ROUTING_STORE_ROUTING_CLUSTER_HPP

#include "process/routing_store/routing_voter.hpp"
#include "support/faulty_network.hpp"
#include "support/memory_log_storage.hpp"

#include <fmt/format.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hickorygap::test
{

// The heartbeat interval and election timeout of voter_node.
inline raft_options production_timing()
{
    raft_options options;
    options.heartbeat_interval = std::chrono::milliseconds{100};
    options.election_timeout = std::chrono::milliseconds{600};
    return options;
}

// The voters of one fleet on a faulty network in simulated time. Instances 1 to
// 3 are the seeds; all others join. Records the acknowledged versions.
class routing_cluster
{
public:
    explicit routing_cluster(
        std::uint64_t seed, const raft_options& options = {})
        : seed_{seed}
        , raft_options_{options}
        , network_{seed}
    {
    }

    // Creates the storage of instances that are started later, instead of one
    // in memory.
    void
    set_storage(std::function<std::unique_ptr<log_storage>(instance_id)> create)
    {
        create_storage_ = std::move(create);
    }

    // Failure domains, for instances that are started later. Makes the voters
    // bear the loss of one.
    void set_failure_domains(std::map<instance_id, std::uint64_t> domains)
    {
        domains_ = std::move(domains);
    }

    // Makes instances that are started later lack support for half quorums, as
    // those of older releases do.
    void lack_half_quorums()
    {
        half_quorums_ = false;
    }
    void have_half_quorums()
    {
        half_quorums_ = true;
    }

    // Starts an instance with its existing disk, or with an empty one if it has
    // none.
    void start(instance_id id, bool bootstrap = false)
    {
        member& self = members_[id];
        if (!self.disk)
        {
            self.disk = std::make_shared<memory_disk>();
        }
        routing_voter_options options;
        options.lost_disks = 2;
        options.raft = raft_options_;
        options.raft.self = id;
        options.raft.half_quorums = half_quorums_;
        options.survives_domain_loss = !domains_.empty();
        if (const auto domain = domains_.find(id); domain != domains_.end())
        {
            options.raft.failure_domain = domain->second;
        }
        options.raft.seed = ++seed_;
        if (bootstrap && id <= 3)
        {
            options.raft.initial_voters = {1, 2, 3};
        }
        auto opened = routing_voter::open(
            options,
            create_storage_ ? create_storage_(id)
                            : std::make_unique<memory_log_storage>(self.disk),
            now_);
        if (opened.ok())
        {
            self.voter = *std::move(opened);
        }
    }

    void start_all(instance_id count)
    {
        for (instance_id id = 1; id <= count; ++id)
        {
            start(id, true);
        }
    }

    void kill(instance_id id)
    {
        members_[id].voter.reset();
        members_[id].leaves_until.reset();
    }

    // Ends the instance in order, as SIGTERM does: at the latest 2 s later.
    void shut_down(instance_id id)
    {
        members_[id].voter->leave(now_);
        members_[id].leaves_until = now_ + std::chrono::seconds{2};
    }

    // Makes the instance ask for its removal without ending.
    void leave(instance_id id)
    {
        members_[id].voter->leave(now_);
    }

    bool is_running(instance_id id) const
    {
        const auto found = members_.find(id);
        return found != members_.end() && found->second.voter &&
               !found->second.frozen;
    }

    void lose_disk(instance_id id)
    {
        kill(id);
        members_[id].disk.reset();
    }

    // Stops an instance without closing its connections; it continues with the
    // messages that have arrived meanwhile.
    void freeze(instance_id id)
    {
        members_[id].frozen = true;
    }

    void thaw(instance_id id)
    {
        member& self = members_[id];
        self.frozen = false;
        for (const auto& item : std::exchange(self.held_messages, {}))
        {
            self.voter->receive(item.from, item.payload, now_);
        }
    }

    // Advances the simulated time of all running instances by 20 ms.
    void step()
    {
        now_ = now_ + std::chrono::milliseconds{20};
        for (const auto& item : network_.take_due(now_))
        {
            member& to = members_[item.to];
            if (to.frozen)
            {
                to.held_messages.push_back(item);
            }
            else if (to.voter)
            {
                to.voter->receive(item.from, item.payload, now_);
            }
        }
        for (auto& [id, self] : members_)
        {
            if (!self.voter || self.frozen)
            {
                continue;
            }
            self.voter->tick(now_);
            constexpr std::array<instance_id, 3> seeds{1, 2, 3};
            for (const outgoing_message& request :
                 self.voter->membership_requests(seeds))
            {
                network_.send(id, request, now_);
            }
            static_cast<void>(self.voter->flush());
            if (self.voter->raft().is_leader())
            {
                const std::uint64_t term = self.voter->raft().term();
                two_leaders_ =
                    two_leaders_ ||
                    leaders_.try_emplace(term, id).first->second != id;
            }
            for (const outgoing_message& message : self.voter->take_outgoing())
            {
                network_.send(id, message, now_);
            }
            for (const store_outcome& outcome : self.voter->take_filings())
            {
                if (outcome.confirmed)
                {
                    confirmed_.insert({id, outcome.number});
                }
                const auto filing = self.filings.extract(outcome.number);
                if (outcome.confirmed && !filing.empty())
                {
                    ++self.acknowledgements;
                    acknowledged_ = std::max(acknowledged_, filing.mapped());
                }
            }
            for (const store_outcome& outcome :
                 self.voter->take_read_outcomes())
            {
                const auto read = self.reads.extract(outcome.number);
                self.confirmed_reads += outcome.confirmed ? 1 : 0;
                if (outcome.confirmed && !read.empty() &&
                    self.voter->current().version < read.mapped())
                {
                    stale_read_ = true;
                }
            }
            if (self.leaves_until &&
                (self.voter->has_left() || now_ >= *self.leaves_until))
            {
                kill(id);
            }
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            step();
        }
    }

    // Files the next version at the instance. False when the instance does not
    // run or refuses it.
    bool file(instance_id id)
    {
        member& self = members_[id];
        if (!self.voter)
        {
            return false;
        }
        const auto number = self.voter->file(
            {last_version_ + 1, fmt::format("document {}", last_version_ + 1)},
            now_);
        if (number.ok())
        {
            self.filings[*number] = ++last_version_;
        }
        return number.ok();
    }

    // Begins or ends the evacuation of a failure domain at the leader. Whether
    // a majority has committed it within the steps.
    bool evacuate(std::string_view domain, bool active, int steps = 400)
    {
        std::uint64_t number = 0;
        std::optional<instance_id> at;
        for (int i = 0; i < steps; ++i)
        {
            if (i % 100 == 0 && (at = leader()))
            {
                const auto filed =
                    members_[*at].voter->file_evacuation(domain, active, now_);
                number = filed.ok() ? *filed : 0;
            }
            step();
            if (at && number != 0 && confirmed_.contains({*at, number}))
            {
                return true;
            }
        }
        return false;
    }

    const std::set<std::string>& evacuated_at(instance_id id) const
    {
        return members_.at(id).voter->evacuated();
    }

    void read(instance_id id)
    {
        member& self = members_[id];
        if (!self.voter)
        {
            return;
        }
        const auto number = self.voter->start_read(now_);
        if (number.ok())
        {
            self.reads[*number] = acknowledged_;
        }
    }

    // Files versions at the leader until one is acknowledged; false when none
    // was within the steps.
    bool file_and_wait(int steps = 400)
    {
        const auto before = acknowledged_;
        for (int i = 0; i < steps && acknowledged_ == before; ++i)
        {
            if (i % 25 == 0)
            {
                if (const auto id = leader())
                {
                    file(*id);
                }
            }
            step();
        }
        return acknowledged_ > before;
    }

    // The leader with the highest term, if any.
    std::optional<instance_id> leader() const
    {
        std::optional<instance_id> found;
        std::uint64_t term = 0;
        for (const auto& [id, self] : members_)
        {
            if (self.voter && self.voter->raft().is_leader() &&
                self.voter->raft().term() >= term)
            {
                term = self.voter->raft().term();
                found = id;
            }
        }
        return found;
    }

    // Voters in the leader's voter list; empty without a leader.
    std::set<instance_id> voters() const
    {
        std::set<instance_id> result;
        if (const auto id = leader())
        {
            for (const auto& voter :
                 members_.at(*id).voter->raft().configuration()->voters)
            {
                result.insert(voter.instance);
            }
        }
        return result;
    }

    // Whether the leader's voter list allows half quorums; false without a
    // leader.
    bool has_half_quorums() const
    {
        const auto id = leader();
        return id &&
               members_.at(*id).voter->raft().configuration()->half_quorums;
    }

    // Number of running instances whose disk is in the voter list.
    std::size_t active_voters() const
    {
        std::size_t count = 0;
        for (const auto& [id, self] : members_)
        {
            count += is_running(id) && self.voter->raft().is_voter() ? 1 : 0;
        }
        return count;
    }

    std::uint64_t last_index(instance_id id) const
    {
        return members_.at(id).voter->raft().last_index();
    }
    int acknowledgements(instance_id id) const
    {
        return members_.at(id).acknowledgements;
    }
    configuration_version version_at(instance_id id) const
    {
        return members_.at(id).voter->current().version;
    }
    configuration_version acknowledged() const
    {
        return acknowledged_;
    }
    int confirmed_reads(instance_id id) const
    {
        return members_.at(id).confirmed_reads;
    }
    bool stale_read() const
    {
        return stale_read_;
    }

    // Whether two voters have led in the same term.
    bool two_leaders() const
    {
        return two_leaders_;
    }
    memory_disk& disk(instance_id id)
    {
        return *members_.at(id).disk;
    }
    faulty_network& network()
    {
        return network_;
    }

private:
    struct member
    {
        std::shared_ptr<memory_disk> disk;
        std::unique_ptr<routing_voter> voter;
        bool frozen = false;
        std::optional<time_point> leaves_until;
        std::vector<faulty_network::delivery> held_messages;

        // Versions by the number of their filing, and the acknowledged version
        // at the start of each read by its number.
        std::map<std::uint64_t, configuration_version> filings;
        std::map<std::uint64_t, configuration_version> reads;
        int acknowledgements = 0;
        int confirmed_reads = 0;
    };

    std::uint64_t seed_;
    raft_options raft_options_;
    std::map<instance_id, std::uint64_t> domains_;
    std::function<std::unique_ptr<log_storage>(instance_id)> create_storage_;
    faulty_network network_;
    std::map<instance_id, member> members_;
    time_point now_{std::chrono::hours{1}};
    configuration_version last_version_ = 0;
    configuration_version acknowledged_ = 0;
    bool stale_read_ = false;
    bool half_quorums_ = true;

    // The first leader that was seen in each term.
    std::map<std::uint64_t, instance_id> leaders_;
    bool two_leaders_ = false;

    // Confirmed filings, with their instance.
    std::set<std::pair<instance_id, std::uint64_t>> confirmed_;
};

} // namespace hickorygap::test

#endif
