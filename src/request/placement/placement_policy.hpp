#ifndef HICKORYGAP_REQUEST_PLACEMENT_PLACEMENT_POLICY_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_PLACEMENT_POLICY_HPP

#include "request/placement/placement_query.hpp"

#include <cstdint>
#include <vector>

namespace hickorygap
{

// Load that a backend server reports about itself. Reports lag behind the
// actual load.
struct load_report
{
    // Requests that it processes, and requests in its own queue.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    // Changes when the backend server restarts with an empty prompt cache; zero
    // when the server does not report it.
    std::uint64_t start_number = 0;

    // Time of the report, by this instance's clock.
    time_point measured;
};

enum class cache_event_kind
{
    // The chat's context was added to the cache.
    stored,
    // The chat's context was evicted.
    evicted,
    // The whole cache was emptied.
    cleared
};

// Change of a backend server's prompt cache. Events may arrive late, and some
// may be missing.
struct cache_event
{
    cache_event_kind kind = cache_event_kind::stored;
    chat_id chat = 0;

    // Time of the change, by this instance's clock.
    time_point happened;
};

// Chooses backend servers for attempts.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    // Grants, refuses or queues an attempt. The decision about a queued attempt
    // follows through take_decided.
    virtual placement_result
    place(const placement_query& query, time_point now) = 0;

    // Removes a waiting attempt from the queue, or releases a grant that will
    // not be used.
    virtual void
    withdraw(request_id request, std::uint8_t attempt, time_point now) = 0;

    // Releases the grant of an attempt that ended.
    virtual void release(const attempt_report& report, time_point now) = 0;

    virtual void on_load_report(
        backend_server_id server, const load_report& report,
        time_point now) = 0;
    virtual void on_cache_event(
        backend_server_id server, const cache_event& event, time_point now) = 0;
    virtual void
    on_backend_health(backend_server_id server, bool up, time_point now) = 0;

    // Refuses waiting attempts that can no longer meet their latency target.
    // Call it every 20 to 100 ms.
    virtual void tick(time_point now) = 0;

    // Returns and clears the decisions about attempts that were queued.
    virtual std::vector<placement_decision> take_decided() = 0;
};

} // namespace hickorygap

#endif
