#include "connection/event/event_loop.hpp"

#include "common/error.hpp"
#include "common/logging.hpp"

#include <fmt/format.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace hickorygap
{

namespace
{

// Events returned by one epoll_wait.
constexpr std::size_t max_events_per_wait = 64;

// Calls of epoll_wait in one iteration, as long as each returns the maximum
// number of events.
constexpr int max_waits_per_iteration = 16;

// An iteration that takes longer than this, or whose wait ends later than this
// after its deadline, counts as a pause of the process. Longer than the delays
// of a process that gets a small share of a processor.
constexpr duration pause_threshold = std::chrono::milliseconds{200};

// Deferred functions may defer others this many times in one iteration.
constexpr int max_deferred_rounds = 16;

// Longest wait of run(), so that a timer that expired while the machine was
// suspended is run soon after.
constexpr duration max_wait = std::chrono::seconds{1};

std::uint32_t epoll_events(bool read, bool write)
{
    return (read ? static_cast<std::uint32_t>(EPOLLIN) : 0U) |
           (write ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
}

} // namespace

event_loop::~event_loop()
{
    if (epoll_descriptor_ >= 0)
    {
        ::close(epoll_descriptor_);
    }
}

absl::Status event_loop::open()
{
    epoll_descriptor_ = ::epoll_create1(EPOLL_CLOEXEC);
    if (epoll_descriptor_ < 0)
    {
        return make_error(
            error_kind::internal,
            fmt::format(
                "can't create the epoll instance ({}); raise the limit of open "
                "file descriptors",
                std::strerror(errno)));
    }
    now_ = boot_now();
    earliest_input_time_ = now_;
    return absl::OkStatus();
}

void event_loop::control(int operation, int descriptor, bool read, bool write)
{
    epoll_event event{};
    event.events = epoll_events(read, write);
    event.data.u64 =
        (std::uint64_t{registrations_[descriptor].generation} << 32U) |
        static_cast<std::uint32_t>(descriptor);
    if (::epoll_ctl(epoll_descriptor_, operation, descriptor, &event) != 0)
    {
        log(log_level::error, subsystem::network,
            "event_registration_failed descriptor={} error=\"{}\"", descriptor,
            std::strerror(errno));
    }
}

void event_loop::add(int descriptor, io_handler& handler, bool read, bool write)
{
    registrations_[descriptor] = {&handler, ++last_generation_};
    control(EPOLL_CTL_ADD, descriptor, read, write);
}

void event_loop::change(int descriptor, bool read, bool write)
{
    control(EPOLL_CTL_MOD, descriptor, read, write);
}

void event_loop::remove(int descriptor)
{
    if (registrations_.erase(descriptor) != 0)
    {
        ::epoll_ctl(epoll_descriptor_, EPOLL_CTL_DEL, descriptor, nullptr);
    }
}

timer_id event_loop::after(duration delay, std::function<void()> function)
{
    const timer_id timer = ++last_timer_;
    const time_point deadline = now_ + std::max(delay, duration{0});
    timers_.emplace(std::pair{deadline, timer}, std::move(function));
    timer_times_.emplace(timer, deadline);
    return timer;
}

void event_loop::cancel(timer_id& timer)
{
    const auto found = timer_times_.find(timer);
    timer = 0;
    if (found != timer_times_.end())
    {
        timers_.erase({found->second, found->first});
        timer_times_.erase(found);
    }
}

void event_loop::defer(std::function<void()> function)
{
    deferred_.push_back(std::move(function));
}

void event_loop::run()
{
    while (!stopped_)
    {
        run_once(max_wait);
    }
}

// When the wait for events must end: now for deferred functions, otherwise at
// the next timer or after max_wait_time.
time_point
event_loop::next_deadline(time_point start, duration max_wait_time) const
{
    if (!deferred_.empty())
    {
        return start;
    }
    const time_point limit = start + max_wait_time;
    return timers_.empty() ? limit
                           : std::min(limit, timers_.begin()->first.first);
}

// Waits for events for at most max_wait_time and calls their handlers. True
// when more events may be pending.
bool event_loop::handle_events(
    duration max_wait_time, const iteration_times& times)
{
    std::array<epoll_event, max_events_per_wait> events{};
    // Rounded up, because a wait that ends before the deadline would have to be
    // repeated.
    const auto timeout =
        std::chrono::ceil<std::chrono::milliseconds>(max_wait_time);
    const int count = ::epoll_wait(
        epoll_descriptor_, events.data(), static_cast<int>(events.size()),
        static_cast<int>(timeout.count()));
    now_ = boot_now();
    const bool was_paused = times.start - times.previous > pause_threshold ||
                            now_ - times.deadline > pause_threshold;
    earliest_input_time_ = was_paused ? times.previous : now_;
    for (int i = 0; i < count; ++i)
    {
        const epoll_event& event = events.at(static_cast<std::size_t>(i));
        const auto found =
            registrations_.find(static_cast<int>(event.data.u64 & 0xFFFFFFFFU));
        if (found == registrations_.end() ||
            found->second.generation != event.data.u64 >> 32U)
        {
            continue;
        }
        const io_readiness readiness{
            (event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0,
            (event.events & EPOLLOUT) != 0, (event.events & EPOLLERR) != 0};
        found->second.handler->on_ready(readiness);
    }
    return count == static_cast<int>(max_events_per_wait);
}

// Input is handled before timers, so that a response that has arrived is used
// even if its timeout has expired during a pause of the process.
void event_loop::run_once(duration max_wait_time)
{
    const time_point start = boot_now();
    const iteration_times times{
        now_, start, next_deadline(start, max_wait_time)};
    bool has_more_events =
        handle_events(std::max(times.deadline - start, duration{0}), times);
    for (int wait = 1; has_more_events && wait < max_waits_per_iteration;
         ++wait)
    {
        has_more_events = handle_events(duration{0}, times);
    }
    run_timers();
    run_deferred();
}

// Timers that are armed meanwhile wait for the next iteration, so that one that
// is always due again does not keep the loop from its events. They come last in
// the order of timers_ among those that are due.
void event_loop::run_timers()
{
    const timer_id last = last_timer_;
    while (!timers_.empty() && timers_.begin()->first.first <= now_ &&
           timers_.begin()->first.second <= last)
    {
        const auto first = timers_.begin();
        const std::function<void()> function = std::move(first->second);
        timer_times_.erase(first->first.second);
        timers_.erase(first);
        function();
    }
}

void event_loop::run_deferred()
{
    for (int round = 0; round < max_deferred_rounds && !deferred_.empty();
         ++round)
    {
        const auto functions = std::exchange(deferred_, {});
        for (const auto& function : functions)
        {
            function();
        }
    }
}

} // namespace hickorygap
