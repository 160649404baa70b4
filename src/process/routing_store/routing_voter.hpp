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
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

struct routing_voter_options
{
    // raft.initial_voters: the instances that create a new group; empty on an
    // instance that may only join an existing one.
    raft_options raft;

    // Number of disks that may be lost at the same time without losing an
    // acknowledged configuration. The group has at least 2 * lost_disks + 1
    // voters. Further instances that hold the log become voters, too, up to
    // lost_disks more, so that each of them can make up for a voter that leaves
    // without notice.
    std::uint32_t lost_disks = 0;

    // Whether the loss of a whole failure domain must leave a majority. An
    // instance whose vote would prevent that gets it only in place of a voter
    // that leaves.
    bool survives_domain_loss = false;

    // A voter that has not replied for this time is removed when the group can
    // do without it, or is replaced when another instance is available. An
    // instance that starts together with the end of a voter must vote within 4
    // s, also when that voter led the group and an election, of up to 1.5 s,
    // comes first.
    duration replace_after = std::chrono::seconds{2};

    // A learner that has not replied for this time is removed.
    duration learner_expiry = std::chrono::seconds{4};

    // A request to leave counts for this time.
    duration leave_expiry = std::chrono::seconds{1};

    // A joining instance repeats its request; it is dropped from the candidates
    // after this time without a request.
    duration join_expiry = std::chrono::seconds{3};

    // A voter that knows no leader for this time asks to join again: it may
    // have been removed without receiving the entry that says so.
    duration rejoin_after = std::chrono::seconds{2};

    // Number of entries applied between two snapshots.
    std::uint64_t entries_per_snapshot = 64;

    // Minimum interval between two proposals, so that versions in quick
    // succession don't saturate the voters' links. Only the highest of the
    // queued versions is proposed; its commit completes the other filings too.
    duration min_proposal_interval = std::chrono::milliseconds{300};

    // Timeout of a read that the leader was asked to confirm.
    duration read_expiry = std::chrono::seconds{3};

    // Delay between attempts to write to a storage that failed.
    duration storage_retry_interval = std::chrono::milliseconds{200};
};

// Result of a filing or a read.
struct store_outcome
{
    std::uint64_t number = 0;

    // True for a filing: committed on a majority of the voters' disks. True for
    // a read: this voter's state was current after the start of the read.
    // False: the outcome is unknown.
    bool confirmed = false;
};

// One voter of the group that replicates the routing configuration: consensus,
// storage and state machine. As leader it also manages the group's membership.
// Does no I/O besides the storage: the caller passes messages and clock
// readings, calls flush after each batch of them, and then sends the messages
// from take_outgoing.
class routing_voter
{
public:
    // Loads the stored state. Errors: storage_damaged, storage_failed.
    static absl::StatusOr<std::unique_ptr<routing_voter>> open(
        routing_voter_options options, std::unique_ptr<log_storage> storage,
        time_point now);

    void tick(time_point now);

    // Handles consensus messages, group_join and the replies to it, and read
    // requests of other voters; ignores all others.
    void receive(
        instance_id from, const wire::payloadUnion& payload, time_point now);

    // Files a configuration and returns the number of the filing. It is
    // proposed at once, or batched with others after the minimum interval.
    // Errors: not_leader; no_quorum while the group has fewer voters than
    // lost_disks requires.
    absl::StatusOr<std::uint64_t>
    file(const filed_configuration& configuration, time_point now);

    // Begins or ends the evacuation of a failure domain and returns the number
    // of the filing. Errors: those of file; overloaded when too many domains
    // are evacuated.
    absl::StatusOr<std::uint64_t> file_evacuation(
        std::string_view failure_domain, bool active, time_point now);

    // Failure domains that are evacuated, as far as this voter knows.
    const std::set<std::string>& evacuated() const
    {
        return state_.evacuated();
    }

    // Whether this voter leads and has applied what was committed before its
    // term.
    bool knows_state() const
    {
        return raft_.is_leader() && raft_.term() == led_term_ &&
               applied_index_ >= first_led_index_;
    }

    // Starts a linearizable read, which a majority confirms through the leader.
    // Any voter can serve it, so that large documents don't all cross the
    // leader's link. Error: not_leader when no leader is known.
    absl::StatusOr<std::uint64_t> start_read(time_point now);

    // Makes all pending changes durable and applies committed entries. Errors:
    // storage_failed: a later call tries again; storage_damaged: the voter must
    // stop.
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

    // Requests to the group that the caller sends periodically: to become a
    // voter while this instance is none or may have been removed, or to be
    // removed after leave.
    std::vector<outgoing_message>
    membership_requests(std::span<const instance_id> seeds) const;

    // Begins to leave the group before the process ends. Until has_left, this
    // voter goes on as before, because its vote may be needed.
    void leave(time_point now);

    // Whether the group no longer counts on this instance, or can't do without
    // it: then it has no other instance in its place.
    bool has_left() const;

private:
    routing_voter(
        routing_voter_options options, std::unique_ptr<log_storage> storage,
        stored_state stored, time_point now);

    absl::Status check_may_file() const;
    absl::Status apply_committed();
    void propose_queued();
    void
    complete_filings(std::span<const std::uint64_t> numbers, bool confirmed);
    void receive_join(instance_id from, const wire::group_join_msg& request);
    void reply_with_voters(instance_id to);
    bool wants_to_join() const
    {
        return !raft_.is_voter() || may_be_removed_;
    }

    // The seeds, the voters in this instance's log, and those named in the last
    // reply to a group_join message; without this instance, in order.
    std::vector<instance_id>
    join_targets(std::span<const instance_id> seeds) const;
    void check_membership();
    void receive_read(instance_id from, const wire::read_request_msg& request);
    void receive_read_reply(const wire::read_reply_msg& reply);
    void reply_to_read(instance_id to, std::uint64_t read, bool confirmed);
    void finish_reads();
    std::size_t target_voter_count() const;
    void reconcile_group();
    std::optional<voter_list> next_voter_list() const;
    std::optional<voter_list> next_membership() const;
    std::optional<voter_list> list_with_new_disk() const;
    bool supports_half_quorums(const voter_list& next) const;
    std::optional<voter_list> list_with_next_learner(bool voter_departs) const;
    bool is_silent(instance_id instance, duration limit) const;
    bool departs(instance_id instance) const;
    bool may_add_extra_voter(instance_id learner) const;

    routing_voter_options options_;
    storage_writer writer_;
    raft_node raft_;
    routing_register state_;
    time_point now_;
    std::uint64_t applied_index_ = 0;

    // Last term that this voter has led, the index of an entry in it, and the
    // time of its first flush.
    std::uint64_t led_term_ = 0;
    std::uint64_t first_led_index_ = 0;
    time_point leads_since_;

    // Filings that complete with the commit of an entry, by its log index.
    struct proposed_filings
    {
        std::uint64_t term = 0;
        std::vector<std::uint64_t> numbers;
    };
    std::map<std::uint64_t, proposed_filings> proposed_;

    // Filings that have not been proposed yet, and the configuration with the
    // highest version among them.
    std::vector<std::uint64_t> queued_filings_;
    filed_configuration highest_queued_;
    std::uint64_t last_filing_number_ = 0;
    time_point next_proposal_;

    // Reads of this voter that the leader was asked to confirm.
    struct forwarded_read
    {
        time_point since;

        // Version that the state must reach before the read completes; nothing
        // before the leader's reply.
        std::optional<configuration_version> version;
    };
    std::map<std::uint64_t, forwarded_read> forwarded_reads_;
    std::uint64_t last_forwarded_number_ = 0;

    // Reads of other voters that await confirmation by a majority, by the
    // number of the raft_node read.
    struct requested_read
    {
        instance_id from = 0;
        std::uint64_t read = 0;
    };
    std::map<std::uint64_t, requested_read> requested_reads_;
    std::vector<outgoing_message> outgoing_;

    // Instances that requested to join or to leave, with the time of their last
    // request.
    std::map<instance_id, time_point> joining_;
    std::map<instance_id, time_point> leaving_;
    std::vector<instance_id> advertised_voters_;

    // Whether this instance leaves, and whether the leader has confirmed that.
    bool is_leaving_ = false;
    bool is_removed_ = false;

    // When this instance last knew a leader, and whether that is longer ago
    // than rejoin_after.
    time_point leader_known_at_;
    bool may_be_removed_ = false;
    std::vector<store_outcome> completed_filings_;
    std::vector<store_outcome> completed_reads_;
    absl::Status state_status_;
};

} // namespace hickorygap

#endif
