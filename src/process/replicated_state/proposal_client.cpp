#include "process/replicated_state/proposal_client.hpp"

#include "common/random.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Whether no other copy of the proposal can get a different answer later.
// Answers from committed state hold for all copies. A refusal for a transient
// reason holds only for the copy that it answers.
bool is_final_answer(wire::proposal_status status, std::uint32_t copies)
{
    const bool is_transient_refusal =
        status == wire::proposal_status::invalid ||
        status == wire::proposal_status::unavailable ||
        status == wire::proposal_status::no_quorum;
    return !is_transient_refusal || copies <= 1;
}

} // namespace

proposal_client::proposal_client(proposal_client_options options)
    : options_{std::move(options)}
    , last_number_{random_engine{options_.seed}()}
{
}

void proposal_client::set_voters(std::vector<instance_id> voters)
{
    options_.voters = std::move(voters);
}

std::uint64_t proposal_client::propose(
    wire::entry_kind kind, std::vector<std::uint8_t> data, time_point now,
    time_point deadline)
{
    open_proposal opened;
    opened.kind = kind;
    opened.data = std::move(data);
    opened.deadline = deadline;
    return start(std::move(opened), now);
}

std::uint64_t proposal_client::read(time_point now, time_point deadline)
{
    open_proposal opened;
    opened.is_read = true;
    opened.deadline = deadline;
    return start(std::move(opened), now);
}

std::uint64_t proposal_client::start(open_proposal opened, time_point now)
{
    const std::uint64_t number = ++last_number_;
    open_proposal& added = open_[number] = std::move(opened);
    send(number, added, now);
    return number;
}

instance_id proposal_client::next_target()
{
    if (leader_ != 0)
    {
        return leader_;
    }
    if (options_.voters.empty())
    {
        return 0;
    }
    next_voter_ = (next_voter_ + 1) % options_.voters.size();
    return options_.voters[next_voter_];
}

void proposal_client::send(
    std::uint64_t number, open_proposal& opened, time_point now)
{
    opened.next_send = now + options_.resend_interval;
    const instance_id target = next_target();
    if (target == 0)
    {
        return;
    }
    ++opened.copies_sent;
    opened.awaited_voter = target;
    if (opened.is_read)
    {
        wire::read_request_msg request;
        request.read = number;
        outgoing_.push_back(make_outgoing(target, request));
        return;
    }
    wire::propose_msg request;
    request.proposal = number;
    request.kind = opened.kind;
    request.data = opened.data;
    outgoing_.push_back(make_outgoing(target, std::move(request)));
}

void proposal_client::receive(
    instance_id from, const wire::payloadUnion& payload, time_point now)
{
    proposal_result result;
    instance_id hint = 0;
    if (const auto* reply = message_in<wire::propose_reply_msg>(payload))
    {
        result.proposal = reply->proposal;
        result.status = reply->status;
        result.version = reply->version;
        result.accepted = reply->accepted_unix_ms;
        result.detail = reply->detail;
        result.recorded = reply->recorded;
        hint = reply->leader;
    }
    else if (const auto* read = message_in<wire::read_reply_msg>(payload))
    {
        result.proposal = read->read;
        result.status = read->status;
        result.version = read->version;
        hint = read->leader;
    }
    else
    {
        return;
    }
    const auto opened = open_.find(result.proposal);
    if (opened == open_.end())
    {
        return;
    }
    if (result.status == wire::proposal_status::not_leader)
    {
        follow_leader_hint(result.proposal, from, hint, now);
        return;
    }
    leader_ = from;
    result.is_final =
        is_final_answer(result.status, opened->second.copies_sent);
    open_.erase(opened);
    results_.push_back(std::move(result));
}

void proposal_client::follow_leader_hint(
    std::uint64_t number, instance_id from, instance_id hint, time_point now)
{
    open_proposal& opened = open_.at(number);
    opened.awaited_voter = 0;
    leader_ = hint == from ? 0 : hint;
    if (leader_ != 0 && !opened.followed_leader_hint)
    {
        opened.followed_leader_hint = true;
        send(number, opened, now);
        return;
    }
    opened.next_send =
        std::min(opened.next_send, now + options_.no_leader_retry_delay);
}

void proposal_client::tick(time_point now)
{
    for (auto item = open_.begin(); item != open_.end();)
    {
        auto& [number, opened] = *item;
        if (now >= opened.deadline)
        {
            proposal_result result;
            result.proposal = number;
            result.is_final = opened.is_read || opened.copies_sent == 0;
            result.detail =
                result.is_final
                    ? "no leader answered; try again when a majority of "
                      "voters is up"
                    : "no leader answered and the outcome is unknown; send "
                      "the same content again, which gets the same answer";
            results_.push_back(std::move(result));
            item = open_.erase(item);
            continue;
        }
        if (now >= opened.next_send)
        {
            if (opened.awaited_voter == leader_)
            {
                // The last known leader did not answer in time.
                leader_ = 0;
            }
            opened.followed_leader_hint = false;
            send(number, opened, now);
        }
        ++item;
    }
}

std::vector<outgoing_message> proposal_client::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

std::vector<proposal_result> proposal_client::take_results()
{
    return std::exchange(results_, {});
}

} // namespace hickorygap
