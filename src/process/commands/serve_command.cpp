#include "process/commands/serve_command.hpp"

#include "common/logging.hpp"
#include "common/status_text.hpp"
#include "process/commands/command_line.hpp"
#include "process/instance/running_instance.hpp"

#include <csignal>

namespace hickorygap
{

namespace
{

// Blocks the signals that request a graceful shutdown and returns them. Threads
// inherit the mask and only the main thread waits for the signals, so no signal
// handler interrupts other code.
sigset_t block_shutdown_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Waits for a shutdown signal. Returns false when the instance failed before
// one arrived.
bool wait_for_shutdown(const running_instance& instance, sigset_t signals)
{
    constexpr timespec check_interval{0, 200'000'000};
    while (!instance.failed())
    {
        if (sigtimedwait(&signals, nullptr, &check_interval) > 0)
        {
            return true;
        }
    }
    return false;
}

} // namespace

int run_serve(const settings& effective)
{
    set_log_level(effective.log.level);
    const sigset_t signals = block_shutdown_signals();
    std::signal(SIGPIPE, SIG_IGN);
    const auto instance = running_instance::start(effective);
    if (!instance.ok())
    {
        log(log_level::error, subsystem::process, "not_started reason=\"{}\"",
            message_of(instance.status()));
        return static_cast<int>(exit_code::refused);
    }
    log(log_level::info, subsystem::process,
        "started instance={} callers={}:{} operators={}:{} peers={}:{}",
        effective.instance.id, effective.callers.host, effective.callers.port,
        effective.operators.host, effective.operators.port,
        effective.peers.host, effective.peers.port);
    if (!wait_for_shutdown(**instance, signals))
    {
        return static_cast<int>(exit_code::refused);
    }
    const bool drained = (*instance)->shut_down();
    return static_cast<int>(drained ? exit_code::done : exit_code::refused);
}

} // namespace hickorygap
