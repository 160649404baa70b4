#include "process/fleet_process/process_signals.hpp"

#include "common/error.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <utility>

namespace hickorygap
{

namespace
{

// Write end of the pipe that wakes the loop. A pipe, because a signal handler
// may call async-signal-safe functions only.
std::atomic<int> wake_descriptor{-1};

extern "C" void forward_signal(int number)
{
    const auto byte = static_cast<char>(number);
    // When the pipe is full, other signals are already pending.
    [[maybe_unused]] const ssize_t written =
        ::write(wake_descriptor.load(std::memory_order_relaxed), &byte, 1);
}

} // namespace

process_signals::process_signals(
    event_loop& loop, std::function<void()> on_terminate,
    std::function<void()> on_reload)
    : loop_{loop}
    , on_terminate_{std::move(on_terminate)}
    , on_reload_{std::move(on_reload)}
{
}

process_signals::~process_signals()
{
    if (reader_ >= 0)
    {
        for (const int number : {SIGTERM, SIGINT, SIGHUP})
        {
            std::signal(number, SIG_DFL);
        }
        wake_descriptor = -1;
        loop_.remove(reader_);
        ::close(reader_);
        ::close(writer_);
    }
}

absl::Status process_signals::open()
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
    {
        return make_error(
            error_kind::internal,
            "can't create the pipe for signals; raise the limit of open "
            "descriptors");
    }
    reader_ = ends[0];
    writer_ = ends[1];
    wake_descriptor = writer_;
    loop_.add(reader_, *this, true, false);
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
    {
        struct sigaction action
        {
        };
        action.sa_handler = forward_signal;
        action.sa_flags = SA_RESTART;
        ::sigaction(number, &action, nullptr);
    }
    return absl::OkStatus();
}

void process_signals::on_ready(io_readiness /*readiness*/)
{
    char number = 0;
    while (::read(reader_, &number, 1) == 1)
    {
        if (number == SIGHUP)
        {
            on_reload_();
        }
        else
        {
            on_terminate_();
        }
    }
}

} // namespace hickorygap
