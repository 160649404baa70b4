#include "process/replicated_state/call_records.hpp"

#include <fmt/format.h>

#include <utility>

namespace hickorygap
{

namespace
{

call_key key_of(const wire::call_intent_msg& intent)
{
    return {intent.organisation, intent.service, intent.key};
}

call_key key_of(const wire::call_outcome_msg& outcome)
{
    return {outcome.organisation, outcome.service, outcome.key};
}

apply_result make_result(wire::proposal_status status, std::string detail = {})
{
    apply_result result;
    result.status = status;
    result.detail = std::move(detail);
    return result;
}

bool is_same_request(
    const wire::call_intent_msg& left, const wire::call_intent_msg& right)
{
    return left.entry_instance == right.entry_instance &&
           left.entry_incarnation == right.entry_incarnation &&
           left.request == right.request;
}

bool is_same_response(
    const wire::call_outcome_msg& left, const wire::call_outcome_msg& right)
{
    return left.http_status == right.http_status &&
           left.content_type == right.content_type && left.body == right.body;
}

} // namespace

call_records::call_records(call_record_options options)
    : options_{options}
{
}

std::optional<apply_result>
call_records::answer(const wire::call_intent_msg& intent) const
{
    const auto found = records_.find(key_of(intent));
    if (found == records_.end())
    {
        return std::nullopt;
    }
    const record& known = found->second;
    if (known.released)
    {
        if (known.intent.request != intent.request)
        {
            return std::nullopt;
        }
        // A delayed copy of the intent must not claim the key again.
        return make_result(
            wire::proposal_status::expired,
            "this request gave the call up; send a new request");
    }
    if (known.intent.request_digest != intent.request_digest)
    {
        return make_result(
            wire::proposal_status::body_mismatch,
            "the idempotency key was used for another request; use a new key");
    }
    if (!known.outcome && is_same_request(known.intent, intent))
    {
        return make_result(wire::proposal_status::accepted);
    }
    return result_of(known);
}

apply_result call_records::result_of(const record& known) const
{
    if (!known.outcome)
    {
        return make_result(
            wire::proposal_status::running,
            "the call is running; try again later with the same key");
    }
    if (!known.outcome->known)
    {
        return make_result(
            wire::proposal_status::outcome_unknown,
            "the call may have run and its outcome is unknown; it is not run "
            "again, check its effect before using a new key");
    }
    if (known.outcome->body_omitted)
    {
        return make_result(
            wire::proposal_status::outcome_unknown,
            fmt::format(
                "the call ended with HTTP status {}, but its response was "
                "over {} bytes and was not kept; it is not run again",
                known.outcome->http_status, options_.max_body_bytes));
    }
    apply_result result = make_result(wire::proposal_status::recorded);
    result.recorded = encode_table<wire::call_outcome>(*known.outcome);
    return result;
}

apply_result
call_records::add_intent(wire::call_intent_msg intent, unix_millis now)
{
    expire(now);
    close_calls_of_older_incarnations(intent);
    if (auto known = answer(intent))
    {
        return *std::move(known);
    }
    intent.created_unix_ms = now;
    record added;
    added.intent = std::move(intent);
    call_key key = key_of(added.intent);
    insert(std::move(key), std::move(added));
    return make_result(wire::proposal_status::accepted);
}

void call_records::insert(call_key key, record added)
{
    added.sequence = ++last_sequence_;
    keys_by_sequence_[added.sequence] = key;
    const auto [item, is_new] = records_.try_emplace(std::move(key));
    if (!is_new)
    {
        keys_by_sequence_.erase(item->second.sequence);
    }
    item->second = std::move(added);
    const record& stored = item->second;
    if (!stored.outcome && !stored.released)
    {
        open_keys_[{stored.intent.entry_instance,
                    stored.intent.entry_incarnation}]
            .insert(item->first);
    }
}

void call_records::erase_open_call(const record& known)
{
    const auto process = open_keys_.find(
        {known.intent.entry_instance, known.intent.entry_incarnation});
    if (process == open_keys_.end())
    {
        return;
    }
    process->second.erase(key_of(known.intent));
    if (process->second.empty())
    {
        open_keys_.erase(process);
    }
}

void call_records::set_outcome(record& known, wire::call_outcome_msg outcome)
{
    known.outcome = std::move(outcome);
    erase_open_call(known);
}

// An intent of a restarted process implies that the open calls of its earlier
// incarnations have ended without an outcome.
void call_records::close_calls_of_older_incarnations(
    const wire::call_intent_msg& intent)
{
    const auto first = open_keys_.lower_bound({intent.entry_instance, 0});
    const auto last = open_keys_.lower_bound(
        {intent.entry_instance, intent.entry_incarnation});
    std::vector<call_key> ended;
    for (auto process = first; process != last; ++process)
    {
        ended.insert(
            ended.end(), process->second.begin(), process->second.end());
    }
    for (const call_key& key : ended)
    {
        wire::call_outcome_msg outcome;
        outcome.organisation = key.organisation;
        outcome.service = key.service;
        outcome.key = key.key;
        set_outcome(records_.at(key), std::move(outcome));
    }
}

apply_result
call_records::add_outcome(wire::call_outcome_msg outcome, unix_millis now)
{
    expire(now);
    const auto found = records_.find(key_of(outcome));
    if (found == records_.end() && outcome.not_run && outcome.request != 0)
    {
        // The intent may still be in transit. It must not claim the key when it
        // arrives, because its request has given up.
        record released;
        released.intent.organisation = outcome.organisation;
        released.intent.service = outcome.service;
        released.intent.key = outcome.key;
        released.intent.request = outcome.request;
        released.intent.created_unix_ms = now;
        released.released = true;
        insert(key_of(outcome), std::move(released));
        return make_result(wire::proposal_status::accepted);
    }
    if (found == records_.end())
    {
        return make_result(
            wire::proposal_status::expired,
            "no intent of this call is known any more; nothing was recorded");
    }
    record& known = found->second;
    const bool from_runner = outcome.request == known.intent.request;
    if (outcome.request != 0 && !from_runner)
    {
        return make_result(
            wire::proposal_status::invalid,
            "the outcome belongs to another request; nothing was recorded");
    }
    if (outcome.not_run)
    {
        if (outcome.request == 0 || known.outcome)
        {
            return make_result(
                wire::proposal_status::conflict,
                "the call has an outcome and can't be declared as not run");
        }
        known.released = true;
        erase_open_call(known);
        return make_result(wire::proposal_status::accepted);
    }
    if (known.released)
    {
        return make_result(
            wire::proposal_status::conflict,
            "the call was declared as not run; nothing was recorded");
    }
    if (known.outcome && known.outcome->known)
    {
        const bool same = !outcome.known || known.outcome->body_omitted ||
                          is_same_response(*known.outcome, outcome);
        return same ? make_result(wire::proposal_status::accepted)
                    : make_result(
                          wire::proposal_status::conflict,
                          "another outcome is recorded for this call");
    }
    if (outcome.body.size() > options_.max_body_bytes)
    {
        outcome.body.clear();
        outcome.body.shrink_to_fit();
        outcome.body_omitted = true;
    }
    set_outcome(known, std::move(outcome));
    return make_result(wire::proposal_status::accepted);
}

void call_records::expire(unix_millis now)
{
    while (!keys_by_sequence_.empty())
    {
        const auto oldest = records_.find(keys_by_sequence_.begin()->second);
        if (oldest->second.intent.created_unix_ms + options_.window > now)
        {
            return;
        }
        erase_open_call(oldest->second);
        records_.erase(oldest);
        keys_by_sequence_.erase(keys_by_sequence_.begin());
    }
}

std::vector<open_call> call_records::open_calls() const
{
    std::vector<open_call> open;
    for (const auto& [process, keys] : open_keys_)
    {
        for (const call_key& key : keys)
        {
            open.push_back(
                {key, process.first, process.second,
                 records_.at(key).intent.request});
        }
    }
    return open;
}

void call_records::save(wire::state_snapshot_msg& snapshot) const
{
    for (const auto& [sequence, key] : keys_by_sequence_)
    {
        const record& known = records_.at(key);
        auto item = std::make_unique<wire::call_record_msg>();
        item->intent = std::make_unique<wire::call_intent_msg>(known.intent);
        if (known.outcome)
        {
            item->outcome =
                std::make_unique<wire::call_outcome_msg>(*known.outcome);
        }
        item->released = known.released;
        snapshot.calls.push_back(std::move(item));
    }
}

void call_records::restore(const wire::state_snapshot_msg& snapshot)
{
    records_.clear();
    keys_by_sequence_.clear();
    open_keys_.clear();
    for (const auto& item : snapshot.calls)
    {
        if (!item->intent)
        {
            continue;
        }
        record added;
        added.intent = *item->intent;
        if (item->outcome)
        {
            added.outcome = *item->outcome;
        }
        added.released = item->released;
        call_key key = key_of(added.intent);
        insert(std::move(key), std::move(added));
    }
}

} // namespace hickorygap
