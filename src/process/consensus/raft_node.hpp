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
    // number creates the group once all others answered that their disks are
    // empty, too. Ignored when the group exists.
    std::vector<instance_id> initial_voters;

    duration heartbeat_interval = std::chrono::milliseconds{150};

    // Entries without an answer are sent again after so many heartbeats. Over
    // links that lose nothing while they stand, this may be long, and on
    // narrow ones it must be longer than the entries take.
    int resend_heartbeats = 2;

    // Election timeouts lie between this and twice this. Voters take turns, so
    // that seldom two of them ask for votes at the same time.
    duration election_timeout = std::chrono::seconds{1};

    // The lease ends this much early, for clocks that run at different
    // speeds: 1% of the election timeout.
    duration clock_drift_margin = std::chrono::milliseconds{10};

    // Log data in one message; a frame holds at most 1 MiB.
    std::size_t max_message_bytes = std::size_t{256} * 1024;

    // Entries kept in memory before a snapshot, so that followers that are
    // slightly behind need no snapshot.
    std::uint64_t trailing_entries = 256;

    std::uint64_t seed = 0;
};

enum class raft_role
{
    follower,
    pre_candidate,
    candidate,
    leader
};

// End of a read started with read_index.
struct read_outcome
{
    std::uint64_t read = 0;

    // True: a quorum confirmed after the start of the read that this node is
    // the leader, and all entries committed before are in take_committed or
    // applied. False: leadership was lost; nothing is known.
    bool confirmed = false;
};

// Entries to apply, in order.
struct committed_batch
{
    // When set, it replaces the applied state before the entries.
    snapshot_ptr snapshot;
    std::vector<wire::log_entry_msg> entries;
};

// Raft: elects a leader among the voters and replicates the log. Pure: the
// caller passes messages and clock readings, makes the writes durable and
// reports that with on_synced, and sends the outgoing messages. Messages that
// promise durable state are held back until on_synced.
class raft_node
{
public:
    raft_node(raft_options options, stored_state state, time_point now);

    void tick(time_point now);

    // Whether this node may create a new group; true at the start. The caller
    // forbids it when it knows of a group in another way.
    void set_may_create_group(bool allowed)
    {
        may_create_group_ = allowed;
    }

    // Handles consensus messages and ignores all others.
    void receive(
        instance_id from, const wire::payloadUnion& payload, time_point now);

    // Appends an entry and returns its index. It is committed when
    // take_committed returns an entry with this index and the present term.
    // Error: error_kind::not_leader.
    absl::StatusOr<std::uint64_t> propose(
        wire::entry_kind kind, std::vector<std::uint8_t> data, time_point now);

    // Appends a new voter list, which applies at once. Errors: not_leader;
    // invalid_request when it changes more than one voter or an earlier
    // change is not committed yet.
    absl::Status propose_voters(const voter_list& list, time_point now);

    // Starts a quorum-confirmed read and returns its number; see take_reads.
    // Error: error_kind::not_leader.
    absl::StatusOr<std::uint64_t> read_index(time_point now);
    std::vector<read_outcome> take_reads();

    // Changes that must become durable; then on_synced must be called.
    bool has_writes() const;
    storage_write take_writes();

    // Everything that take_writes returned is durable.
    void on_synced(time_point now);

    // The storage can't write at the moment. The node gives up leadership and
    // grants no votes until the next on_synced.
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

    // Leader as far as known; zero for none.
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

    // The voter list in use; nullptr on a new disk that has not heard of the
    // group yet.
    const voter_list* configuration() const
    {
        return configuration_ ? &*configuration_ : nullptr;
    }

    // Whether the voter list in use contains this instance with this disk.
    bool is_voter() const;

    // True when no voter list is waiting to be committed and an entry of the
    // present term is committed.
    bool may_change_voters() const;

    // Whether a quorum confirmed this leader so recently that no other can
    // have been elected.
    bool holds_lease(time_point now) const;

    // For the leader: disk with which the instance last answered (zero for
    // none), and whether it has all committed entries on that disk.
    disk_id disk_of(instance_id instance) const;
    bool is_caught_up(instance_id instance) const;

    // For the leader: when the instance last answered in this term, or the
    // start of its replication; nothing for an instance that is not in the
    // voter list, or is this one.
    std::optional<time_point> last_contact(instance_id instance) const;

private:
    // What the leader knows of one follower.
    struct progress
    {
        disk_id disk = 0;
        std::uint64_t match = 0;
        std::uint64_t next = 1;
        std::uint64_t acked_sequence = 0;
        time_point last_contact;

        // An append or chunk is under way; sent_through is its last index.
        bool awaiting = false;
        std::uint64_t sent_through = 0;
        time_point sent_at;

        // Snapshot under transfer, or null.
        snapshot_ptr snapshot;
        std::uint64_t offset = 0;
    };

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
    void count_votes();
    void become_leader();
    void become_follower(std::uint64_t term, instance_id leader);
    void accept_leader(instance_id from, std::uint64_t term);
    void give_way(instance_id candidate);
    void reset_election_deadline();
    duration election_turn();
    bool may_campaign() const;

    bool merge_entries(const wire::append_request_msg& message);
    std::uint64_t conflict_hint(std::uint64_t previous_index) const;
    void append_local(wire::entry_kind kind, std::vector<std::uint8_t> data);
    void mark_dirty_from(std::uint64_t index);
    void recompute_configuration();
    voter_list configuration_at(std::uint64_t index) const;
    void install_snapshot(snapshot_ptr snapshot);

    void sync_progress();
    void bind_disk(progress& follower, disk_id disk);
    progress* follower_of_reply(instance_id from, std::uint64_t term);
    void replicate();
    void send_append(instance_id to, progress& follower, bool with_entries);
    void send_chunk(instance_id to, progress& follower);
    void start_broadcast();
    void advance_commit();
    void confirm_reads();
    void fail_reads();
    bool heard_from_quorum() const;

    // Value that more than half of the voters reach; own is this node's.
    template <typename Value, typename Get>
    Value quorum_value(const Value& own, Get get) const;
    template <typename Predicate>
    bool has_quorum(Predicate counts) const;

    template <typename Message>
    void send(instance_id to, Message message);
    template <typename Message>
    void send_after_sync(instance_id to, Message message);
    void observe(time_point now);

    raft_options options_;
    random_engine random_;
    time_point now_;

    hard_state hard_;
    snapshot_ptr snapshot_;
    raft_log log_;
    std::uint64_t commit_ = 0;
    std::uint64_t applied_ = 0;
    snapshot_ptr installed_;

    std::optional<voter_list> configuration_;
    std::uint64_t configuration_index_ = 0;

    raft_role role_ = raft_role::follower;
    instance_id leader_ = 0;
    time_point election_deadline_;

    // This node gives way to no other candidate before.
    time_point next_way_;

    // No vote is granted before, because the present leader may hold a lease.
    time_point vote_blocked_until_;
    std::set<instance_id> votes_;

    bool may_create_group_ = true;
    std::map<instance_id, wire::group_reply_msg> group_replies_;
    time_point next_group_query_;

    std::map<instance_id, progress> followers_;
    std::uint64_t term_start_index_ = 0;
    time_point next_heartbeat_;
    bool broadcast_due_ = false;
    std::uint64_t sequence_ = 0;
    std::deque<std::pair<std::uint64_t, time_point>> broadcast_times_;
    std::optional<time_point> lease_until_;
    std::uint64_t last_read_ = 0;
    std::deque<pending_read> reads_;
    std::vector<read_outcome> ended_reads_;
    std::optional<incoming_snapshot> incoming_;

    // Unsynced changes. Index 0 stands for no changed entries.
    bool hard_dirty_ = false;
    bool snapshot_dirty_ = false;
    std::uint64_t dirty_from_ = 0;
    std::uint64_t taken_generation_ = 0;
    std::uint64_t synced_generation_ = 0;
    std::uint64_t taken_index_ = 0;
    std::uint64_t synced_index_ = 0;
    bool storage_failing_ = false;

    std::vector<waiting_message> waiting_;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
