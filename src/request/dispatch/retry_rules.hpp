#ifndef HICKORYGAP_REQUEST_DISPATCH_RETRY_RULES_HPP
#define HICKORYGAP_REQUEST_DISPATCH_RETRY_RULES_HPP

#include "common/time.hpp"
#include "request/dispatch/backend_table.hpp"

#include <cstdint>

namespace hickorygap
{

// What has happened to a request so far.
struct send_history
{
    // How often it was sent to a backend server, and how often it may be.
    std::uint32_t sends = 0;
    std::uint32_t max_sends = 1;

    // Running it more than once does no harm.
    bool repeatable = false;

    // A server may have run it, or may still be running it.
    bool may_have_run = false;

    // Stream events were relayed to the caller.
    bool stream_started = false;

    // Time until the caller's deadline or the route's timeout, whichever is
    // earlier.
    duration time_left{0};
};

// How long a server may take before a repeatable request is sent to another
// one: until the first event or the whole response, and between two complete
// events of a stream. Bytes that complete no event do not count, so a server
// that only keeps the connection alive is abandoned, while a slow one that
// continues to produce events is not.
duration first_response_timeout(duration target_latency, duration time_left);
duration stream_stall_timeout(duration target_gap);

// Whether the request may be sent to another server. The retry budget is
// checked separately.
bool may_retry(const send_history& history);

// The response to a caller whose request no server has completed.
enum class failure_response
{
    // The request has not run and may be sent again.
    not_run,

    // The request may have run; no response came in time, or the server broke
    // off.
    timed_out,
    broke_off,

    // No response: a stream that has started can only be cut.
    cut
};

failure_response
failure_response_for(const send_history& history, dispatch_outcome last);

} // namespace hickorygap

#endif
