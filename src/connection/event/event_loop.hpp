#ifndef HICKORYGAP_CONNECTION_EVENT_EVENT_LOOP_HPP
#define HICKORYGAP_CONNECTION_EVENT_EVENT_LOOP_HPP

#include "common/time.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorygap
{

struct io_readiness
{
    bool readable = false;
    bool writable = false;

    // The peer reset the connection or an error is pending.
    bool failed = false;
};

// Is notified when a file descriptor becomes ready.
class io_handler
{
public:
    io_handler() = default;
    io_handler(const io_handler&) = delete;
    io_handler& operator=(const io_handler&) = delete;
    virtual ~io_handler() = default;

    virtual void on_ready(io_readiness readiness) = 0;
};

// Identifies a timer; zero means no timer.
using timer_id = std::uint64_t;

// Waits for file descriptors and timers and calls their handlers on the thread
// that calls run(). All functions must be called on that thread.
class event_loop
{
public:
    event_loop() = default;
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    // Must succeed before any other call. Errors: internal when the process is
    // out of file descriptors.
    absl::Status open();

    // Registers a descriptor, which must be removed before it is closed.
    void add(int descriptor, io_handler& handler, bool read, bool write);
    void change(int descriptor, bool read, bool write);

    // Discards events of the descriptor that were not delivered yet.
    void remove(int descriptor);

    // Calls the function once, after the delay. A timer that is due at once
    // runs in the next iteration, after the events that are ready by then.
    timer_id after(duration delay, std::function<void()> function);

    // Cancels the timer, if it has not run yet, and sets `timer` to zero.
    void cancel(timer_id& timer);

    // Calls the function at the end of the current iteration. Functions that
    // defer each other without end continue in the next one.
    void defer(std::function<void()> function);

    // Destroys the object at the end of the current iteration, so that its own
    // handlers may call this.
    template <typename Object>
    void destroy_later(std::unique_ptr<Object> object)
    {
        // Shared ownership, because std::function must be copyable.
        defer([owned = std::shared_ptr<Object>{std::move(object)}] {});
    }

    // Time at which the current handlers were called, on the boot clock, which
    // includes the time that the machine is suspended.
    time_point now() const
    {
        return now_;
    }

    // Earliest time at which input that is read now can have arrived. This is
    // now(), unless the process was paused or delayed. How long the input has
    // been waiting is unknown then, so this is the time before the pause.
    time_point earliest_input_time() const
    {
        return earliest_input_time_;
    }

    // Returns after stop().
    void run();
    void stop()
    {
        stopped_ = true;
    }
    bool is_stopped() const
    {
        return stopped_;
    }

    // Runs one iteration: waits at most `max_wait_time` for events, then calls
    // the handlers of events, expired timers and deferred functions. Used by
    // run() and by tests.
    void run_once(duration max_wait_time);

private:
    struct registration
    {
        io_handler* handler = nullptr;
        std::uint32_t generation = 0;
    };

    void control(int operation, int descriptor, bool read, bool write);
    // When the previous iteration received its last events, when this one
    // started, and when its wait must end.
    struct iteration_times
    {
        time_point previous;
        time_point start;
        time_point deadline;
    };

    time_point next_deadline(time_point start, duration max_wait_time) const;
    bool handle_events(duration max_wait_time, const iteration_times& times);
    void run_timers();
    void run_deferred();

    int epoll_descriptor_ = -1;
    std::unordered_map<int, registration> registrations_;
    std::uint32_t last_generation_ = 0;
    std::map<std::pair<time_point, timer_id>, std::function<void()>> timers_;
    std::unordered_map<timer_id, time_point> timer_times_;
    timer_id last_timer_ = 0;
    std::vector<std::function<void()>> deferred_;
    time_point now_;
    time_point earliest_input_time_;
    bool stopped_ = false;
};

} // namespace hickorygap

#endif
