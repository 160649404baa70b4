#ifndef HICKORYGAP_REQUEST_PLACEMENT_PLACEMENT_POLICY_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_PLACEMENT_POLICY_HPP

#include "request/placement/placement_query.hpp"

#include <cstdint>
#include <vector>

namespace hickorygap
{

// What a backend server reports of itself. Reports lag.
struct load_report
{
    // Requests that it runs and that wait in it.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    // Changes when the backend server restarts with an empty cache; zero when
    // it does not tell.
    std::uint64_t start_number = 0;

    // When the report was made, on this instance's clock.
    time_point measured;
};

enum class cache_event_kind
{
    // The chat's context is in the cache.
    stored,
    // The chat's context was evicted.
    evicted,
    // All contexts are gone.
    cleared
};

// Change of a backend server's prompt cache. Events arrive late and with
// gaps.
struct cache_event
{
    cache_event_kind kind = cache_event_kind::stored;
    chat_id chat = 0;

    // When it happened, on this instance's clock.
    time_point happened;
};

// Chooses backend servers for attempts.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    // Decides about an attempt. When the result is placement_queued, the
    // decision follows through take_decided.
    virtual placement_result
    place(const placement_query& query, time_point now) = 0;

    // Gives up an attempt that waits or whose grant is not used.
    virtual void
    withdraw(request_id request, std::uint8_t attempt, time_point now) = 0;

    // Ends a granted attempt.
    virtual void release(const attempt_report& report, time_point now) = 0;

    virtual void on_load_report(
        backend_server_id server, const load_report& report,
        time_point now) = 0;
    virtual void on_cache_event(
        backend_server_id server, const cache_event& event, time_point now) = 0;
    virtual void
    on_backend_health(backend_server_id server, bool up, time_point now) = 0;

    // Refuses waiting attempts that became hopeless; call every 20 to 100 ms.
    virtual void tick(time_point now) = 0;

    // Decisions about attempts that were queued.
    virtual std::vector<placement_decision> take_decided() = 0;
};

} // namespace hickorygap

#endif
