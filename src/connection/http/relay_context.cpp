#include "connection/http/relay_context.hpp"

#include "connection/http/backend_exchange.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

// Minimum Retry-After of a placement refusal.
constexpr duration default_retry_after = std::chrono::seconds{1};

} // namespace

relay_context::relay_context(
    control_client& control, shared_blame_tracker& blame,
    relay_counters& counters, const relay_options& options)
    : control_(control)
    , blame_(blame)
    , counters_(counters)
    , options_(options)
    , budget_(options.retries)
{
}

void relay_context::refuse(caller_channel& caller, const refusal& reason)
{
    counters_.count_refusal(reason.kind);
    caller.refuse(reason);
}

bool relay_context::try_take_retry(service_id service)
{
    const std::lock_guard lock{mutex_};
    if (!budget_.try_take(service, boot_now()))
    {
        return false;
    }
    ++counters_.retries;
    return true;
}

void relay_context::on_success(service_id service)
{
    ++counters_.completed;
    const std::lock_guard lock{mutex_};
    budget_.on_success(service, boot_now());
}

std::optional<refusal>
relay_context::quarantine_refusal(request_fingerprint fingerprint)
{
    const unix_millis now = unix_now();
    const unix_millis until =
        blame_.with([&](blame_tracker& tracker)
                    { return tracker.quarantined_until(fingerprint); });
    const duration local =
        until > now ? std::chrono::milliseconds{until - now} : duration::zero();
    const duration remaining =
        std::max(local, control_.quarantined_for(fingerprint));
    if (remaining <= duration::zero())
    {
        return std::nullopt;
    }
    return refusal{
        error_kind::quarantined,
        "this request has crashed two backend servers; change its content or "
        "wait until the quarantine ends",
        true, remaining};
}

bool relay_context::is_dead(const backend_server& server) const
{
    backend_exchange check{nullptr};
    check.set_deadline(boot_now() + options_.health_timeout);
    if (!check.connect(server.host, server.port, options_.health_timeout))
    {
        return check.failure_reason() == cancellable_socket::failure::refused;
    }
    backend_request outgoing;
    outgoing.path = "/load";
    return !check.send(outgoing) &&
           check.failure_reason() == cancellable_socket::failure::closed;
}

placement_query
relay_context::make_query(const relayed_request& request, std::uint8_t attempt)
{
    placement_query query;
    query.request = request.id;
    query.attempt = attempt;
    query.service = request.target->id;
    query.chat = request.chat;
    query.organisation = request.caller->id;
    query.request_rank = request.request_rank;
    query.expected_cost = request.expected_cost;
    query.deadline = request.deadline;
    query.fingerprint = request.fingerprint;
    query.isolated = blame_.with(
        [&](blame_tracker& tracker)
        { return tracker.must_isolate(request.fingerprint, unix_now()); });
    return query;
}

refusal placement_refusal_response(const placement_refusal& refused)
{
    refusal reason;
    reason.retry_after =
        std::max(refused.retry_after, duration{default_retry_after});
    switch (refused.reason)
    {
    case wire::refusal_reason::overloaded:
        reason.kind = error_kind::overloaded;
        reason.message = "the service has more work than it can do in time; "
                         "retry after the stated time";
        break;
    case wire::refusal_reason::deadline:
        reason.kind = error_kind::deadline_exceeded;
        reason.message = "no backend server became free in time; retry after "
                         "the stated time";
        break;
    case wire::refusal_reason::quarantined:
        reason.kind = error_kind::quarantined;
        reason.message =
            "this request has crashed two backend servers; change its content "
            "or wait until the quarantine ends";
        break;
    case wire::refusal_reason::cut_off:
        reason.kind = error_kind::cut_off;
        reason.message = "this instance can't reach the rest of the fleet; "
                         "retry through another instance";
        break;
    case wire::refusal_reason::draining:
        reason.kind = error_kind::draining;
        reason.message = "this instance is shutting down; retry through "
                         "another instance";
        break;
    default:
        reason.kind = error_kind::no_backend_server;
        reason.message = "no backend server of this service can be reached; "
                         "retry after the stated time";
        break;
    }
    return reason;
}

} // namespace hickorygap
