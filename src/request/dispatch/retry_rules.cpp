#include "request/dispatch/retry_rules.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

// Retries with less time left than this are pointless: no server responds
// faster.
constexpr duration min_retry_time = std::chrono::milliseconds{20};

// A repeatable request without a response is sent to another server after this
// multiple of its target latency, or when half of the time has passed.
constexpr int first_response_target_multiple = 2;

// With a target below this, nearly every request would be sent twice.
constexpr duration min_first_response_timeout = std::chrono::milliseconds{20};

// Callers abandon a stream after two seconds without an event, or after eight
// times the longest gap between events that is on time. The rest of that time
// is enough for the first event of another server.
constexpr int stall_gap_multiple = 4;
constexpr duration min_stall_timeout = std::chrono::milliseconds{1300};

} // namespace

duration first_response_timeout(duration target_latency, duration time_left)
{
    if (target_latency <= duration{0})
    {
        // The route has no target.
        return time_left / 2;
    }
    return std::min(
        std::max(
            target_latency * first_response_target_multiple,
            min_first_response_timeout),
        time_left / 2);
}

duration stream_stall_timeout(duration target_gap)
{
    return std::max(min_stall_timeout, target_gap * stall_gap_multiple);
}

bool may_retry(const send_history& history)
{
    return history.sends < history.max_sends &&
           (history.repeatable || !history.may_have_run) &&
           history.time_left > min_retry_time;
}

failure_response
failure_response_for(const send_history& history, dispatch_outcome last)
{
    if (history.stream_started)
    {
        return failure_response::cut;
    }
    if (!history.may_have_run)
    {
        return failure_response::not_run;
    }
    return last == dispatch_outcome::silent ? failure_response::timed_out
                                            : failure_response::broke_off;
}

} // namespace hickorygap
