#include "process/gateway/permit_client.hpp"

#include "common/logging.hpp"
#include "process/fleet_process/limit_messages.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

// Time in which a leader answers, also one whose processor is busy.
constexpr duration answer_timeout = std::chrono::milliseconds{60};

// Interval at which a leader that has not answered is asked again.
constexpr duration trial_interval = std::chrono::milliseconds{300};

} // namespace

permit_client::permit_client(event_loop& loop, std::uint64_t seed)
    : loop_{loop}
    , limits_{seed}
{
}

permit_client::~permit_client()
{
    for (auto& [number, item] : queries_)
    {
        loop_.cancel(item.timer);
    }
}

void permit_client::set_send(send_function send)
{
    send_ = std::move(send);
}

bool permit_client::on_response(const backend_limit& limit)
{
    if (!limits_.on_response(limit))
    {
        return false;
    }
    send(0);
    return true;
}

// Sends what was observed, and the query if the number is not zero.
bool permit_client::send(std::uint32_t number)
{
    return send_ && send_(
                        [&](bool is_informed)
                        {
                            wire::permit_request_msg request;
                            request.number = number;
                            request.table_version = limits_.table_version();
                            request.observed = encode_limits(
                                is_informed ? limits_.take_observed()
                                            : limits_.take_all());
                            if (number != 0)
                            {
                                request.candidates =
                                    queries_.at(number).candidates;
                            }
                            return request;
                        });
}

bool permit_client::is_leader_silent() const
{
    return timed_out_ && loop_.now() < next_trial_;
}

std::optional<backend_server_id>
permit_client::take_own_permit(std::span<const backend_server_id> candidates)
{
    for (const backend_server_id backend : candidates)
    {
        if (limits_.take_own_permit(backend, loop_.now()))
        {
            return backend;
        }
    }
    return std::nullopt;
}

std::uint32_t permit_client::ask(
    std::span<const backend_server_id> candidates, answer_function on_answer)
{
    const std::uint32_t number = ++last_number_;
    query& item = queries_[number];
    item.candidates.assign(candidates.begin(), candidates.end());
    item.on_answer = std::move(on_answer);
    if (is_leader_silent() || !send(number))
    {
        item.timer = loop_.after(
            duration{0}, [this, number] { answer_from_own_share(number); });
        return number;
    }
    next_trial_ = loop_.now() + trial_interval;
    item.timer = loop_.after(
        answer_timeout,
        [this, number]
        {
            if (!std::exchange(timed_out_, true))
            {
                log(log_level::warning, subsystem::routing,
                    "permit_not_answered");
            }
            answer_from_own_share(number);
        });
    return number;
}

void permit_client::answer_from_own_share(std::uint32_t number)
{
    auto item = queries_.extract(number);
    item.mapped().on_answer(take_own_permit(item.mapped().candidates));
}

void permit_client::cancel(std::uint32_t number)
{
    const auto found = queries_.find(number);
    if (found != queries_.end())
    {
        loop_.cancel(found->second.timer);
        queries_.erase(found);
    }
}

void permit_client::on_grant(const wire::permit_grant_msg& grant)
{
    if (grant.has_limits)
    {
        limits_.on_table({grant.table_version, decode_limits(grant.limits)});
    }
    if (grant.number == 0)
    {
        return;
    }
    timed_out_ = false;
    auto item = queries_.extract(grant.number);
    if (item.empty())
    {
        return;
    }
    loop_.cancel(item.mapped().timer);
    item.mapped().on_answer(
        grant.backend == 0 ? std::nullopt : std::optional{grant.backend});
}

} // namespace hickorygap
