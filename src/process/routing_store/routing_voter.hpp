#ifndef HICKORYGAP_PROCESS_ROUTING_STORE_ROUTING_VOTER_HPP
#define HICKORYGAP_PROCESS_ROUTING_STORE_ROUTING_VOTER_HPP

#include "process/consensus/raft_node.hpp"
#include "process/consensus/storage_writer.hpp"
#include "process/routing_store/routing_register.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace hickorygap
{

struct routing_voter_options
{
    // raft.initial_voters: instances that found a new group; empty on an
    // instance that may only join one.
    raft_options raft;

    // Disks that may be lost at the same time without losing what was
    // accepted. The group wants twice as many voters and one.
    std::uint32_t lost_disks = 0;

    // A voter that is not heard for so long is replaced when another instance
    // can take its place.
    duration replace_after = std::chrono::seconds{4};

    // A joining instance repeats its request; it is forgotten after this.
    duration join_expiry = std::chrono::seconds{3};

    // Entries applied between two snapshots.
    std::uint64_t snapshot_interval = 64;

    // Shortest pause between two proposals, so that versions in quick
    // succession leave room on the voters' links. Only the highest of the
    // versions that wait is proposed; it settles the others too.
    duration filing_interval = std::chrono::milliseconds{300};

    // A read that another voter was asked to confirm ends without a result
    // after this time.
    duration read_expiry = std::chrono::seconds{3};

    // Pause between attempts to write to a storage that failed.
    duration storage_retry_interval = std::chrono::milliseconds{200};
};

// How a filing or a read ended.
struct store_outcome
{
    std::uint64_t number = 0;

    // A filing: committed on a majority of the voters' disks. A read: this
    // voter's state is current. False: nothing is known.
    bool confirmed = false;
};

// One voter of the group that holds the routing configuration: log, disk and
// state, and, as leader, the upkeep of the group. Pure apart from the storage;
// the caller passes messages and time, calls flush after each batch of them
// and then sends take_outgoing.
class routing_voter
{
public:
    // Errors: storage_damaged, storage_failed.
    static absl::StatusOr<std::unique_ptr<routing_voter>> open(
        routing_voter_options options, std::unique_ptr<log_storage> storage,
        time_point now);

    void tick(time_point now);

    // Handles consensus messages, group_join and the answers to it, and reads
    // of other voters; ignores others.
    void receive(
        instance_id from, const wire::payloadUnion& payload, time_point now);

    // Proposes a configuration, at once or together with others soon, and
    // returns the number of the filing. Errors: not_leader; no_quorum while
    // the group has fewer voters than the number of disks that may be lost
    // demands.
    absl::StatusOr<std::uint64_t>
    file(const filed_configuration& configuration, time_point now);

    // Starts a read that a majority confirms, through the leader. Any voter can
    // read, so that large documents don't all cross the leader's link. Error:
    // not_leader, when none is known.
    absl::StatusOr<std::uint64_t> start_read(time_point now);

    // Makes everything durable. Errors: storage_failed, tried again later;
    // storage_damaged: the voter must stop.
    absl::Status flush();

    std::vector<outgoing_message> take_outgoing();
    std::vector<store_outcome> take_filings();
    std::vector<store_outcome> take_read_outcomes();

    // Newest committed configuration that this voter knows.
    const filed_configuration& current() const
    {
        return state_.current();
    }
    const raft_node& raft() const
    {
        return raft_;
    }

    // Asked of another voter while this instance is none; see receive.
    bool wants_to_join() const
    {
        return !raft_.is_voter();
    }

    // Voters that another one has named to this instance, which wants to join.
    std::span<const instance_id> told_voters() const
    {
        return told_voters_;
    }

private:
    routing_voter(
        routing_voter_options options, std::unique_ptr<log_storage> storage,
        stored_state stored, time_point now);

    absl::Status advance();
    void propose_waiting();
    void end_filings(std::span<const std::uint64_t> numbers, bool confirmed);
    void receive_join(instance_id from);
    void receive_read(instance_id from, const wire::read_request_msg& request);
    void receive_read_reply(const wire::read_reply_msg& reply);
    void reply_to_read(instance_id to, std::uint64_t read, bool confirmed);
    void finish_reads();
    std::size_t wanted_voters() const;
    void maintain_group();
    std::optional<voter_list> next_list() const;
    bool is_silent(instance_id instance) const;

    routing_voter_options options_;
    storage_writer writer_;
    raft_node raft_;
    routing_register state_;
    time_point now_;
    std::uint64_t applied_index_ = 0;

    // Filings that the entry at a log index settles.
    struct proposed_filings
    {
        std::uint64_t term = 0;
        std::vector<std::uint64_t> numbers;
    };
    std::map<std::uint64_t, proposed_filings> proposed_;

    // Filings that were not proposed yet, and the highest of them.
    std::vector<std::uint64_t> waiting_;
    filed_configuration waiting_highest_;
    std::uint64_t last_filing_ = 0;
    time_point next_proposal_;

    // Reads of this voter that the leader was asked to confirm.
    struct forwarded_read
    {
        time_point since;

        // Version that the state must have reached; nothing before the
        // leader's reply.
        std::optional<configuration_version> version;
    };
    std::map<std::uint64_t, forwarded_read> forwarded_;
    std::uint64_t last_forwarded_ = 0;

    // Reads of other voters that a majority must confirm.
    struct requested_read
    {
        instance_id from = 0;
        std::uint64_t read = 0;
    };
    std::map<std::uint64_t, requested_read> requested_;
    std::vector<outgoing_message> outgoing_;

    // Instances that asked to join, with the time of the last request.
    std::map<instance_id, time_point> joining_;
    std::vector<instance_id> told_voters_;
    std::vector<store_outcome> filings_;
    std::vector<store_outcome> reads_;
    absl::Status state_status_;
};

} // namespace hickorygap

#endif
