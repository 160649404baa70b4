#ifndef HICKORYGAP_REQUEST_ATTEMPT_CONTROL_CLIENT_HPP
#define HICKORYGAP_REQUEST_ATTEMPT_CONTROL_CLIENT_HPP

#include "request/placement/placement_query.hpp"
#include "version/configuration/configuration.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>

namespace hickorygap
{

// Response of a non-repeatable call as recorded for later retries.
struct recorded_response
{
    std::uint16_t http_status = 0;
    std::string content_type;
    std::string body;
};

// Identity of a non-repeatable call.
struct idempotent_call
{
    organisation_id organisation = 0;
    service_id service = 0;
    std::string key;

    // SHA-256 of method, path and body.
    digest request_digest{};

    // The request of the caller that carries the call. A retry of the call is
    // another request with the same key.
    request_id request = 0;
};

// Whether a traffic thread may run a non-repeatable call.
struct call_permission
{
    // True: this thread, and no other one in the fleet, may send the call once.
    // False: `recorded` holds the response of the earlier run.
    bool run = false;
    recorded_response recorded;
};

// Whether this instance accepts new requests from callers.
enum class readiness
{
    ready,
    // Has no configuration yet, or has not heard from a majority of voters.
    starting,
    // Can't learn of newer tickets: hears too little of the fleet, or has
    // lacked a newer version for too long. See readiness_rule.
    cut_off,
    draining
};

// Interface of the traffic threads to the control thread. All functions may be
// called from any thread. Those that wait return at the latest a few hundred
// milliseconds after `cancelled` returns true.
class control_client
{
public:
    using cancel_check = std::function<bool()>;

    virtual ~control_client() = default;

    // The configuration in force on this instance; never nullptr.
    virtual configuration_ptr current_configuration() const = 0;
    virtual readiness current_readiness() const = 0;

    // Waits for a backend server or a refusal. A query whose `cancelled`
    // becomes true is withdrawn and refused with the reason `withdrawn`.
    virtual placement_decision
    place(const placement_query& query, const cancel_check& cancelled) = 0;

    // Ends a granted attempt; must be called exactly once for each grant.
    virtual void finish(const attempt_report& report) = 0;

    // Commits the intent of a non-repeatable call, or finds the earlier one.
    // Errors: call_running, outcome_unknown, idempotency_key_reused,
    // idempotency_key_expired, no_quorum (not run), deadline_exceeded (not run;
    // this instance will not run the call later either).
    virtual absl::StatusOr<call_permission>
    begin_call(const idempotent_call& call, time_point deadline) = 0;

    // Commits the outcome of a call that was permitted to run. Without a
    // response the outcome is recorded as unknown.
    virtual absl::Status end_call(
        const idempotent_call& call, const recorded_response* response) = 0;

    // Remaining time of the fingerprint's quarantine; zero when it is not
    // quarantined.
    virtual duration quarantined_for(request_fingerprint fingerprint) const = 0;
};

} // namespace hickorygap

#endif
