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

// Queries of the whole fleet that the leader denies. It answers 2,000 a second
// at most with the processor share of the smallest voters.
constexpr double max_denials_per_second = 500;

// Interval at which a leader that has not answered is asked again.
constexpr duration trial_interval = std::chrono::milliseconds{300};

} // namespace

permit_client::permit_client(event_loop& loop, std::uint64_t seed)
    : loop_{loop}
    , limits_{seed}
    , queries_{loop}
{
}

void permit_client::set_send(send_function send)
{
    send_ = std::move(send);
}

bool permit_client::on_response(const backend_limit& limit)
{
    const bool is_change = limits_.on_response(limit, loop_.now());
    if (is_change || limit.rejections > 0)
    {
        send(0, {});
    }
    return is_change;
}

// Sends what was observed, and the query if the number is not zero.
bool permit_client::send(std::uint32_t number, const permit_request& request)
{
    const permit_query query = limits_.make_query(request);
    if (!send_ || !send_(make_payload(encode_query(query, number))))
    {
        return false;
    }
    limits_.on_reported();
    return true;
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

// Nothing for requests that may go to few servers: another one may be
// permitted.
std::optional<permit_client::denied_kind>
permit_client::kind_of(const permit_request& request) const
{
    if (!request.others_too || !request.excluded.empty())
    {
        return std::nullopt;
    }
    return denied_kind{
        request.service, request.software_version, request.rank_below_first};
}

bool permit_client::is_denied(const std::optional<denied_kind>& kind) const
{
    const auto found = kind ? denied_until_.find(*kind) : denied_until_.end();
    return found != denied_until_.end() && loop_.now() < found->second;
}

void permit_client::on_result(
    const std::optional<denied_kind>& kind, bool is_permitted)
{
    if (kind && !is_permitted)
    {
        const std::chrono::duration<double> interval{
            limits_.routers() / max_denials_per_second};
        denied_until_[*kind] =
            loop_.now() + std::chrono::duration_cast<duration>(interval);
    }
}

std::uint32_t permit_client::ask(
    const permit_request& request, open_queries::result_function on_result)
{
    const auto kind = kind_of(request);
    const bool is_denied_here = is_denied(kind);
    const std::uint32_t number = queries_.add(
        [this, kind, is_denied_here, on_result = std::move(on_result)](
            std::optional<backend_server_id> permitted)
        {
            if (!is_denied_here)
            {
                this->on_result(kind, permitted.has_value());
            }
            on_result(permitted);
        });
    const bool is_sent =
        !is_denied_here && !is_leader_silent() && send(number, request);
    if (is_sent)
    {
        next_trial_ = loop_.now() + trial_interval;
    }
    queries_.set_timeout(
        number, is_sent ? answer_timeout : duration{0},
        [this, number, is_sent, is_denied_here, candidates = request.candidates]
        {
            if (is_sent && !std::exchange(timed_out_, true))
            {
                log(log_level::warning, subsystem::routing,
                    "permit_not_answered");
            }
            queries_.finish(
                number,
                is_denied_here ? std::nullopt : take_own_permit(candidates));
        });
    return number;
}

void permit_client::cancel(std::uint32_t number)
{
    queries_.cancel(number);
}

void permit_client::on_grant(const wire::permit_grant_msg& grant)
{
    limits_.on_changes(decode_changes(grant), loop_.now());
    // A router that was paused reads answers before it runs its timers. Their
    // permits may be seconds old, and others were given since.
    if (grant.number == 0 || queries_.is_overdue(grant.number))
    {
        return;
    }
    timed_out_ = false;
    queries_.finish(
        grant.number,
        grant.backend == 0 ? std::nullopt : std::optional{grant.backend});
}

} // namespace hickorygap
