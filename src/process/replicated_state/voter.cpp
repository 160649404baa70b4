#include "process/replicated_state/voter.hpp"

#include "common/logging.hpp"

#include <algorithm>

namespace hickorygap
{

absl::StatusOr<std::unique_ptr<voter>> voter::open(
    voter_options options, std::unique_ptr<log_storage> storage,
    std::shared_ptr<const ticket_validator> validator, time_point now)
{
    auto stored = storage->load();
    if (!stored.ok())
    {
        return stored.status();
    }
    const snapshot_ptr snapshot = stored->snapshot;
    std::unique_ptr<voter> opened{new voter{
        std::move(options), std::move(storage), std::move(validator),
        *std::move(stored), now}};
    if (snapshot)
    {
        absl::Status status = opened->state_.restore(snapshot->data);
        if (!status.ok())
        {
            return status;
        }
    }
    return opened;
}

voter::voter(
    voter_options options, std::unique_ptr<log_storage> storage,
    std::shared_ptr<const ticket_validator> validator, stored_state stored,
    time_point now)
    : options_{std::move(options)}
    , writer_{std::move(storage), options_.storage_retry_interval}
    , state_{options_.calls, std::move(validator)}
    , raft_{options_.raft, std::move(stored), now}
    , now_{now}
{
}

void voter::tick(time_point now, unix_millis unix_now)
{
    now_ = now;
    unix_now_ = unix_now;
    if (raft_.configuration() == nullptr && creation_check_)
    {
        check_group_creation();
    }
    raft_.tick(now);
    if (raft_.is_leader())
    {
        reconcile_voters();
        close_orphaned_calls();
    }
}

void voter::receive(
    instance_id from, const wire::payloadUnion& payload, time_point now,
    unix_millis unix_now)
{
    now_ = now;
    unix_now_ = unix_now;
    if (const auto* propose = message_in<wire::propose_msg>(payload))
    {
        receive_propose(from, *propose);
    }
    else if (const auto* read = message_in<wire::read_request_msg>(payload))
    {
        receive_read(from, *read);
    }
    else
    {
        raft_.receive(from, payload, now);
    }
}

// Proposals.

void voter::receive_propose(instance_id from, const wire::propose_msg& message)
{
    if (!raft_.is_leader())
    {
        reply_not_leader(from, message.proposal);
        return;
    }
    if (message.data.size() > options_.max_proposal_bytes)
    {
        apply_result refused;
        refused.detail = fmt::format(
            "the proposal has {} bytes and the limit is {}; split it",
            message.data.size(), options_.max_proposal_bytes);
        reply(from, message.proposal, refused);
        return;
    }
    if (is_in_log(from, message.proposal))
    {
        // A copy of a proposal that is already in the log; the reply follows
        // once it is applied.
        return;
    }
    if (!state_.answer(message.kind, message.data))
    {
        append_proposal(from, message);
        return;
    }
    // The state may be behind that of a newer leader, so the answer is sent
    // only once a quorum has confirmed this leader.
    const auto read = raft_.read_index(now_);
    if (read.ok())
    {
        deferred_[*read] = {from, 0, message};
    }
}

// Whether an entry with this proposal is in the leader's log and not applied
// yet. Entries of another leader may have replaced it, and it must be appended
// again then.
bool voter::is_in_log(instance_id from, std::uint64_t proposal)
{
    const auto found = pending_indexes_.find({from, proposal});
    if (found == pending_indexes_.end())
    {
        return false;
    }
    const auto pending = pending_.find(found->second);
    if (raft_.entries().term_at(pending->first) == pending->second.term)
    {
        return true;
    }
    forget(pending);
    return false;
}

void voter::forget(pending_map::iterator pending)
{
    pending_indexes_.erase({pending->second.from, pending->second.proposal});
    pending_.erase(pending);
}

void voter::append_proposal(instance_id from, const wire::propose_msg& message)
{
    if (message.kind == wire::entry_kind::ticket && acceptance_check_)
    {
        const absl::Status status = acceptance_check_();
        if (!status.ok())
        {
            apply_result refused;
            refused.status = wire::proposal_status::unavailable;
            refused.version = state_.version();
            refused.detail = std::string{status.message()};
            reply(from, message.proposal, refused);
            return;
        }
    }
    const auto index =
        raft_.propose(message.kind, with_leader_time(message), now_);
    if (!index.ok())
    {
        reply_not_leader(from, message.proposal);
        return;
    }
    // Another leader has removed the entries that this one follows on.
    while (!pending_.empty() && pending_.rbegin()->first >= *index)
    {
        forget(std::prev(pending_.end()));
    }
    pending_[*index] = {raft_.term(), from, message.proposal};
    pending_indexes_[{from, message.proposal}] = *index;
}

// Returns the proposal's data with the leader's time, so that all voters apply
// the same time.
std::vector<std::uint8_t>
voter::with_leader_time(const wire::propose_msg& message) const
{
    if (message.kind == wire::entry_kind::ticket)
    {
        auto ticket = decode_table<wire::ticket_entry>(message.data);
        if (ticket.ok())
        {
            ticket->accepted_unix_ms = unix_now_;
            return encode_table<wire::ticket_entry>(*ticket);
        }
    }
    if (message.kind == wire::entry_kind::call_intent)
    {
        auto intent = decode_table<wire::call_intent>(message.data);
        if (intent.ok())
        {
            intent->created_unix_ms = unix_now_;
            return encode_table<wire::call_intent>(*intent);
        }
    }
    if (message.kind == wire::entry_kind::call_outcome)
    {
        auto outcome = decode_table<wire::call_outcome>(message.data);
        if (outcome.ok())
        {
            outcome->ended_unix_ms = unix_now_;
            return encode_table<wire::call_outcome>(*outcome);
        }
    }
    return message.data;
}

void voter::receive_read(
    instance_id from, const wire::read_request_msg& message)
{
    const auto read = raft_.read_index(now_);
    deferred_request deferred{from, message.read, std::nullopt};
    if (!read.ok())
    {
        answer_deferred(deferred, false);
        return;
    }
    deferred_[*read] = std::move(deferred);
}

void voter::answer_deferred(const deferred_request& deferred, bool confirmed)
{
    if (!deferred.proposal)
    {
        wire::read_reply_msg message;
        message.read = deferred.read_request;
        message.status = confirmed ? wire::proposal_status::accepted
                                   : wire::proposal_status::not_leader;
        message.leader = raft_.leader();
        message.version = confirmed ? state_.version() : 0;
        outgoing_.push_back(make_outgoing(deferred.from, message));
        return;
    }
    const wire::propose_msg& proposal = *deferred.proposal;
    if (!confirmed)
    {
        reply_not_leader(deferred.from, proposal.proposal);
        return;
    }
    // The state may have changed since the proposal arrived.
    if (const auto known = state_.answer(proposal.kind, proposal.data))
    {
        reply(deferred.from, proposal.proposal, *known);
    }
    else if (!is_in_log(deferred.from, proposal.proposal))
    {
        append_proposal(deferred.from, proposal);
    }
}

void voter::reply(
    instance_id to, std::uint64_t proposal, const apply_result& result)
{
    wire::propose_reply_msg message;
    message.proposal = proposal;
    message.status = result.status;
    message.leader = raft_.leader();
    message.version = result.version;
    message.accepted_unix_ms = result.accepted;
    message.detail = result.detail;
    message.recorded = result.recorded;
    outgoing_.push_back(make_outgoing(to, std::move(message)));
}

void voter::reply_not_leader(instance_id to, std::uint64_t proposal)
{
    apply_result result;
    result.status = wire::proposal_status::not_leader;
    result.detail = "this voter is not the leader; ask the leader";
    reply(to, proposal, result);
}

// Storage and state machine.

absl::Status voter::flush()
{
    absl::Status written = writer_.write(raft_, now_);
    if (absl::Status status = apply_committed(); !status.ok())
    {
        return status;
    }
    if (!written.ok())
    {
        return written;
    }
    maybe_compact();
    return absl::OkStatus();
}

absl::Status voter::apply_committed()
{
    if (!state_status_.ok())
    {
        return state_status_;
    }
    const committed_batch batch = raft_.take_committed();
    if (batch.snapshot)
    {
        state_status_ = state_.restore(batch.snapshot->data);
        if (!state_status_.ok())
        {
            log(log_level::error, subsystem::consensus,
                "snapshot_unusable index={} error=\"{}\"",
                batch.snapshot->index, std::string{state_status_.message()});
            return state_status_;
        }
        while (!pending_.empty() &&
               pending_.begin()->first <= batch.snapshot->index)
        {
            forget(pending_.begin());
        }
    }
    for (const wire::log_entry_msg& entry : batch.entries)
    {
        apply(entry);
    }
    for (const read_outcome& read : raft_.take_read_outcomes())
    {
        auto deferred = deferred_.extract(read.read);
        if (!deferred.empty())
        {
            answer_deferred(deferred.mapped(), read.confirmed);
        }
    }
    return absl::OkStatus();
}

void voter::apply(const wire::log_entry_msg& entry)
{
    const apply_result result = state_.apply(entry);
    const auto pending = pending_.extract(entry.index);
    if (pending.empty())
    {
        return;
    }
    const pending_proposal& proposal = pending.mapped();
    pending_indexes_.erase({proposal.from, proposal.proposal});
    // An entry of another leader may have replaced the proposal at this index.
    // Its outcome is then unknown, and the client sends it again.
    if (proposal.term == entry.term)
    {
        reply(proposal.from, proposal.proposal, result);
    }
}

void voter::maybe_compact()
{
    const std::uint64_t applied = state_.applied_index();
    if (applied >= raft_.snapshot_index() + options_.entries_per_snapshot)
    {
        raft_.compact(applied, state_.snapshot());
    }
}

std::vector<outgoing_message> voter::take_outgoing()
{
    std::vector<outgoing_message> messages = raft_.take_outgoing();
    std::ranges::move(
        std::exchange(outgoing_, {}), std::back_inserter(messages));
    return messages;
}

std::vector<ticket_record> voter::take_applied_tickets()
{
    const auto added = state_.tickets().subspan(reported_tickets_);
    reported_tickets_ = state_.version();
    return {added.begin(), added.end()};
}

voter_status voter::status() const
{
    voter_status status;
    status.role = raft_.role();
    status.leader = raft_.leader();
    status.term = raft_.term();
    status.commit_index = raft_.commit_index();
    status.last_index = raft_.last_index();
    status.snapshot_index = raft_.snapshot_index();
    status.version = state_.version();
    status.votes = raft_.is_voter();
    if (raft_.configuration() != nullptr)
    {
        status.voters = *raft_.configuration();
    }
    status.storage = writer_.status();
    return status;
}

// Membership.

void voter::check_group_creation()
{
    const absl::Status status = creation_check_();
    raft_.set_may_create_group(status.ok());
    if (!status.ok() && !creation_refused_)
    {
        log(log_level::warning, subsystem::consensus,
            "group_creation_refused reason=\"{}\"",
            std::string{status.message()});
    }
    creation_refused_ = !status.ok();
}

void voter::set_target_voters(
    configuration_version ticket, std::vector<instance_id> voters)
{
    if (ticket >= target_ticket_)
    {
        target_ticket_ = ticket;
        target_voters_ = std::move(voters);
    }
}

void voter::reconcile_voters()
{
    // The record of a lost disk contains the number of the last ticket, so all
    // committed entries must be applied.
    if (!raft_.may_change_voters() ||
        state_.applied_index() != raft_.commit_index())
    {
        return;
    }
    const auto next = next_voter_list();
    if (next && !raft_.propose_voters(*next, now_).ok())
    {
        log(log_level::warning, subsystem::consensus,
            "voter_change_refused voters={}", next->voters.size());
    }
}

// Returns the next membership change towards the target voters, if one is
// possible now.
std::optional<voter_list> voter::next_voter_list() const
{
    const voter_list& list = *raft_.configuration();
    const auto is_target = [this](instance_id instance)
    { return std::ranges::count(target_voters_, instance) != 0; };
    for (const voter_identity& voter : list.voters)
    {
        const disk_id disk = raft_.disk_of(voter.instance);
        if (disk != 0 && disk != voter.disk)
        {
            voter_list next = list.with_learner(voter.instance);
            next.lost.push_back({voter.instance, state_.version()});
            return next;
        }
    }
    if (target_voters_.empty())
    {
        return std::nullopt;
    }
    for (const instance_id instance : target_voters_)
    {
        if (list.find_voter(instance) != nullptr)
        {
            continue;
        }
        const lost_disk* lost = list.find_lost_disk(instance);
        if (lost != nullptr && target_ticket_ <= lost->ticket)
        {
            continue;
        }
        if (!list.has_learner(instance))
        {
            return list.with_learner(instance);
        }
        if (raft_.is_caught_up(instance))
        {
            return list.with_voter({instance, raft_.disk_of(instance)});
        }
        // Voters are removed only after all new ones have joined.
        return std::nullopt;
    }
    for (const instance_id instance : list.learners)
    {
        const lost_disk* lost = list.find_lost_disk(instance);
        if (!is_target(instance) &&
            (lost == nullptr || target_ticket_ > lost->ticket))
        {
            return list.without(instance);
        }
    }
    for (const voter_identity& voter : list.voters)
    {
        if (!is_target(voter.instance) && list.voters.size() > 1)
        {
            return list.without(voter.instance);
        }
    }
    return std::nullopt;
}

void voter::set_oldest_incarnation(
    instance_id instance, incarnation_number incarnation)
{
    incarnation_number& oldest = oldest_incarnations_[instance];
    oldest = std::max(oldest, incarnation);
}

void voter::close_orphaned_calls()
{
    if (oldest_incarnations_.empty() || !raft_.may_change_voters())
    {
        return;
    }
    for (const open_call& call : state_.calls().open_calls())
    {
        const auto oldest = oldest_incarnations_.find(call.entry_instance);
        if (oldest == oldest_incarnations_.end() ||
            call.entry_incarnation >= oldest->second)
        {
            continue;
        }
        // Handled like a proposal from this instance, so that the pending
        // proposals keep it from entering the log twice.
        wire::call_outcome_msg outcome;
        outcome.organisation = call.key.organisation;
        outcome.service = call.key.service;
        outcome.key = call.key.key;
        outcome.request = call.request;
        wire::propose_msg proposal;
        proposal.proposal = call.request;
        proposal.kind = wire::entry_kind::call_outcome;
        proposal.data = encode_table<wire::call_outcome>(outcome);
        receive_propose(options_.raft.self, proposal);
    }
}

} // namespace hickorygap
