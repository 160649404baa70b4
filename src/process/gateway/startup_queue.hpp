#ifndef HICKORYGAP_PROCESS_GATEWAY_STARTUP_QUEUE_HPP
#define HICKORYGAP_PROCESS_GATEWAY_STARTUP_QUEUE_HPP

#include "connection/event/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace hickorygap
{

// Requests that have arrived while their router starts and does not know the
// configuration or the backend servers yet. They wait for a short time instead
// of being refused: after a loss of power all routers start at once, and the
// callers whose only retry meets one would be lost.
class startup_queue
{
public:
    // The loop must outlive the queue.
    explicit startup_queue(event_loop& loop);
    ~startup_queue();

    // Longest time for which a request may wait now, if its caller waits for
    // time_left; zero if the router has been starting for too long.
    duration longest_wait(duration time_left) const;

    // Adds a request. on_end is called once: with true when the router is
    // ready, with false after the wait. Returns the number of the entry.
    std::uint64_t
    add(time_point deadline, duration wait, std::function<void(bool)> on_end);

    // Removes an entry without a call.
    void cancel(std::uint64_t number);

    // The router is ready: the requests go on, those with the earliest deadline
    // first, spread over a short time so that servers don't get all at once.
    void release();

    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct entry
    {
        time_point deadline;
        timer_id timer = 0;
        std::function<void(bool)> on_end;
    };

    void finish(std::uint64_t number, bool is_ready);

    event_loop& loop_;
    time_point started_at_;
    std::map<std::uint64_t, entry> entries_;
    std::uint64_t last_number_ = 0;
};

} // namespace hickorygap

#endif
