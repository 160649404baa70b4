#ifndef HICKORYGAP_PROCESS_CONSENSUS_RAFT_NODE_HPP
#define HICKORYGAP_PROCESS_CONSENSUS_RAFT_NODE_HPP

#include "common/random.hpp"
#include "common/time.hpp"
#include "process/consensus/log_storage.hpp"
#include "process/consensus/raft_log.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hickorygap
{

struct raft_options
{
    instance_id self = 0;

    // Voters of a new group, from the settings. The one with the lowest
    // instance number creates the group once all others have answered that
    // their disks are empty, too. Ignored when the group exists.
    std::vector<instance_id> initial_voters;

    duration heartbeat_interval = std::chrono::milliseconds{150};

    // Unacknowledged entries are sent again after this number of heartbeat
    // intervals. It may be high on links that lose no messages while they are
    // connected. On links of low bandwidth it must be longer than the transfer
    // of the entries.
    int resend_after_heartbeats = 2;

    // Minimum election timeout; the effective one is up to twice as long. The
    // timeouts of the voters are staggered, so that two of them rarely become
    // candidates at the same time.
    duration election_timeout = std::chrono::seconds{1};

    // The leader's lease ends this much early, because clocks run at different
    // speeds: 1% of the election timeout.
    duration clock_drift_margin = std::chrono::milliseconds{10};

    // Limit of the log data in one message; a frame holds at most 1 MiB.
    std::size_t max_message_bytes = std::size_t{256} * 1024;

    // Number of entries before a snapshot that stay in memory, so that
    // followers that are slightly behind need no snapshot.
    std::uint64_t trailing_entries = 256;

    // Hash of this instance's failure domain, which the leader learns from
    // replies; zero if it is unknown.
    std::uint64_t failure_domain = 0;

    // Whether this node supports voter lists with half quorums.
    bool half_quorums = false;

    std::uint64_t seed = 0;
};

enum class raft_role
{
    follower,
    pre_candidate,
    candidate,
    leader
};

// Result of a read started with read_index.
struct read_outcome
{
    std::uint64_t read = 0;

    // True: after the start of the read a quorum confirmed that this node is
    // the leader, and take_committed has returned or will return all entries
    // committed before the start. False: leadership was lost, so the state may
    // be stale.
    bool confirmed = false;
};

// Entries to apply, in order.
struct committed_batch
{
    // When set, it replaces the applied state before the entries.
    snapshot_ptr snapshot;
    std::vector<wire::log_entry_msg> entries;
};

// Raft: elects a leader among the voters and replicates the log. Does no I/O:
// the caller passes messages and clock readings, makes the writes durable and
// reports that with on_synced, and sends the outgoing messages. Messages that
// depend on durable state, such as votes and acknowledgements, are held back
// until on_synced.
class raft_node
{
public:
    raft_node(raft_options options, stored_state state, time_point now);

    void tick(time_point now);

    // Whether this node may create a new group; true by default. The caller
    // sets it to false when it knows that the group already exists.
    void set_may_create_group(bool allowed)
    {
        may_create_group_ = allowed;
    }

    // Handles consensus messages and ignores all others.
    void receive(
        instance_id from, const wire::payloadUnion& payload, time_point now);

    // Appends an entry and returns its index. It is committed when
    // take_committed returns an entry with this index and the current term.
    // Error: error_kind::not_leader.
    absl::StatusOr<std::uint64_t> propose(
        wire::entry_kind kind, std::vector<std::uint8_t> data, time_point now);

    // Appends a new voter list, which takes effect at once. Errors: not_leader;
    // invalid_request when it changes more than one voter or an earlier
    // change is not committed yet.
    absl::Status propose_voters(const voter_list& list, time_point now);

    // Starts a quorum-confirmed read and returns its number; see
    // take_read_outcomes. Error: error_kind::not_leader.
    absl::StatusOr<std::uint64_t> read_index(time_point now);
    std::vector<read_outcome> take_read_outcomes();

    // Changes that the caller must make durable before it calls on_synced.
    bool has_writes() const;
    storage_write take_writes();

    // Reports that all changes returned by take_writes are durable.
    void on_synced(time_point now);

    // Reports that the storage failed to write. The node steps down as leader
    // and grants no votes until the next on_synced.
    void on_storage_failed(time_point now);

    std::vector<outgoing_message> take_outgoing();
    committed_batch take_committed();

    // Replaces the log up to index, which must have been applied, by a
    // snapshot of the state after that entry.
    void compact(std::uint64_t index, std::vector<std::uint8_t> data);

    raft_role role() const
    {
        return role_;
    }
    bool is_leader() const
    {
        return role_ == raft_role::leader;
    }

    // Last known leader of the current term; zero for none.
    instance_id leader() const
    {
        return leader_;
    }
    std::uint64_t term() const
    {
        return hard_.term;
    }
    std::uint64_t commit_index() const
    {
        return commit_;
    }
    std::uint64_t last_index() const
    {
        return log_.last_index();
    }
    std::uint64_t snapshot_index() const
    {
        return snapshot_ ? snapshot_->index : 0;
    }
    disk_id disk() const
    {
        return hard_.disk;
    }
    const raft_log& entries() const
    {
        return log_;
    }

    // The voter list in use; nullptr on an empty disk that has not received the
    // group's log yet.
    const voter_list* configuration() const
    {
        return configuration_ ? &*configuration_ : nullptr;
    }

    // Whether the voter list in use contains this instance with this disk.
    bool is_voter() const;

    // True on a leader without an uncommitted voter list that has committed an
    // entry of the current term.
    bool may_change_voters() const;

    // On a leader that may change the voters: whether so many voters have
    // replied lately, from the disks that the lists name, that the change to
    // this list can be committed.
    bool hears_quorum_of_change(const voter_list& next) const;

    // Whether a quorum confirmed this leader so recently that no other one can
    // have been elected since.
    bool holds_lease(time_point now) const;

    // On the leader: whether the instance with this disk supports half quorums;
    // nothing if it has not replied in this term.
    std::optional<bool> supports_half_quorums(voter_identity voter) const;

    // On the leader: the disk with which the instance last replied (zero for
    // none), and whether that disk has all committed entries.
    disk_id disk_of(instance_id instance) const;
    bool is_caught_up(instance_id instance) const;

    // On the leader: the failure domain that the instance stated; zero for
    // none.
    std::uint64_t failure_domain_of(instance_id instance) const;

    // On the leader: when the instance last replied in this term, or when
    // replication to it started; for the previous leader, when it was last
    // heard of as such. Nothing for this instance and for instances that are
    // not in the voter list.
    std::optional<time_point> last_contact(instance_id instance) const;

private:
    // Replication state of one follower, kept by the leader.
    struct progress
    {
        disk_id disk = 0;
        std::uint64_t failure_domain = 0;
        std::optional<bool> half_quorums;
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        std::uint64_t acked_sequence = 0;

        // Last reply, or start of the replication.
        time_point last_contact;

        // The same, but may lie before the start of the replication when the
        // instance was the previous leader.
        time_point last_heard;

        // An append or snapshot chunk is unacknowledged; sent_through is the
        // last index of the append.
        bool in_flight = false;
        std::uint64_t sent_through = 0;
        time_point sent_at;

        // Snapshot that is being transferred, or null, and the offset in bytes
        // of the next chunk.
        snapshot_ptr snapshot;
        std::uint64_t offset = 0;
    };

    // Message that is held back until the writes of a generation are durable.
    struct waiting_message
    {
        std::uint64_t generation;
        outgoing_message message;
    };

    struct pending_read
    {
        std::uint64_t read;
        std::uint64_t sequence;
        std::uint64_t index;
    };

    // A vote for this node in the current election.
    struct ballot
    {
        disk_id disk = 0;

        // Whether the voter knows that lost_voter_ has lost its disk.
        bool confirms_loss = false;
    };

    // An unanswered question for the disk of an instance.
    struct disk_query
    {
        disk_id expected = 0;
        std::uint64_t nonce = 0;
        std::optional<time_point> sent_at;
    };

    struct incoming_snapshot
    {
        std::uint64_t term = 0;
        std::uint64_t index = 0;
        std::vector<std::uint8_t> data;
    };

    void receive_vote_request(
        instance_id from, const wire::vote_request_msg& message);
    void
    receive_vote_reply(instance_id from, const wire::vote_reply_msg& message);
    void receive_append_request(
        instance_id from, const wire::append_request_msg& message);
    void receive_append_reply(
        instance_id from, const wire::append_reply_msg& message);
    void receive_snapshot_chunk(
        instance_id from, const wire::snapshot_chunk_msg& message);
    void receive_snapshot_reply(
        instance_id from, const wire::snapshot_reply_msg& message);
    void
    receive_group_query(instance_id from, const wire::group_query_msg& message);
    void
    receive_group_reply(instance_id from, const wire::group_reply_msg& message);

    void query_group();
    void create_group();
    bool is_new() const;

    void start_pre_vote();
    void start_election();
    void request_votes(bool pre_vote);
    void cast_own_vote();
    void count_votes();
    void become_leader();
    void become_follower(std::uint64_t term, instance_id leader);
    void accept_leader(instance_id from, std::uint64_t term);
    void defer_to_candidate(instance_id candidate);
    void reset_election_deadline();
    duration election_stagger();
    bool may_campaign() const;

    bool merge_entries(const wire::append_request_msg& message);
    std::uint64_t conflict_hint(std::uint64_t previous_index) const;
    void append_local(wire::entry_kind kind, std::vector<std::uint8_t> data);
    void mark_dirty_from(std::uint64_t index);
    void recompute_configuration();
    voter_list configuration_at(std::uint64_t index) const;
    void install_snapshot(snapshot_ptr snapshot);

    void update_followers();
    void record_reply(progress& follower, disk_id disk);
    progress* follower_of_reply(instance_id from, std::uint64_t term);
    void replicate();
    void send_append(instance_id to, progress& follower, bool with_entries);
    void send_chunk(instance_id to, progress& follower);
    void start_broadcast();
    bool is_list_committed() const;
    bool counts_half_quorums(const voter_list& list) const;
    const voter_list* joint_list() const;
    const voter_list& older_list() const;
    bool knows_loss_of(voter_identity voter) const;
    std::optional<voter_identity> find_lost_voter() const;
    void verify_disk(instance_id from, disk_id disk);
    void query_disk(voter_identity expected);
    void receive_disk(instance_id from, const wire::group_reply_msg& message);
    void advance_commit();
    void advance_commit_to(std::uint64_t index);
    void confirm_reads();
    void fail_reads();
    bool heard_from_quorum() const;

    // Highest value that a quorum has reached, own being the value of this
    // node: a majority or half quorum of the voter list and, while joint_list
    // is set, of that list, too.
    template <typename Value, typename Get>
    Value quorum_value(const Value& own, Get get) const;
    template <typename Value, typename Get>
    Value quorum_value(const voter_list& list, const Value& own, Get get) const;
    template <typename Value, typename Get>
    Value
    majority_value(const voter_list& list, const Value& own, Get get) const;
    template <typename Value, typename Get>
    Value
    half_quorum_value(const voter_list& list, const Value& own, Get get) const;
    template <typename Value, typename Get>
    Value
    value_of(const voter_identity& voter, const Value& own, Get get) const;

    // Whether the voters for which the predicate holds are a majority or, where
    // the list has them, a half quorum of voters that confirmed the loss.
    template <typename Predicate>
    bool has_quorum(const voter_list& list, Predicate counts) const;
    template <typename Predicate>
    bool has_quorum(Predicate counts) const;
    bool confirms_loss(const voter_list& list, instance_id voter) const;

    template <typename Message>
    void send(instance_id to, Message message);
    template <typename Message>
    void send_after_sync(instance_id to, Message message);
    void advance_clock(time_point now);

    raft_options options_;
    random_engine random_;
    time_point now_;

    hard_state hard_;
    snapshot_ptr snapshot_;
    raft_log log_;
    std::uint64_t commit_ = 0;
    std::uint64_t applied_ = 0;
    snapshot_ptr installed_snapshot_;

    std::optional<voter_list> configuration_;
    std::uint64_t configuration_index_ = 0;

    // The voter list before the one in use, if the log contains the change.
    std::optional<voter_list> previous_configuration_;

    raft_role role_ = raft_role::follower;
    instance_id leader_ = 0;
    time_point election_deadline_;

    // Earliest time at which this node defers to another candidate again.
    time_point next_deferral_;

    // No vote is granted before this time, because the current leader may hold
    // a lease.
    time_point vote_blocked_until_;

    // The last other leader that this node followed; zero for none.
    instance_id last_leader_ = 0;
    time_point last_leader_contact_;

    // Votes of the election in progress, or of the one that made this node the
    // leader, and the lost voter that its requests name.
    std::map<instance_id, ballot> votes_;
    std::optional<voter_identity> lost_voter_;

    // Disks that provably no longer exist, by instance, and the open queries.
    std::map<instance_id, disk_id> lost_disks_;
    std::map<instance_id, disk_query> disk_queries_;

    bool may_create_group_ = true;
    std::map<instance_id, wire::group_reply_msg> group_replies_;
    time_point next_group_query_;

    std::map<instance_id, progress> followers_;
    std::uint64_t term_start_index_ = 0;
    time_point next_heartbeat_;
    bool broadcast_due_ = false;
    std::uint64_t broadcast_sequence_ = 0;
    std::deque<std::pair<std::uint64_t, time_point>> broadcast_times_;
    std::optional<time_point> lease_until_;
    std::uint64_t last_read_ = 0;
    std::deque<pending_read> pending_reads_;
    std::vector<read_outcome> completed_reads_;
    std::optional<incoming_snapshot> incoming_snapshot_;

    // Changes that are not durable yet. dirty_from_ is the index of the first
    // changed entry, zero for none. Each take_writes starts a new generation.
    bool hard_dirty_ = false;
    bool snapshot_dirty_ = false;
    std::uint64_t dirty_from_ = 0;
    std::uint64_t taken_generation_ = 0;
    std::uint64_t synced_generation_ = 0;
    std::uint64_t taken_index_ = 0;
    std::uint64_t synced_index_ = 0;
    bool storage_failing_ = false;

    std::vector<waiting_message> unsynced_messages_;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
