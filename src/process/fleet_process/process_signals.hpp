#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_PROCESS_SIGNALS_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_PROCESS_SIGNALS_HPP

#include "connection/event/event_loop.hpp"

#include <absl/status/status.h>

#include <functional>

namespace hickorygap
{

// Delivers signals to the thread of an event loop: SIGTERM and SIGINT request
// a shutdown, SIGHUP requests that the settings are reloaded. SIGPIPE is
// ignored. At most one object may exist at a time.
class process_signals final : public io_handler
{
public:
    process_signals(
        event_loop& loop, std::function<void()> on_terminate,
        std::function<void()> on_reload);
    ~process_signals() override;

    // Error: internal when no pipe can be created.
    absl::Status open();

    void on_ready(io_readiness readiness) override;

private:
    event_loop& loop_;
    std::function<void()> on_terminate_;
    std::function<void()> on_reload_;
    int reader_ = -1;
    int writer_ = -1;
};

} // namespace hickorygap

#endif
