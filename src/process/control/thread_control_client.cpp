#include "process/control/thread_control_client.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

// How often a traffic thread that waits for a placement checks whether its
// caller has disconnected.
constexpr duration cancel_check_interval = std::chrono::milliseconds{100};

// Time for the outcome of a call to reach the voters' log. The caller's answer
// is final but is held back until then, so that a retry finds it recorded.
constexpr duration outcome_timeout = std::chrono::seconds{5};

// Time for the release of an intent that may still be committed after its
// caller was told that the call was not run. Long, because the voters may be
// without a quorum for a while.
constexpr duration release_timeout = std::chrono::minutes{5};

// Bounds how long a non-repeatable call occupies a traffic thread while the
// voters have no quorum.
constexpr duration intent_timeout = std::chrono::seconds{5};

wire::call_outcome_msg
make_outcome(const idempotent_call& call, const recorded_response* response)
{
    wire::call_outcome_msg outcome;
    outcome.organisation = call.organisation;
    outcome.service = call.service;
    outcome.key = call.key;
    outcome.request = call.request;
    outcome.known = response != nullptr;
    outcome.ended_unix_ms = unix_now();
    if (response != nullptr)
    {
        outcome.http_status = response->http_status;
        outcome.content_type = response->content_type;
        outcome.body.assign(response->body.begin(), response->body.end());
    }
    return outcome;
}

absl::StatusOr<call_permission> make_recorded(const proposal_result& result)
{
    const auto outcome = decode_table<wire::call_outcome>(result.recorded);
    if (!outcome.ok())
    {
        return outcome.status();
    }
    call_permission permission;
    permission.recorded.http_status = outcome->http_status;
    permission.recorded.content_type = outcome->content_type;
    permission.recorded.body.assign(outcome->body.begin(), outcome->body.end());
    return permission;
}

absl::StatusOr<call_permission> make_permission(const proposal_result& result)
{
    switch (result.status)
    {
    case wire::proposal_status::accepted:
    {
        call_permission permission;
        permission.run = true;
        return permission;
    }
    case wire::proposal_status::recorded:
        return make_recorded(result);
    case wire::proposal_status::running:
        return make_error(error_kind::call_running, result.detail);
    case wire::proposal_status::outcome_unknown:
        return make_error(error_kind::outcome_unknown, result.detail);
    case wire::proposal_status::body_mismatch:
        return make_error(error_kind::idempotency_key_reused, result.detail);
    case wire::proposal_status::expired:
        return make_error(error_kind::idempotency_key_expired, result.detail);
    case wire::proposal_status::invalid:
        return make_error(error_kind::invalid_request, result.detail);
    default:
        return make_error(
            error_kind::no_quorum,
            "the voters can't record the call now, so it was not run; send it "
            "again later with the same key");
    }
}

} // namespace

thread_control_client::thread_control_client(
    control_thread& control, shared_blame_tracker& blame,
    incarnation_number incarnation, instance_id self)
    : control_(control)
    , blame_(blame)
    , incarnation_(incarnation)
    , self_(self)
{
}

configuration_ptr thread_control_client::current_configuration() const
{
    return control_.current_configuration();
}

readiness thread_control_client::current_readiness() const
{
    return control_.current_readiness();
}

placement_decision thread_control_client::place(
    const placement_query& query, const cancel_check& cancelled)
{
    const auto pending = control_.submit(query);
    bool withdrawn = false;
    while (true)
    {
        if (auto decision = pending->wait_for(cancel_check_interval))
        {
            report_refusal(query, *decision);
            return *decision;
        }
        if (!withdrawn && cancelled())
        {
            withdrawn = true;
            control_.post(
                [query](control_node& node, const clock_reading& now) {
                    node.placement().withdraw(
                        query.request, query.attempt, now.monotonic);
                });
        }
    }
}

void thread_control_client::report_refusal(
    const placement_query& query, const placement_decision& decision)
{
    const auto* refusal = std::get_if<placement_refusal>(&decision);
    if (refusal != nullptr && refusal_observer_ &&
        refusal->reason != wire::refusal_reason::withdrawn)
    {
        refusal_observer_(query);
    }
}

void thread_control_client::finish(const attempt_report& report)
{
    control_.post([report](control_node& node, const clock_reading& now)
                  { node.placement().finish(report, now.monotonic); });
    if (report_observer_)
    {
        report_observer_(report);
    }
}

wire::call_intent_msg
thread_control_client::make_intent(const idempotent_call& call)
{
    wire::call_intent_msg intent;
    intent.organisation = call.organisation;
    intent.service = call.service;
    intent.key = call.key;
    intent.request_digest.assign(
        call.request_digest.begin(), call.request_digest.end());
    intent.entry_instance = self_;
    intent.entry_incarnation = incarnation_;
    intent.created_unix_ms = unix_now();
    intent.request = call.request;
    return intent;
}

absl::StatusOr<call_permission> thread_control_client::begin_call(
    const idempotent_call& call, time_point deadline)
{
    const time_point limit = std::min(deadline, boot_now() + intent_timeout);
    const proposal_result result =
        control_
            .propose(
                wire::entry_kind::call_intent,
                encode_table<wire::call_intent>(make_intent(call)), limit)
            ->wait();
    if (result.status == wire::proposal_status::no_quorum && !result.is_final)
    {
        wire::call_outcome_msg release = make_outcome(call, nullptr);
        release.not_run = true;
        control_.propose(
            wire::entry_kind::call_outcome,
            encode_table<wire::call_outcome>(release),
            boot_now() + release_timeout);
    }
    return make_permission(result);
}

absl::Status thread_control_client::end_call(
    const idempotent_call& call, const recorded_response* response)
{
    const auto data =
        encode_table<wire::call_outcome>(make_outcome(call, response));
    const proposal_result result = control_
                                       .propose(
                                           wire::entry_kind::call_outcome, data,
                                           boot_now() + outcome_timeout)
                                       ->wait();
    if (result.status == wire::proposal_status::accepted)
    {
        return absl::OkStatus();
    }
    return make_error(
        error_kind::no_quorum,
        "the outcome of the call is not recorded; retries will be told that "
        "it is running or unknown");
}

duration
thread_control_client::quarantined_for(request_fingerprint fingerprint) const
{
    const unix_millis now = unix_now();
    const unix_millis until =
        blame_.with([&](const blame_tracker& blame)
                    { return blame.quarantined_until(fingerprint); });
    return until > now ? std::chrono::milliseconds{until - now}
                       : duration::zero();
}

} // namespace hickorygap
