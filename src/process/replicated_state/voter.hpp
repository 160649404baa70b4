#ifndef HICKORYGAP_PROCESS_REPLICATED_STATE_VOTER_HPP
#define HICKORYGAP_PROCESS_REPLICATED_STATE_VOTER_HPP

#include "process/consensus/raft_node.hpp"
#include "process/consensus/storage_writer.hpp"
#include "process/replicated_state/state_machine.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace hickorygap
{

struct voter_options
{
    // raft.seed must differ between starts of a process, because the identifier
    // of a new disk is generated from it; use random_seed().
    raft_options raft;
    call_record_options calls;

    // Number of entries applied between two snapshots.
    std::uint64_t entries_per_snapshot = 4096;

    // Larger proposals are refused; a message frame holds at most 1 MiB.
    std::size_t max_proposal_bytes = std::size_t{512} * 1024;

    // Delay between attempts to write to a storage that failed.
    duration storage_retry_interval = std::chrono::milliseconds{200};
};

struct voter_status
{
    raft_role role = raft_role::follower;
    instance_id leader = 0;
    std::uint64_t term = 0;
    std::uint64_t commit_index = 0;
    std::uint64_t last_index = 0;
    std::uint64_t snapshot_index = 0;
    configuration_version version = 0;

    // Whether this instance with its current disk is in the voter list.
    bool votes = false;
    voter_list voters;

    // Result of the last sync.
    absl::Status storage;
};

// One voter of the replicated log: consensus, storage and state machine. Used
// by the control thread only, which passes messages and clock readings, calls
// flush after each batch of them, and then take_outgoing and
// take_applied_tickets. Messages that the instance sends to itself are returned
// like all others.
class voter
{
public:
    // Loads the stored state. Errors: storage_damaged (the voter must not run;
    // the message names the remedy), storage_failed.
    static absl::StatusOr<std::unique_ptr<voter>> open(
        voter_options options, std::unique_ptr<log_storage> storage,
        std::shared_ptr<const ticket_validator> validator, time_point now);

    void tick(time_point now, unix_millis unix_now);

    // Handles consensus messages, propose and read_request; ignores all others.
    void receive(
        instance_id from, const wire::payloadUnion& payload, time_point now,
        unix_millis unix_now);

    // Makes all pending changes durable with one sync, releases the messages
    // that waited for it, and applies committed entries. Errors:
    // storage_failed: the changes are not durable, the next call tries again;
    // storage_damaged: a snapshot from the leader is unusable, the voter must
    // stop.
    absl::Status flush();

    std::vector<outgoing_message> take_outgoing();

    // Tickets applied since the last call, in order. After a restart they start
    // again with ticket 1.
    std::vector<ticket_record> take_applied_tickets();

    // All applied tickets; ticket n is at index n - 1.
    std::span<const ticket_record> tickets() const
    {
        return state_.tickets();
    }
    const state_machine& state() const
    {
        return state_;
    }

    bool is_leader() const
    {
        return raft_.is_leader();
    }
    instance_id leader() const
    {
        return raft_.leader();
    }
    bool holds_lease(time_point now) const
    {
        return raft_.holds_lease(now);
    }
    std::uint64_t term() const
    {
        return raft_.term();
    }
    voter_status status() const;

    // The check runs before a new ticket is appended to the log; an error
    // refuses the ticket with status unavailable and the error's message.
    void set_acceptance_check(std::function<absl::Status()> check)
    {
        acceptance_check_ = std::move(check);
    }

    // The check runs while this voter's disk is empty and no group is known; an
    // error keeps this voter from creating a new group. Without it, voters that
    // all lost their disks would start a second history. The check should fail
    // when this instance or any member knows a ticket.
    void set_creation_check(std::function<absl::Status()> check)
    {
        creation_check_ = std::move(check);
    }

    // Sets the voters that the last ticket with a voter list specifies, and the
    // number of that ticket. While leader, this voter changes the group towards
    // them, one voter at a time. Must be called on every voter for every such
    // ticket.
    void set_target_voters(
        configuration_version ticket, std::vector<instance_id> voters);

    // Reports that all earlier incarnations of the instance have ended. While
    // leader, this voter records the outcome of their open calls as unknown.
    void set_oldest_incarnation(
        instance_id instance, incarnation_number incarnation);

private:
    struct pending_proposal
    {
        std::uint64_t term = 0;
        instance_id from = 0;
        std::uint64_t proposal = 0;
    };
    using pending_map = std::map<std::uint64_t, pending_proposal>;

    // A proposal or a read request that is answered once a quorum has confirmed
    // this leader.
    struct deferred_request
    {
        instance_id from = 0;
        std::uint64_t read_request = 0;
        std::optional<wire::propose_msg> proposal;
    };

    voter(
        voter_options options, std::unique_ptr<log_storage> storage,
        std::shared_ptr<const ticket_validator> validator, stored_state stored,
        time_point now);

    void receive_propose(instance_id from, const wire::propose_msg& message);
    void receive_read(instance_id from, const wire::read_request_msg& message);
    bool is_in_log(instance_id from, std::uint64_t proposal);
    void forget(pending_map::iterator pending);
    void append_proposal(instance_id from, const wire::propose_msg& message);
    std::vector<std::uint8_t>
    with_leader_time(const wire::propose_msg& message) const;
    void
    reply(instance_id to, std::uint64_t proposal, const apply_result& result);
    void reply_not_leader(instance_id to, std::uint64_t proposal);
    void answer_deferred(const deferred_request& deferred, bool confirmed);

    absl::Status apply_committed();
    void apply(const wire::log_entry_msg& entry);
    void maybe_compact();
    void check_group_creation();
    void reconcile_voters();
    std::optional<voter_list> next_voter_list() const;
    void close_orphaned_calls();

    voter_options options_;
    storage_writer writer_;
    state_machine state_;
    raft_node raft_;
    time_point now_;
    unix_millis unix_now_ = 0;

    std::function<absl::Status()> acceptance_check_;
    std::function<absl::Status()> creation_check_;
    bool creation_refused_ = false;
    configuration_version target_ticket_ = 0;
    std::vector<instance_id> target_voters_;
    std::map<instance_id, incarnation_number> oldest_incarnations_;

    // Appended proposals by log index, and their log indexes by sender and
    // proposal number.
    pending_map pending_;
    std::map<std::pair<instance_id, std::uint64_t>, std::uint64_t>
        pending_indexes_;
    std::map<std::uint64_t, deferred_request> deferred_;

    absl::Status state_status_;
    std::uint64_t reported_tickets_ = 0;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
