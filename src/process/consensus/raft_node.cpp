#include "process/consensus/raft_node.hpp"

#include "common/logging.hpp"
#include "common/random_duration.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <utility>

namespace hickorygap
{

namespace
{

constexpr duration group_query_interval = std::chrono::milliseconds{500};

// Number of pre-vote rounds within an election timeout. Each round must be
// longer than one network round trip.
constexpr int pre_vote_rounds = 5;

} // namespace

raft_node::raft_node(raft_options options, stored_state state, time_point now)
    : options_{std::move(options)}
    , random_{options_.seed}
    , now_{now}
    , hard_{std::move(state.hard)}
    , snapshot_{std::move(state.snapshot)}
    , log_{snapshot_ ? snapshot_->index : 0, snapshot_ ? snapshot_->term : 0,
           std::move(state.entries)}
    , commit_{log_.base_index()}
    , applied_{log_.base_index()}
    , taken_index_{log_.last_index()}
    , synced_index_{log_.last_index()}
{
    if (state.empty)
    {
        hard_.disk = random_() | 1U;
        hard_dirty_ = true;
    }
    recompute_configuration();
    reset_election_deadline();
    // A leader may hold a lease that this node confirmed before it restarted.
    vote_blocked_until_ = now + options_.election_timeout;
}

void raft_node::advance_clock(time_point now)
{
    now_ = std::max(now_, now);
}

void raft_node::tick(time_point now)
{
    advance_clock(now);
    if (role_ == raft_role::leader)
    {
        if (!heard_from_quorum())
        {
            log(log_level::warning, subsystem::consensus,
                "leader_lost_quorum term={}", hard_.term);
            become_follower(hard_.term, 0);
        }
        else if (now_ >= next_heartbeat_)
        {
            start_broadcast();
        }
        return;
    }
    if (is_new() && now_ >= next_group_query_)
    {
        query_group();
    }
    if (now_ < election_deadline_)
    {
        return;
    }
    leader_ = 0;
    if (may_campaign())
    {
        start_pre_vote();
    }
    else
    {
        reset_election_deadline();
    }
}

void raft_node::receive(
    instance_id from, const wire::payloadUnion& payload, time_point now)
{
    advance_clock(now);
    if (const auto* vote = message_in<wire::vote_request_msg>(payload))
    {
        receive_vote_request(from, *vote);
    }
    else if (const auto* reply = message_in<wire::vote_reply_msg>(payload))
    {
        receive_vote_reply(from, *reply);
    }
    else if (const auto* append = message_in<wire::append_request_msg>(payload))
    {
        receive_append_request(from, *append);
    }
    else if (const auto* ack = message_in<wire::append_reply_msg>(payload))
    {
        receive_append_reply(from, *ack);
    }
    else if (const auto* chunk = message_in<wire::snapshot_chunk_msg>(payload))
    {
        receive_snapshot_chunk(from, *chunk);
    }
    else if (const auto* got = message_in<wire::snapshot_reply_msg>(payload))
    {
        receive_snapshot_reply(from, *got);
    }
    else if (const auto* query = message_in<wire::group_query_msg>(payload))
    {
        receive_group_query(from, *query);
    }
    else if (const auto* answer = message_in<wire::group_reply_msg>(payload))
    {
        receive_group_reply(from, *answer);
    }
}

absl::StatusOr<std::uint64_t> raft_node::propose(
    wire::entry_kind kind, std::vector<std::uint8_t> data, time_point now)
{
    advance_clock(now);
    if (!is_leader())
    {
        return make_error(
            error_kind::not_leader, "this voter is not the leader; ask the "
                                    "leader");
    }
    append_local(kind, std::move(data));
    return log_.last_index();
}

absl::Status raft_node::propose_voters(const voter_list& list, time_point now)
{
    advance_clock(now);
    if (!is_leader())
    {
        return make_error(
            error_kind::not_leader, "this voter is not the leader; ask the "
                                    "leader");
    }
    if (!may_change_voters())
    {
        return make_error(
            error_kind::invalid_request,
            "another change of the voters is not committed yet; try again");
    }
    if (list.voters.empty() || count_changed_voters(*configuration_, list) > 1)
    {
        return make_error(
            error_kind::invalid_request,
            "only one voter can be added, removed or given another disk at a "
            "time");
    }
    append_local(
        wire::entry_kind::voters,
        encode_table<wire::voters_entry>(to_wire(list)));
    return absl::OkStatus();
}

absl::StatusOr<std::uint64_t> raft_node::read_index(time_point now)
{
    advance_clock(now);
    if (!is_leader())
    {
        return make_error(
            error_kind::not_leader, "this voter is not the leader; ask the "
                                    "leader");
    }
    // Reads that arrive before the next take_outgoing share one broadcast,
    // which gets the next sequence number.
    broadcast_due_ = true;
    pending_reads_.push_back(
        {++last_read_, broadcast_sequence_ + 1,
         std::max(commit_, term_start_index_)});
    return last_read_;
}

std::vector<read_outcome> raft_node::take_read_outcomes()
{
    return std::exchange(completed_reads_, {});
}

// Elections.

bool raft_node::is_voter() const
{
    return configuration_ &&
           configuration_->has_voter(options_.self, hard_.disk);
}

bool raft_node::may_campaign() const
{
    return is_voter() && !storage_failing_;
}

void raft_node::reset_election_deadline()
{
    election_deadline_ = now_ + options_.election_timeout + election_stagger();
}

// Delay that is added to the minimum election timeout. Each voter has its own
// slot, so that two of them rarely become candidates at the same time. The
// order rotates with the term, because the voter of the first slot may be slow.
// A random part of up to half a slot spreads the voters further.
duration raft_node::election_stagger()
{
    std::uint64_t position = 0;
    std::uint64_t count = 1;
    if (configuration_ && !configuration_->voters.empty())
    {
        count = configuration_->voters.size();
        position = configuration_->rank_of(options_.self);
    }
    const duration slot =
        options_.election_timeout / static_cast<duration::rep>(count + 1);
    const auto slot_index =
        static_cast<duration::rep>((position + hard_.term) % count);
    return slot_index * slot + random_duration(random_, slot / 2);
}

void raft_node::start_pre_vote()
{
    role_ = raft_role::pre_candidate;
    lost_voter_ = find_lost_voter();
    votes_.clear();
    cast_own_vote();
    // Retries soon, because voters grant no votes within an election timeout
    // after their start.
    election_deadline_ = now_ + options_.election_timeout / pre_vote_rounds;
    request_votes(true);
    count_votes();
}

// Postpones this node's candidacy while another voter runs for election,
// because two candidates could split the votes. Of two pre-candidates the one
// with the lower instance number continues. Happens at most once per two
// election timeouts, so that a voter with a broken link in either direction
// can't keep the others from running.
void raft_node::defer_to_candidate(instance_id candidate)
{
    if (now_ < next_deferral_ ||
        (role_ == raft_role::pre_candidate && candidate > options_.self))
    {
        return;
    }
    next_deferral_ = now_ + 2 * options_.election_timeout;
    if (role_ == raft_role::pre_candidate)
    {
        role_ = raft_role::follower;
        votes_.clear();
    }
    election_deadline_ = std::max(
        election_deadline_, now_ + options_.election_timeout / pre_vote_rounds);
}

void raft_node::start_election()
{
    role_ = raft_role::candidate;
    ++hard_.term;
    hard_.vote = options_.self;
    hard_dirty_ = true;
    // The node's own vote counts once it is durable, see on_synced.
    votes_.clear();
    election_deadline_ =
        now_ + options_.election_timeout / 2 + election_stagger();
    request_votes(false);
}

void raft_node::request_votes(bool pre_vote)
{
    std::vector<voter_identity> voters = configuration_->voters;
    if (const voter_list* joint = joint_list())
    {
        std::ranges::copy_if(
            joint->voters, std::back_inserter(voters),
            [this](const voter_identity& voter)
            { return !configuration_->has_voter(voter.instance, voter.disk); });
    }
    for (const voter_identity& voter : voters)
    {
        if (voter.instance == options_.self)
        {
            continue;
        }
        wire::vote_request_msg request;
        request.term = pre_vote ? hard_.term + 1 : hard_.term;
        request.last_index = log_.last_index();
        request.last_term = log_.last_term();
        request.pre_vote = pre_vote;
        request.receiver_disk = voter.disk;
        if (lost_voter_)
        {
            request.lost_instance = lost_voter_->instance;
            request.lost_disk = lost_voter_->disk;
        }
        send_after_sync(voter.instance, request);
    }
}

void raft_node::cast_own_vote()
{
    votes_[options_.self] = {hard_.disk, lost_voter_.has_value()};
}

void raft_node::count_votes()
{
    const auto votes_for_self = [this](const voter_identity& voter)
    {
        const auto vote = votes_.find(voter.instance);
        return vote != votes_.end() && vote->second.disk == voter.disk;
    };
    if (!has_quorum(votes_for_self))
    {
        return;
    }
    if (role_ == raft_role::pre_candidate)
    {
        start_election();
    }
    else if (role_ == raft_role::candidate)
    {
        become_leader();
    }
}

void raft_node::receive_vote_request(
    instance_id from, const wire::vote_request_msg& message)
{
    const bool log_is_current = message.last_term > log_.last_term() ||
                                (message.last_term == log_.last_term() &&
                                 message.last_index >= log_.last_index());
    // A voter list that names another disk refers to the voter that this
    // instance was before it lost that disk; that voter can't vote any more.
    const bool may_vote = message.receiver_disk == hard_.disk &&
                          !storage_failing_ && !is_leader() &&
                          now_ >= vote_blocked_until_;
    const voter_identity lost{message.lost_instance, message.lost_disk};
    const bool names_loss = lost.disk != 0;
    const bool knows_loss = names_loss && knows_loss_of(lost);
    if (names_loss && !knows_loss)
    {
        query_disk(lost);
    }
    wire::vote_reply_msg reply;
    reply.pre_vote = message.pre_vote;
    reply.disk = hard_.disk;
    reply.term = hard_.term;
    if (message.pre_vote)
    {
        reply.granted = may_vote && log_is_current && message.term > hard_.term;
        reply.confirms_loss = reply.granted && knows_loss;
        if (reply.granted)
        {
            reply.term = message.term;
            defer_to_candidate(from);
        }
        send_after_sync(from, reply);
        return;
    }
    if (may_vote && message.term > hard_.term)
    {
        become_follower(message.term, 0);
    }
    reply.term = hard_.term;
    reply.granted = may_vote && log_is_current && message.term == hard_.term &&
                    (hard_.vote == 0 || hard_.vote == from);
    reply.confirms_loss = reply.granted && knows_loss;
    if (reply.granted && hard_.vote == 0)
    {
        hard_.vote = from;
        hard_dirty_ = true;
        reset_election_deadline();
    }
    send_after_sync(from, reply);
}

void raft_node::receive_vote_reply(
    instance_id from, const wire::vote_reply_msg& message)
{
    if (!message.granted && message.term > hard_.term)
    {
        become_follower(message.term, 0);
        return;
    }
    const bool expected =
        (role_ == raft_role::pre_candidate && message.pre_vote &&
         message.term == hard_.term + 1) ||
        (role_ == raft_role::candidate && !message.pre_vote &&
         message.term == hard_.term);
    if (expected && message.granted)
    {
        ballot& vote = votes_[from];
        vote.disk = message.disk;
        vote.confirms_loss = message.confirms_loss;
        count_votes();
        return;
    }
    if (message.pre_vote && configuration_)
    {
        verify_disk(from, message.disk);
    }
}

// Asks a voter that replied from another disk than the list names.
void raft_node::verify_disk(instance_id from, disk_id disk)
{
    const voter_list& list = older_list();
    const voter_identity* voter = list.find_voter(from);
    if (list.has_half_quorums() && voter != nullptr && disk != 0 &&
        disk != voter->disk && !knows_loss_of(*voter))
    {
        query_disk(*voter);
    }
}

void raft_node::become_leader()
{
    log(log_level::info, subsystem::consensus,
        "leader_elected term={} lost_voter={}", hard_.term,
        lost_voter_ ? lost_voter_->instance : 0);
    role_ = raft_role::leader;
    leader_ = options_.self;
    followers_.clear();
    update_followers();
    // The silence of the previous leader began before this election.
    if (const auto previous = followers_.find(last_leader_);
        previous != followers_.end())
    {
        previous->second.last_heard = last_leader_contact_;
    }
    broadcast_sequence_ = 0;
    broadcast_times_.clear();
    lease_until_.reset();
    term_start_index_ = log_.last_index() + 1;
    if (log_.last_index() == 0)
    {
        // The first entry of the group replicates its voter list.
        append_local(
            wire::entry_kind::voters,
            encode_table<wire::voters_entry>(to_wire(*configuration_)));
    }
    // Entries of earlier terms commit only together with an entry of this term
    // (Raft, section 5.4.2).
    append_local(wire::entry_kind::noop, {});
    start_broadcast();
}

void raft_node::become_follower(std::uint64_t term, instance_id leader)
{
    if (term > hard_.term)
    {
        hard_.term = term;
        hard_.vote = 0;
        hard_dirty_ = true;
    }
    if (role_ == raft_role::leader)
    {
        followers_.clear();
        lease_until_.reset();
        fail_reads();
    }
    if (role_ != raft_role::follower)
    {
        reset_election_deadline();
    }
    role_ = raft_role::follower;
    leader_ = leader;
    broadcast_due_ = false;
}

// Accepts the sender as leader of the term, which must not be lower than the
// current one.
void raft_node::accept_leader(instance_id from, std::uint64_t term)
{
    if (term > hard_.term || role_ != raft_role::follower || leader_ != from)
    {
        become_follower(term, from);
    }
    if (hard_.vote == 0)
    {
        // A node that follows a leader votes for no other candidate of the
        // term.
        hard_.vote = from;
        hard_dirty_ = true;
    }
    reset_election_deadline();
    vote_blocked_until_ = now_ + options_.election_timeout;
    last_leader_ = from;
    last_leader_contact_ = now_;
}

// Creation of the group.

bool raft_node::is_new() const
{
    return !configuration_ && log_.last_index() == 0 && !snapshot_;
}

void raft_node::query_group()
{
    next_group_query_ = now_ + group_query_interval;
    const auto& voters = options_.initial_voters;
    // Only one voter may create the group: two of them could list different
    // disks of a third one.
    if (voters.empty() || std::ranges::min(voters) != options_.self)
    {
        return;
    }
    for (const instance_id voter : voters)
    {
        if (voter != options_.self)
        {
            wire::group_query_msg query;
            query.disk = hard_.disk;
            send_after_sync(voter, query);
        }
    }
    create_group();
}

void raft_node::receive_group_query(
    instance_id from, const wire::group_query_msg& message)
{
    wire::group_reply_msg reply;
    reply.query_disk = message.disk;
    reply.disk = hard_.disk;
    reply.empty = is_new();
    reply.term = hard_.term;
    reply.nonce = message.nonce;
    send_after_sync(from, reply);
}

void raft_node::receive_group_reply(
    instance_id from, const wire::group_reply_msg& message)
{
    receive_disk(from, message);
    if (!is_new() || message.query_disk != hard_.disk)
    {
        return;
    }
    group_replies_[from] = message;
    create_group();
}

void raft_node::create_group()
{
    if (!may_create_group_)
    {
        return;
    }
    voter_list list;
    std::uint64_t term = hard_.term;
    for (const instance_id voter : options_.initial_voters)
    {
        disk_id disk = hard_.disk;
        if (voter != options_.self)
        {
            const auto reply = group_replies_.find(voter);
            if (reply == group_replies_.end() || !reply->second.empty)
            {
                return;
            }
            disk = reply->second.disk;
            term = std::max(term, reply->second.term);
        }
        list = list.with_voter({voter, disk});
    }
    log(log_level::info, subsystem::consensus, "group_created voters={}",
        list.voters.size());
    become_follower(term, 0);
    hard_.bootstrap = std::move(list);
    hard_dirty_ = true;
    recompute_configuration();
}

// Replication, follower side.

void raft_node::receive_append_request(
    instance_id from, const wire::append_request_msg& message)
{
    wire::append_reply_msg reply;
    reply.disk = hard_.disk;
    reply.failure_domain = options_.failure_domain;
    reply.half_quorums = options_.half_quorums;
    reply.read_sequence = message.read_sequence;
    if (message.term >= hard_.term)
    {
        accept_leader(from, message.term);
        reply.success = merge_entries(message);
        if (reply.success)
        {
            const std::uint64_t match =
                message.previous_index + message.entries.size();
            advance_commit_to(std::min(message.commit, match));
            reply.match_index = match;
        }
        else
        {
            reply.hint_index = conflict_hint(message.previous_index);
        }
    }
    reply.term = hard_.term;
    send_after_sync(from, reply);
}

// Appends the entries when the log matches at the index before them, and
// replaces conflicting uncommitted entries. Returns false on a mismatch.
bool raft_node::merge_entries(const wire::append_request_msg& message)
{
    // Entries up to the base are committed and therefore match.
    if (message.previous_index >= log_.base_index() &&
        log_.term_at(message.previous_index) != message.previous_term)
    {
        return false;
    }
    std::uint64_t index = message.previous_index;
    for (const auto& entry : message.entries)
    {
        ++index;
        if (index <= log_.base_index())
        {
            continue;
        }
        const auto known = log_.term_at(index);
        if (known == entry->term)
        {
            continue;
        }
        if (known)
        {
            if (index <= commit_)
            {
                log(log_level::error, subsystem::consensus,
                    "committed_entry_differs index={} commit={}", index,
                    commit_);
                return false;
            }
            log_.truncate_from(index);
            synced_index_ = std::min(synced_index_, index - 1);
            taken_index_ = std::min(taken_index_, index - 1);
            recompute_configuration();
        }
        wire::log_entry_msg copy = *entry;
        copy.index = index;
        const bool is_voters = copy.kind == wire::entry_kind::voters;
        log_.append(std::move(copy));
        mark_dirty_from(index);
        if (is_voters)
        {
            recompute_configuration();
        }
    }
    return true;
}

// Highest index at which the leader should test for a match next.
std::uint64_t raft_node::conflict_hint(std::uint64_t previous_index) const
{
    if (previous_index > log_.last_index() ||
        previous_index <= log_.base_index())
    {
        return log_.last_index();
    }
    return std::max(commit_, log_.first_of_term(previous_index) - 1);
}

void raft_node::receive_snapshot_chunk(
    instance_id from, const wire::snapshot_chunk_msg& message)
{
    wire::snapshot_reply_msg reply;
    reply.disk = hard_.disk;
    reply.last_index = message.last_index;
    if (message.term < hard_.term)
    {
        reply.term = hard_.term;
        send_after_sync(from, reply);
        return;
    }
    accept_leader(from, message.term);
    reply.term = hard_.term;
    if (message.last_index <= commit_)
    {
        reply.next_offset = std::numeric_limits<std::uint64_t>::max();
        send_after_sync(from, reply);
        return;
    }
    if (!incoming_snapshot_ ||
        incoming_snapshot_->index != message.last_index ||
        incoming_snapshot_->term != message.term || message.offset == 0)
    {
        incoming_snapshot_ =
            incoming_snapshot{message.term, message.last_index, {}};
    }
    if (message.offset == incoming_snapshot_->data.size())
    {
        incoming_snapshot_->data.insert(
            incoming_snapshot_->data.end(), message.data.begin(),
            message.data.end());
        if (message.done)
        {
            auto snapshot = std::make_shared<log_snapshot>();
            snapshot->index = message.last_index;
            snapshot->term = message.last_term;
            snapshot->data = std::move(incoming_snapshot_->data);
            if (message.configuration)
            {
                snapshot->configuration = from_wire(*message.configuration);
            }
            incoming_snapshot_.reset();
            reply.next_offset = message.offset + message.data.size();
            install_snapshot(std::move(snapshot));
            send_after_sync(from, reply);
            return;
        }
    }
    reply.next_offset = incoming_snapshot_->data.size();
    send_after_sync(from, reply);
}

void raft_node::install_snapshot(snapshot_ptr snapshot)
{
    if (log_.term_at(snapshot->index) == snapshot->term)
    {
        log_.drop_through(snapshot->index);
    }
    else
    {
        log_.reset(snapshot->index, snapshot->term);
    }
    // The whole log is rewritten together with the snapshot.
    synced_index_ = std::min(synced_index_, snapshot->index);
    taken_index_ = std::min(taken_index_, snapshot->index);
    commit_ = snapshot->index;
    applied_ = snapshot->index;
    snapshot_ = snapshot;
    installed_snapshot_ = std::move(snapshot);
    snapshot_dirty_ = true;
    recompute_configuration();
}

// Replication, leader side.

void raft_node::append_local(
    wire::entry_kind kind, std::vector<std::uint8_t> data)
{
    wire::log_entry_msg entry;
    entry.term = hard_.term;
    entry.index = log_.last_index() + 1;
    entry.kind = kind;
    entry.data = std::move(data);
    mark_dirty_from(entry.index);
    log_.append(std::move(entry));
    if (kind == wire::entry_kind::voters)
    {
        recompute_configuration();
        update_followers();
    }
}

void raft_node::update_followers()
{
    std::set<instance_id> wanted{
        configuration_->learners.begin(), configuration_->learners.end()};
    for (const voter_identity& voter : configuration_->voters)
    {
        wanted.insert(voter.instance);
    }
    if (const voter_list* joint = joint_list())
    {
        const auto voters = joint->instances();
        wanted.insert(voters.begin(), voters.end());
    }
    wanted.erase(options_.self);
    std::erase_if(
        followers_,
        [&](const auto& item) { return !wanted.contains(item.first); });
    for (const instance_id instance : wanted)
    {
        const auto [item, added] = followers_.try_emplace(instance);
        if (added)
        {
            item->second.next = log_.last_index() + 1;
            item->second.last_contact = now_;
            item->second.last_heard = now_;
        }
    }
}

// Records a reply. A follower that replies from another disk starts over.
void raft_node::record_reply(progress& follower, disk_id disk)
{
    if (follower.disk != disk)
    {
        follower = progress{};
        follower.disk = disk;
        follower.next = log_.last_index() + 1;
    }
    follower.last_contact = now_;
    follower.last_heard = now_;
}

// Returns the follower that sent a reply of the given term, or nullptr when it
// is unknown or this node is not the leader of that term.
raft_node::progress*
raft_node::follower_of_reply(instance_id from, std::uint64_t term)
{
    if (term > hard_.term)
    {
        become_follower(term, 0);
        return nullptr;
    }
    if (!is_leader() || term != hard_.term)
    {
        return nullptr;
    }
    const auto found = followers_.find(from);
    return found == followers_.end() ? nullptr : &found->second;
}

void raft_node::receive_append_reply(
    instance_id from, const wire::append_reply_msg& message)
{
    progress* follower = follower_of_reply(from, message.term);
    if (follower == nullptr)
    {
        return;
    }
    record_reply(*follower, message.disk);
    follower->failure_domain = message.failure_domain;
    follower->half_quorums = message.half_quorums;
    follower->acked_sequence =
        std::max(follower->acked_sequence, message.read_sequence);
    if (message.success)
    {
        follower->match = std::max(follower->match, message.match_index);
        follower->next = std::max(follower->next, follower->match + 1);
        if (follower->match >= follower->sent_through && !follower->snapshot)
        {
            follower->in_flight = false;
        }
        advance_commit();
    }
    else if (message.hint_index >= follower->match && !follower->snapshot)
    {
        follower->next = std::max(
            follower->match + 1,
            std::min(follower->next - 1, message.hint_index + 1));
        follower->in_flight = false;
    }
    if (is_leader())
    {
        confirm_reads();
    }
}

void raft_node::receive_snapshot_reply(
    instance_id from, const wire::snapshot_reply_msg& message)
{
    progress* follower = follower_of_reply(from, message.term);
    if (follower == nullptr)
    {
        return;
    }
    record_reply(*follower, message.disk);
    if (!follower->snapshot || follower->snapshot->index != message.last_index)
    {
        return;
    }
    follower->in_flight = false;
    if (message.next_offset < follower->snapshot->data.size())
    {
        follower->offset = message.next_offset;
        return;
    }
    follower->match = std::max(follower->match, message.last_index);
    follower->next = follower->match + 1;
    follower->sent_through = 0;
    follower->snapshot.reset();
    advance_commit();
}

void raft_node::start_broadcast()
{
    broadcast_due_ = true;
    next_heartbeat_ = now_ + options_.heartbeat_interval;
}

void raft_node::replicate()
{
    const bool broadcast = std::exchange(broadcast_due_, false);
    if (broadcast)
    {
        ++broadcast_sequence_;
        broadcast_times_.emplace_back(broadcast_sequence_, now_);
    }
    for (auto& [instance, follower] : followers_)
    {
        const bool resend =
            follower.in_flight &&
            now_ >= follower.sent_at + options_.heartbeat_interval *
                                           options_.resend_after_heartbeats;
        const bool may_send = !follower.in_flight || resend;
        if (!follower.snapshot && follower.next <= log_.base_index())
        {
            follower.snapshot = snapshot_;
            follower.offset = 0;
        }
        if (follower.snapshot)
        {
            if (may_send)
            {
                send_chunk(instance, follower);
            }
            if (broadcast)
            {
                send_append(instance, follower, false);
            }
        }
        else if (may_send && (follower.next <= log_.last_index()))
        {
            send_append(instance, follower, true);
        }
        else if (broadcast)
        {
            send_append(instance, follower, false);
        }
    }
    if (broadcast)
    {
        confirm_reads();
    }
}

void raft_node::send_append(
    instance_id to, progress& follower, bool with_entries)
{
    wire::append_request_msg request;
    request.term = hard_.term;
    request.commit = commit_;
    request.read_sequence = broadcast_sequence_;
    // A heartbeat during an unacknowledged append must not be rejected, so it
    // refers to an index known to match. Otherwise it tests the next index.
    const bool known_position =
        !with_entries && (follower.in_flight || follower.snapshot);
    request.previous_index =
        known_position ? follower.match : follower.next - 1;
    const auto term = log_.term_at(request.previous_index);
    if (!term)
    {
        request.previous_index = 0;
    }
    request.previous_term = term.value_or(0);
    if (with_entries)
    {
        for (auto& entry :
             log_.copy_from(follower.next, options_.max_message_bytes))
        {
            request.entries.push_back(
                std::make_unique<wire::log_entry_msg>(std::move(entry)));
        }
        follower.in_flight = true;
        follower.sent_at = now_;
        follower.sent_through = request.previous_index + request.entries.size();
    }
    // Needs no sync: the term has been durable since the election, and entries
    // may become durable on a quorum of followers before they are on the
    // leader.
    send(to, std::move(request));
}

void raft_node::send_chunk(instance_id to, progress& follower)
{
    const log_snapshot& snapshot = *follower.snapshot;
    const std::size_t begin =
        std::min<std::size_t>(follower.offset, snapshot.data.size());
    const std::size_t size =
        std::min(options_.max_message_bytes, snapshot.data.size() - begin);
    wire::snapshot_chunk_msg chunk;
    chunk.term = hard_.term;
    chunk.last_index = snapshot.index;
    chunk.last_term = snapshot.term;
    chunk.offset = begin;
    chunk.data.assign(
        snapshot.data.begin() + static_cast<std::ptrdiff_t>(begin),
        snapshot.data.begin() + static_cast<std::ptrdiff_t>(begin + size));
    chunk.done = begin + size == snapshot.data.size();
    chunk.configuration = std::make_unique<wire::voters_entry_msg>(
        to_wire(snapshot.configuration));
    follower.in_flight = true;
    follower.sent_at = now_;
    send(to, std::move(chunk));
}

// Quorums.

// Whether this node knows that the voter list in use is committed.
bool raft_node::is_list_committed() const
{
    return configuration_index_ <= std::max(commit_, hard_.committed_list);
}

// The list before the one in use, if a quorum of it is needed, too, until the
// change is committed. A majority of the next list alone need not have a voter
// in common with a half quorum of this one, nor with a majority of it that
// contains a disk that the next list replaces.
const voter_list* raft_node::joint_list() const
{
    const bool is_joint = previous_configuration_ &&
                          previous_configuration_->half_quorums &&
                          !is_list_committed();
    return is_joint ? &*previous_configuration_ : nullptr;
}

// The older one of the lists of which a quorum is needed. A lost disk that it
// names is the proof that a half quorum needs.
const voter_list& raft_node::older_list() const
{
    const voter_list* joint = joint_list();
    return joint != nullptr ? *joint : *configuration_;
}

// A list that is not committed, and follows one without half quorums, needs a
// majority: a majority of the list before may not know it.
bool raft_node::counts_half_quorums(const voter_list& list) const
{
    return list.has_half_quorums() &&
           (is_list_committed() || joint_list() != nullptr);
}

bool raft_node::confirms_loss(const voter_list& list, instance_id voter) const
{
    const auto vote = votes_.find(voter);
    return lost_voter_ && counts_half_quorums(list) &&
           list.has_voter(lost_voter_->instance, lost_voter_->disk) &&
           vote != votes_.end() && vote->second.confirms_loss &&
           list.has_voter(voter, vote->second.disk);
}

template <typename Predicate>
bool raft_node::has_quorum(const voter_list& list, Predicate counts) const
{
    const auto count = std::ranges::count_if(list.voters, counts);
    const auto confirming = std::ranges::count_if(
        list.voters, [&](const voter_identity& voter)
        { return counts(voter) && confirms_loss(list, voter.instance); });
    return 2 * static_cast<std::size_t>(count) > list.voters.size() ||
           2 * static_cast<std::size_t>(confirming) >= list.voters.size();
}

template <typename Predicate>
bool raft_node::has_quorum(Predicate counts) const
{
    const voter_list* joint = joint_list();
    return has_quorum(*configuration_, counts) &&
           (joint == nullptr || has_quorum(*joint, counts));
}

template <typename Value, typename Get>
Value raft_node::value_of(
    const voter_identity& voter, const Value& own, Get get) const
{
    if (voter.instance == options_.self)
    {
        return voter.disk == hard_.disk ? own : Value{};
    }
    const auto found = followers_.find(voter.instance);
    const bool counts =
        found != followers_.end() && found->second.disk == voter.disk;
    return counts ? get(found->second) : Value{};
}

template <typename Value, typename Get>
Value raft_node::majority_value(
    const voter_list& list, const Value& own, Get get) const
{
    std::vector<Value> values;
    for (const voter_identity& voter : list.voters)
    {
        values.push_back(value_of(voter, own, get));
    }
    std::ranges::sort(values, std::greater<>{});
    return values[values.size() / 2];
}

template <typename Value, typename Get>
Value raft_node::half_quorum_value(
    const voter_list& list, const Value& own, Get get) const
{
    std::vector<Value> values;
    for (const voter_identity& voter : list.voters)
    {
        if (confirms_loss(list, voter.instance))
        {
            values.push_back(value_of(voter, own, get));
        }
    }
    if (values.empty() || 2 * values.size() < list.voters.size())
    {
        return Value{};
    }
    std::ranges::sort(values, std::greater<>{});
    return values[list.voters.size() / 2 - 1];
}

template <typename Value, typename Get>
Value raft_node::quorum_value(
    const voter_list& list, const Value& own, Get get) const
{
    return std::max(
        majority_value(list, own, get), half_quorum_value(list, own, get));
}

template <typename Value, typename Get>
Value raft_node::quorum_value(const Value& own, Get get) const
{
    const Value reached = quorum_value(*configuration_, own, get);
    const voter_list* joint = joint_list();
    return joint == nullptr ? reached
                            : std::min(reached, quorum_value(*joint, own, get));
}

// Lost disks.

// A voter that is known to have lost its disk, if possible one of both lists
// that count.
std::optional<voter_identity> raft_node::find_lost_voter() const
{
    std::optional<voter_identity> found;
    for (const voter_identity& voter : older_list().voters)
    {
        const bool is_in_both =
            configuration_->has_voter(voter.instance, voter.disk);
        if (knows_loss_of(voter) && (!found || is_in_both))
        {
            found = voter;
        }
    }
    return found;
}

bool raft_node::knows_loss_of(voter_identity voter) const
{
    const auto found = lost_disks_.find(voter.instance);
    return found != lost_disks_.end() && found->second == voter.disk;
}

// Asks the instance which disk it has. Messages that are already on their way
// prove nothing, since they may be older than the expected disk; hence the
// nonce.
void raft_node::query_disk(voter_identity expected)
{
    if (expected.instance == options_.self)
    {
        return;
    }
    disk_query& query = disk_queries_[expected.instance];
    if (query.expected != expected.disk)
    {
        query = {expected.disk, random_() | 1U, std::nullopt};
    }
    if (query.sent_at &&
        now_ < *query.sent_at + options_.election_timeout / pre_vote_rounds)
    {
        return;
    }
    query.sent_at = now_;
    wire::group_query_msg message;
    message.disk = hard_.disk;
    message.nonce = query.nonce;
    send(expected.instance, message);
}

// An instance that answers from another disk than a voter list names has lost
// that disk for good: it keeps one as long as it can.
void raft_node::receive_disk(
    instance_id from, const wire::group_reply_msg& message)
{
    const auto query = disk_queries_.find(from);
    if (query == disk_queries_.end() || message.nonce != query->second.nonce)
    {
        return;
    }
    if (message.disk != 0 && message.disk != query->second.expected)
    {
        lost_disks_[from] = query->second.expected;
        log(log_level::info, subsystem::consensus,
            "voter_lost_disk instance={}", from);
    }
    disk_queries_.erase(query);
}

bool raft_node::heard_from_quorum() const
{
    return has_quorum(
        [this](const voter_identity& voter)
        {
            if (voter.instance == options_.self)
            {
                return true;
            }
            const auto found = followers_.find(voter.instance);
            // A follower whose disk is not known yet counts until an election
            // timeout after the start of its replication.
            return found != followers_.end() &&
                   (found->second.disk == 0 ||
                    found->second.disk == voter.disk) &&
                   now_ - found->second.last_contact <=
                       options_.election_timeout;
        });
}

bool raft_node::hears_quorum_of_change(const voter_list& next) const
{
    const auto is_heard = [this](const voter_identity& voter)
    {
        if (voter.instance == options_.self)
        {
            return true;
        }
        const auto found = followers_.find(voter.instance);
        return found != followers_.end() && found->second.disk == voter.disk &&
               now_ - found->second.last_contact <= options_.election_timeout;
    };
    return has_quorum(next, is_heard) &&
           (!configuration_->half_quorums ||
            has_quorum(*configuration_, is_heard));
}

void raft_node::advance_commit()
{
    const auto index = quorum_value(
        synced_index_, [](const progress& follower) { return follower.match; });
    if (index <= commit_ || log_.term_at(index) != hard_.term)
    {
        return;
    }
    advance_commit_to(index);
    confirm_reads();
    if (configuration_index_ <= commit_ &&
        configuration_->find_voter(options_.self) == nullptr)
    {
        become_follower(hard_.term, 0);
    }
}

void raft_node::advance_commit_to(std::uint64_t index)
{
    const bool was_committed = is_list_committed();
    commit_ = std::max(commit_, index);
    if (was_committed || !is_list_committed())
    {
        return;
    }
    if (configuration_->half_quorums ||
        (previous_configuration_ && previous_configuration_->half_quorums))
    {
        hard_.committed_list = configuration_index_;
        hard_dirty_ = true;
    }
    if (is_leader())
    {
        // Drops those that only the list before contained.
        update_followers();
    }
}

void raft_node::confirm_reads()
{
    const auto confirmed = quorum_value(
        broadcast_sequence_,
        [](const progress& follower) { return follower.acked_sequence; });
    while (!broadcast_times_.empty() &&
           broadcast_times_.front().first <= confirmed)
    {
        lease_until_ = broadcast_times_.front().second +
                       options_.election_timeout - options_.clock_drift_margin;
        broadcast_times_.pop_front();
    }
    while (!pending_reads_.empty() &&
           pending_reads_.front().sequence <= confirmed &&
           pending_reads_.front().index <= commit_)
    {
        completed_reads_.push_back({pending_reads_.front().read, true});
        pending_reads_.pop_front();
    }
}

void raft_node::fail_reads()
{
    for (const pending_read& read : pending_reads_)
    {
        completed_reads_.push_back({read.read, false});
    }
    pending_reads_.clear();
}

bool raft_node::holds_lease(time_point now) const
{
    return is_leader() && lease_until_ && now < *lease_until_ &&
           commit_ >= term_start_index_;
}

disk_id raft_node::disk_of(instance_id instance) const
{
    const auto found = followers_.find(instance);
    return found == followers_.end() ? 0 : found->second.disk;
}

bool raft_node::is_caught_up(instance_id instance) const
{
    const auto found = followers_.find(instance);
    return found != followers_.end() && found->second.disk != 0 &&
           found->second.match >= commit_ && commit_ >= term_start_index_;
}

std::optional<bool> raft_node::supports_half_quorums(voter_identity voter) const
{
    if (voter.instance == options_.self)
    {
        return voter.disk == hard_.disk && options_.half_quorums;
    }
    const auto found = followers_.find(voter.instance);
    const bool has_replied =
        found != followers_.end() && found->second.disk == voter.disk;
    return has_replied ? found->second.half_quorums : std::nullopt;
}

std::uint64_t raft_node::failure_domain_of(instance_id instance) const
{
    if (instance == options_.self)
    {
        return options_.failure_domain;
    }
    const auto found = followers_.find(instance);
    return found == followers_.end() ? 0 : found->second.failure_domain;
}

std::optional<time_point> raft_node::last_contact(instance_id instance) const
{
    const auto found = followers_.find(instance);
    return found == followers_.end() ? std::nullopt
                                     : std::optional{found->second.last_heard};
}

bool raft_node::may_change_voters() const
{
    return is_leader() && configuration_index_ <= commit_ &&
           commit_ >= term_start_index_;
}

// Durable state.

void raft_node::mark_dirty_from(std::uint64_t index)
{
    dirty_from_ = dirty_from_ == 0 ? index : std::min(dirty_from_, index);
}

bool raft_node::has_writes() const
{
    return hard_dirty_ || snapshot_dirty_ || dirty_from_ != 0;
}

storage_write raft_node::take_writes()
{
    storage_write change;
    if (!has_writes())
    {
        return change;
    }
    if (std::exchange(hard_dirty_, false))
    {
        change.hard = hard_;
    }
    std::uint64_t first = std::exchange(dirty_from_, 0);
    if (std::exchange(snapshot_dirty_, false))
    {
        change.snapshot = snapshot_;
        first = snapshot_->index + 1;
    }
    if (first != 0)
    {
        change.entries =
            log_.copy_from(first, std::numeric_limits<std::size_t>::max());
    }
    ++taken_generation_;
    taken_index_ = log_.last_index();
    return change;
}

void raft_node::on_synced(time_point now)
{
    advance_clock(now);
    storage_failing_ = false;
    synced_generation_ = taken_generation_;
    synced_index_ = taken_index_;
    std::vector<waiting_message> still_unsynced;
    for (waiting_message& waiting : unsynced_messages_)
    {
        if (waiting.generation <= synced_generation_)
        {
            outgoing_.push_back(std::move(waiting.message));
        }
        else
        {
            still_unsynced.push_back(std::move(waiting));
        }
    }
    unsynced_messages_ = std::move(still_unsynced);
    if (role_ == raft_role::candidate && !hard_dirty_)
    {
        cast_own_vote();
        count_votes();
    }
    else if (is_leader())
    {
        advance_commit();
    }
}

void raft_node::on_storage_failed(time_point now)
{
    advance_clock(now);
    if (!std::exchange(storage_failing_, true))
    {
        log(log_level::error, subsystem::consensus,
            "storage_failing term={} role={}", hard_.term,
            static_cast<int>(role_));
    }
    if (role_ != raft_role::follower)
    {
        become_follower(hard_.term, 0);
    }
    // These messages depend on writes that may never become durable. Their
    // receivers repeat the requests.
    unsynced_messages_.clear();
}

template <typename Message>
void raft_node::send(instance_id to, Message message)
{
    outgoing_.push_back(make_outgoing(to, std::move(message)));
}

template <typename Message>
void raft_node::send_after_sync(instance_id to, Message message)
{
    const std::uint64_t generation =
        has_writes() ? taken_generation_ + 1 : taken_generation_;
    if (generation <= synced_generation_)
    {
        send(to, std::move(message));
        return;
    }
    unsynced_messages_.push_back(
        {generation, make_outgoing(to, std::move(message))});
}

std::vector<outgoing_message> raft_node::take_outgoing()
{
    if (is_leader())
    {
        replicate();
    }
    return std::exchange(outgoing_, {});
}

committed_batch raft_node::take_committed()
{
    committed_batch batch;
    batch.snapshot = std::exchange(installed_snapshot_, nullptr);
    while (applied_ < commit_)
    {
        batch.entries.push_back(log_.at(++applied_));
    }
    return batch;
}

void raft_node::compact(std::uint64_t index, std::vector<std::uint8_t> data)
{
    if (index <= snapshot_index() || index > applied_)
    {
        return;
    }
    auto snapshot = std::make_shared<log_snapshot>();
    snapshot->index = index;
    snapshot->term = log_.term_at(index).value_or(0);
    snapshot->configuration = configuration_at(index);
    snapshot->data = std::move(data);
    snapshot_ = std::move(snapshot);
    snapshot_dirty_ = true;
    if (index > options_.trailing_entries)
    {
        log_.drop_through(index - options_.trailing_entries);
    }
}

void raft_node::recompute_configuration()
{
    configuration_index_ = log_.last_index();
    while (configuration_index_ > log_.base_index() &&
           log_.at(configuration_index_).kind != wire::entry_kind::voters)
    {
        --configuration_index_;
    }
    previous_configuration_.reset();
    if (configuration_index_ > log_.base_index())
    {
        configuration_ = configuration_at(configuration_index_);
        previous_configuration_ = configuration_at(configuration_index_ - 1);
    }
    else if (snapshot_)
    {
        configuration_ = snapshot_->configuration;
    }
    else
    {
        configuration_ = hard_.bootstrap;
    }
}

// Voter list in effect after the entry at index.
voter_list raft_node::configuration_at(std::uint64_t index) const
{
    for (; index > log_.base_index(); --index)
    {
        const wire::log_entry_msg& entry = log_.at(index);
        if (entry.kind == wire::entry_kind::voters)
        {
            const auto list = decode_table<wire::voters_entry>(entry.data);
            return list.ok() ? from_wire(*list) : voter_list{};
        }
    }
    if (snapshot_)
    {
        return snapshot_->configuration;
    }
    return hard_.bootstrap.value_or(voter_list{});
}

} // namespace hickorygap
