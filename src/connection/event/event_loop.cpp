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

// Events taken from the kernel in one call.
constexpr std::size_t events_per_turn = 64;

// Longest wait of run(), so that a timer that was missed by a suspended
// machine is noticed.
constexpr duration longest_wait = std::chrono::seconds{1};

std::uint32_t interest(bool read, bool write)
{
    return (read ? static_cast<std::uint32_t>(EPOLLIN) : 0U) |
           (write ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
}

} // namespace

event_loop::~event_loop()
{
    if (poller_ >= 0)
    {
        ::close(poller_);
    }
}

absl::Status event_loop::open()
{
    poller_ = ::epoll_create1(EPOLL_CLOEXEC);
    if (poller_ < 0)
    {
        return make_error(
            error_kind::internal,
            fmt::format(
                "can't create the event queue ({}); raise the limit of open "
                "descriptors",
                std::strerror(errno)));
    }
    now_ = boot_now();
    return absl::OkStatus();
}

void event_loop::control(int operation, int descriptor, bool read, bool write)
{
    epoll_event event{};
    event.events = interest(read, write);
    event.data.u64 =
        (std::uint64_t{registrations_[descriptor].generation} << 32U) |
        static_cast<std::uint32_t>(descriptor);
    if (::epoll_ctl(poller_, operation, descriptor, &event) != 0)
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
        ::epoll_ctl(poller_, EPOLL_CTL_DEL, descriptor, nullptr);
    }
}

timer_id event_loop::after(duration delay, std::function<void()> function)
{
    const timer_id timer = ++last_timer_;
    const time_point due = now_ + std::max(delay, duration{0});
    timers_.emplace(std::pair{due, timer}, std::move(function));
    timer_times_.emplace(timer, due);
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
        turn(longest_wait);
    }
}

int event_loop::timeout_ms(duration longest) const
{
    duration wait = deferred_.empty() ? longest : duration{0};
    if (!timers_.empty())
    {
        wait = std::min(wait, timers_.begin()->first.first - boot_now());
    }
    // Rounded up: a wait that ends too early costs a second one.
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(
                                std::max(wait, duration{0}))
                                .count());
}

void event_loop::turn(duration longest)
{
    std::array<epoll_event, events_per_turn> events{};
    const int count = ::epoll_wait(
        poller_, events.data(), static_cast<int>(events.size()),
        timeout_ms(longest));
    now_ = boot_now();
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
    run_timers();
    run_deferred();
}

void event_loop::run_timers()
{
    while (!timers_.empty() && timers_.begin()->first.first <= now_)
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
    while (!deferred_.empty())
    {
        const auto functions = std::exchange(deferred_, {});
        for (const auto& function : functions)
        {
            function();
        }
    }
}

} // namespace hickorygap
