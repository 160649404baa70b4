#include "process/routing_store/routing_voter.hpp"

#include "common/logging.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorygap
{

namespace
{

// Bit that is set in the numbers of forwarded reads, so that they differ from
// the numbers of raft_node, which count from one.
constexpr std::uint64_t forwarded_read_bit = std::uint64_t{1} << 63U;

// Bounds what operators can add to the state.
constexpr std::size_t max_evacuated_domains = 64;

} // namespace

absl::StatusOr<std::unique_ptr<routing_voter>> routing_voter::open(
    routing_voter_options options, std::unique_ptr<log_storage> storage,
    time_point now)
{
    auto stored = storage->load();
    if (!stored.ok())
    {
        return stored.status();
    }
    const snapshot_ptr snapshot = stored->snapshot;
    std::unique_ptr<routing_voter> opened{new routing_voter{
        std::move(options), std::move(storage), *std::move(stored), now}};
    if (snapshot)
    {
        if (absl::Status status = opened->state_.restore(snapshot->data);
            !status.ok())
        {
            return status;
        }
        opened->applied_index_ = snapshot->index;
    }
    return opened;
}

routing_voter::routing_voter(
    routing_voter_options options, std::unique_ptr<log_storage> storage,
    stored_state stored, time_point now)
    : options_{std::move(options)}
    , writer_{std::move(storage), options_.storage_retry_interval}
    , raft_{options_.raft, std::move(stored), now}
    , now_{now}
    , leader_known_at_{now}
{
}

void routing_voter::tick(time_point now)
{
    now_ = now;
    raft_.tick(now);
    check_membership();
    propose_queued();
    std::erase_if(
        joining_, [&](const auto& item)
        { return now - item.second > options_.join_expiry; });
    std::erase_if(
        leaving_, [&](const auto& item)
        { return now - item.second > options_.leave_expiry; });
    if (is_leaving_)
    {
        leaving_[options_.raft.self] = now;
    }
    if (raft_.is_leader())
    {
        reconcile_group();
    }
}

void routing_voter::receive(
    instance_id from, const wire::payloadUnion& payload, time_point now)
{
    now_ = now;
    if (const auto* request = message_in<wire::group_join_msg>(payload))
    {
        receive_join(from, *request);
        return;
    }
    if (const auto* notice = message_in<wire::voter_notice_msg>(payload))
    {
        advertised_voters_ = notice->voters;
        is_removed_ =
            is_leaving_ && !advertised_voters_.empty() &&
            std::ranges::find(advertised_voters_, options_.raft.self) ==
                advertised_voters_.end();
        return;
    }
    if (const auto* request = message_in<wire::read_request_msg>(payload))
    {
        receive_read(from, *request);
        return;
    }
    if (const auto* reply = message_in<wire::read_reply_msg>(payload))
    {
        receive_read_reply(*reply);
        return;
    }
    if (message_in<wire::vote_request_msg>(payload) != nullptr &&
        raft_.is_leader())
    {
        // Removed voters of releases before join_targets do not ask to join
        // again, only for votes.
        joining_[from] = now_;
    }
    raft_.receive(from, payload, now);
}

std::size_t routing_voter::target_voter_count() const
{
    return std::size_t{2} * options_.lost_disks + 1;
}

absl::Status routing_voter::check_may_file() const
{
    if (!raft_.is_leader())
    {
        return make_error(
            error_kind::not_leader,
            "this voter is not the leader; ask the leader");
    }
    if (raft_.configuration()->voters.size() < target_voter_count())
    {
        return make_error(
            error_kind::no_quorum,
            "the group is still gathering its voters; try again in a second");
    }
    return absl::OkStatus();
}

absl::StatusOr<std::uint64_t> routing_voter::file_evacuation(
    std::string_view failure_domain, bool active, time_point now)
{
    now_ = now;
    if (absl::Status status = check_may_file(); !status.ok())
    {
        return status;
    }
    if (active && evacuated().size() >= max_evacuated_domains)
    {
        return make_error(
            error_kind::overloaded,
            "too many failure domains are evacuated; end one first");
    }
    const auto index = raft_.propose(
        wire::entry_kind::evacuation,
        routing_register::encode_evacuation(failure_domain, active), now_);
    if (!index.ok())
    {
        return index.status();
    }
    proposed_[*index] = {raft_.term(), {++last_filing_number_}};
    return last_filing_number_;
}

absl::StatusOr<std::uint64_t>
routing_voter::file(const filed_configuration& configuration, time_point now)
{
    now_ = now;
    if (absl::Status status = check_may_file(); !status.ok())
    {
        return status;
    }
    if (queued_filings_.empty() ||
        configuration.version > highest_queued_.version)
    {
        highest_queued_ = configuration;
    }
    queued_filings_.push_back(++last_filing_number_);
    propose_queued();
    return last_filing_number_;
}

void routing_voter::propose_queued()
{
    if (queued_filings_.empty())
    {
        return;
    }
    if (!raft_.is_leader())
    {
        complete_filings(std::exchange(queued_filings_, {}), false);
        return;
    }
    // An entry contains the difference to the state before it, which is known
    // only once the whole log is applied.
    if (now_ < next_proposal_ || applied_index_ != raft_.last_index())
    {
        return;
    }
    const auto index = raft_.propose(
        wire::entry_kind::routing, state_.encode_entry(highest_queued_), now_);
    if (index.ok())
    {
        next_proposal_ = now_ + options_.min_proposal_interval;
        proposed_[*index] = {raft_.term(), std::exchange(queued_filings_, {})};
    }
}

void routing_voter::complete_filings(
    std::span<const std::uint64_t> numbers, bool confirmed)
{
    for (const std::uint64_t number : numbers)
    {
        completed_filings_.push_back({number, confirmed});
    }
}

absl::StatusOr<std::uint64_t> routing_voter::start_read(time_point now)
{
    now_ = now;
    if (raft_.is_leader())
    {
        return raft_.read_index(now);
    }
    const instance_id leader = raft_.leader();
    if (leader == 0 || leader == options_.raft.self)
    {
        return make_error(
            error_kind::not_leader, "no leader is known now; try again");
    }
    const std::uint64_t number = forwarded_read_bit | ++last_forwarded_number_;
    forwarded_reads_[number] = {now, std::nullopt};
    wire::read_request_msg request;
    request.read = number;
    outgoing_.push_back(make_outgoing(leader, request));
    return number;
}

// Only the leader can add an instance. Other voters reply with the list of
// voters, because the seeds of the joining instance need not include the
// leader. The leader replies to a voter that leaves once its removal is
// committed, which the log that it no longer receives can't tell it.
void routing_voter::receive_join(
    instance_id from, const wire::group_join_msg& request)
{
    const voter_list* list = raft_.configuration();
    if (request.leaving)
    {
        joining_.erase(from);
        leaving_[from] = now_;
        if (raft_.may_change_voters() && list->find_voter(from) == nullptr)
        {
            reply_with_voters(from);
        }
        return;
    }
    leaving_.erase(from);
    joining_[from] = now_;
    if (!raft_.is_leader() && list != nullptr)
    {
        reply_with_voters(from);
    }
}

void routing_voter::reply_with_voters(instance_id to)
{
    wire::voter_notice_msg notice;
    notice.voters = raft_.configuration()->instances();
    outgoing_.push_back(make_outgoing(to, std::move(notice)));
}

std::vector<outgoing_message>
routing_voter::membership_requests(std::span<const instance_id> seeds) const
{
    wire::group_join_msg request;
    request.leaving = is_leaving_;
    std::vector<outgoing_message> messages;
    if (is_leaving_)
    {
        const instance_id leader = raft_.leader();
        if (leader != 0 && leader != options_.raft.self)
        {
            messages.push_back(make_outgoing(leader, request));
        }
    }
    else if (wants_to_join())
    {
        for (const instance_id target : join_targets(seeds))
        {
            messages.push_back(make_outgoing(target, request));
        }
    }
    return messages;
}

void routing_voter::leave(time_point now)
{
    now_ = now;
    is_leaving_ = true;
}

bool routing_voter::has_left() const
{
    const voter_list* list = raft_.configuration();
    if (is_removed_ || list == nullptr)
    {
        return true;
    }
    if (list->find_voter(options_.raft.self) == nullptr)
    {
        // A leader ends its leadership when its own removal is committed.
        return !raft_.is_leader();
    }
    return list->voters.size() <= target_voter_count() &&
           list->learners.empty();
}

std::vector<instance_id>
routing_voter::join_targets(std::span<const instance_id> seeds) const
{
    std::vector<instance_id> targets{seeds.begin(), seeds.end()};
    if (const voter_list* list = raft_.configuration())
    {
        std::ranges::copy(list->instances(), std::back_inserter(targets));
    }
    std::ranges::copy(advertised_voters_, std::back_inserter(targets));
    std::ranges::sort(targets);
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    std::erase(targets, options_.raft.self);
    return targets;
}

// The leader sends nothing to an instance that it has removed, so a voter that
// was silent meanwhile can't tell its removal from the loss of the leader.
void routing_voter::check_membership()
{
    if (raft_.leader() != 0)
    {
        leader_known_at_ = now_;
    }
    const bool leaderless = now_ - leader_known_at_ > options_.rejoin_after;
    if (std::exchange(may_be_removed_, leaderless) != leaderless)
    {
        log(log_level::info, subsystem::consensus,
            "membership_doubted leaderless={} term={}", leaderless,
            raft_.term());
    }
}

// Reads of other voters.

void routing_voter::receive_read(
    instance_id from, const wire::read_request_msg& request)
{
    const auto read = raft_.read_index(now_);
    if (read.ok())
    {
        requested_reads_[*read] = {from, request.read};
    }
    else
    {
        reply_to_read(from, request.read, false);
    }
}

void routing_voter::reply_to_read(
    instance_id to, std::uint64_t read, bool confirmed)
{
    wire::read_reply_msg reply;
    reply.read = read;
    reply.status = confirmed ? wire::proposal_status::accepted
                             : wire::proposal_status::not_leader;
    reply.leader = raft_.leader();
    reply.version = confirmed ? state_.current().version : 0;
    outgoing_.push_back(make_outgoing(to, reply));
}

void routing_voter::receive_read_reply(const wire::read_reply_msg& reply)
{
    const auto known = forwarded_reads_.find(reply.read);
    if (known == forwarded_reads_.end())
    {
        return;
    }
    if (reply.status == wire::proposal_status::accepted)
    {
        known->second.version = reply.version;
        return;
    }
    completed_reads_.push_back({reply.read, false});
    forwarded_reads_.erase(known);
}

// Completes the reads that are confirmed or have expired.
void routing_voter::finish_reads()
{
    for (const read_outcome& read : raft_.take_read_outcomes())
    {
        const auto requested = requested_reads_.extract(read.read);
        if (requested.empty())
        {
            completed_reads_.push_back({read.read, read.confirmed});
        }
        else
        {
            reply_to_read(
                requested.mapped().from, requested.mapped().read,
                read.confirmed);
        }
    }
    std::erase_if(
        forwarded_reads_,
        [this](const auto& item)
        {
            const auto& [number, read] = item;
            const bool confirmed =
                read.version && *read.version <= state_.current().version;
            const bool expired = now_ - read.since > options_.read_expiry;
            if (confirmed || expired)
            {
                completed_reads_.push_back({number, confirmed});
            }
            return confirmed || expired;
        });
}

absl::Status routing_voter::flush()
{
    if (raft_.is_leader() && raft_.term() != led_term_)
    {
        led_term_ = raft_.term();
        first_led_index_ = raft_.last_index();
        leads_since_ = now_;
    }
    absl::Status written = writer_.write(raft_, now_);
    if (absl::Status status = apply_committed(); !status.ok())
    {
        return status;
    }
    if (written.ok() && applied_index_ >= raft_.snapshot_index() +
                                              options_.entries_per_snapshot)
    {
        raft_.compact(applied_index_, state_.snapshot());
    }
    return written;
}

absl::Status routing_voter::apply_committed()
{
    if (!state_status_.ok())
    {
        return state_status_;
    }
    const committed_batch batch = raft_.take_committed();
    if (batch.snapshot)
    {
        state_status_ = state_.restore(batch.snapshot->data);
        applied_index_ = batch.snapshot->index;
        // The outcome of filings that the snapshot covers is unknown.
        while (!proposed_.empty() && proposed_.begin()->first <= applied_index_)
        {
            complete_filings(proposed_.begin()->second.numbers, false);
            proposed_.erase(proposed_.begin());
        }
    }
    for (const wire::log_entry_msg& entry : batch.entries)
    {
        if (!state_status_.ok())
        {
            break;
        }
        applied_index_ = entry.index;
        if (entry.kind == wire::entry_kind::routing)
        {
            const auto changed = state_.apply(entry.data);
            state_status_ = changed.status();
        }
        else if (entry.kind == wire::entry_kind::evacuation)
        {
            state_status_ = state_.apply_evacuation(entry.data);
        }
        const auto proposed = proposed_.extract(entry.index);
        if (!proposed.empty())
        {
            // An entry of another leader may have replaced this one.
            complete_filings(
                proposed.mapped().numbers,
                proposed.mapped().term == entry.term);
        }
    }
    finish_reads();
    if (!state_status_.ok())
    {
        log(log_level::error, subsystem::consensus,
            "log_unusable index={} error=\"{}\"", applied_index_,
            std::string{state_status_.message()});
    }
    return state_status_;
}

std::vector<outgoing_message> routing_voter::take_outgoing()
{
    std::vector<outgoing_message> messages = raft_.take_outgoing();
    std::ranges::move(outgoing_, std::back_inserter(messages));
    outgoing_.clear();
    return messages;
}

std::vector<store_outcome> routing_voter::take_filings()
{
    return std::exchange(completed_filings_, {});
}

std::vector<store_outcome> routing_voter::take_read_outcomes()
{
    return std::exchange(completed_reads_, {});
}

// Membership.

bool routing_voter::is_silent(instance_id instance, duration limit) const
{
    const auto contact = raft_.last_contact(instance);
    return contact && now_ - *contact > limit;
}

// Whether the voter has asked to leave or no longer replies. The previous
// leader gets the length of an election timeout to reply to this one.
bool routing_voter::departs(instance_id instance) const
{
    return leaving_.contains(instance) ||
           (is_silent(instance, options_.replace_after) &&
            now_ - leads_since_ > options_.raft.election_timeout);
}

void routing_voter::reconcile_group()
{
    if (!raft_.may_change_voters() || applied_index_ != raft_.commit_index())
    {
        return;
    }
    const auto next = next_voter_list();
    if (!next || !raft_.hears_quorum_of_change(*next))
    {
        return;
    }
    const absl::Status status = raft_.propose_voters(*next, now_);
    log(status.ok() ? log_level::info : log_level::warning,
        subsystem::consensus,
        "group_change voters={} learners={} half_quorums={} outcome={}",
        next->voters.size(), next->learners.size(), next->half_quorums,
        status.ok() ? "proposed" : "refused");
}

// Whether all voters of the list support half quorums. A voter that has not
// replied in this term is taken at the word of the list in use.
bool routing_voter::supports_half_quorums(const voter_list& next) const
{
    const voter_list& list = *raft_.configuration();
    return std::ranges::all_of(
        next.voters,
        [&](const voter_identity& voter)
        {
            const bool is_listed =
                list.half_quorums && list.has_voter(voter.instance, voter.disk);
            return raft_.supports_half_quorums(voter).value_or(is_listed);
        });
}

// Returns the next change of the group. A voter that counts quorums by another
// rule is added only after the list has given up half quorums.
std::optional<voter_list> routing_voter::next_voter_list() const
{
    const voter_list& list = *raft_.configuration();
    const auto next = next_membership();
    const bool supported = supports_half_quorums(next ? *next : list);
    if (list.half_quorums && !supported)
    {
        return list.with_half_quorums(false);
    }
    if (next)
    {
        return next->with_half_quorums(supported);
    }
    if (supported && !list.half_quorums)
    {
        return list.with_half_quorums(true);
    }
    return std::nullopt;
}

// A voter that lost its disk votes again once the new disk has all committed
// entries.
std::optional<voter_list> routing_voter::list_with_new_disk() const
{
    const voter_list& list = *raft_.configuration();
    for (const voter_identity& voter : list.voters)
    {
        const voter_identity renewed{
            voter.instance, raft_.disk_of(voter.instance)};
        if (renewed.disk != 0 && renewed.disk != voter.disk &&
            raft_.is_caught_up(voter.instance) &&
            raft_.supports_half_quorums(renewed).has_value())
        {
            return list.with_voter(renewed);
        }
    }
    return std::nullopt;
}

// Returns the next membership change towards the target group, if one is
// possible now.
std::optional<voter_list> routing_voter::next_membership() const
{
    const voter_list& list = *raft_.configuration();
    if (auto renewed = list_with_new_disk())
    {
        return renewed;
    }
    const auto departing = std::ranges::find_if(
        list.voters, [this](const voter_identity& voter)
        { return departs(voter.instance); });
    const bool voter_departs = departing != list.voters.end();
    if (voter_departs && list.voters.size() > target_voter_count())
    {
        return list.without(departing->instance);
    }
    if (auto grown = list_with_next_learner(voter_departs))
    {
        return grown;
    }
    for (const instance_id learner : list.learners)
    {
        if (is_silent(learner, options_.learner_expiry) &&
            !joining_.contains(learner))
        {
            return list.without(learner);
        }
    }
    for (const auto& [instance, asked] : joining_)
    {
        if (list.find_voter(instance) == nullptr && !list.has_learner(instance))
        {
            return list.with_learner(instance);
        }
    }
    return std::nullopt;
}

// Gives a learner that holds all committed entries a vote: while the group is
// too small, in place of a voter that departs, which is removed next, or as an
// extra voter.
std::optional<voter_list>
routing_voter::list_with_next_learner(bool voter_departs) const
{
    const voter_list& list = *raft_.configuration();
    const bool needs_voter =
        list.voters.size() < target_voter_count() || voter_departs;
    for (const instance_id learner : list.learners)
    {
        if (!leaving_.contains(learner) &&
            !is_silent(learner, options_.raft.election_timeout) &&
            raft_.is_caught_up(learner) &&
            raft_.supports_half_quorums({learner, raft_.disk_of(learner)})
                .has_value() &&
            (needs_voter || may_add_extra_voter(learner)))
        {
            return list.with_voter({learner, raft_.disk_of(learner)});
        }
    }
    return std::nullopt;
}

bool routing_voter::may_add_extra_voter(instance_id learner) const
{
    std::vector<instance_id> voters = raft_.configuration()->instances();
    voters.push_back(learner);
    if (voters.size() > target_voter_count() + options_.lost_disks)
    {
        return false;
    }
    if (!options_.survives_domain_loss)
    {
        return true;
    }
    std::map<std::uint64_t, std::size_t> voters_by_domain;
    for (const instance_id voter : voters)
    {
        ++voters_by_domain[raft_.failure_domain_of(voter)];
    }
    // Voters that have not stated a domain may all share one.
    return std::ranges::all_of(
        voters_by_domain,
        [&](const auto& item) { return 2 * item.second < voters.size(); });
}

} // namespace hickorygap
