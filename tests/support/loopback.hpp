#ifndef HICKORYGAP_TESTS_SUPPORT_LOOPBACK_HPP
#define HICKORYGAP_TESTS_SUPPORT_LOOPBACK_HPP

#include "connection/event/stream_connection.hpp"
#include "support/port_reservation.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace hickorygap::test
{

// Returns a port reserved for this process. A server of the test, or a program
// that doesn't use port_reservation, may already listen on it; retry until a
// port is free.
inline std::uint16_t next_port()
{
    static port_reservation reservation;
    return reservation.next();
}

// Runs the event loop until the condition holds; false on timeout.
inline bool run_until(
    event_loop& loop, const std::function<bool()>& condition,
    duration time = std::chrono::seconds{1})
{
    const time_point limit = boot_now() + time;
    while (!condition() && boot_now() < limit)
    {
        loop.run_once(std::chrono::milliseconds{5});
    }
    return condition();
}

inline void run_for(event_loop& loop, duration time)
{
    const time_point limit = boot_now() + time;
    while (boot_now() < limit)
    {
        loop.run_once(std::chrono::milliseconds{5});
    }
}

// Client connection to a caller port; collects the bytes received.
class caller_double final : public connection_observer
{
public:
    caller_double(event_loop& loop, std::uint16_t port)
        : stream_{*stream_connection::connect(loop, {"127.0.0.1", port}, *this)}
    {
    }

    void send(std::string_view bytes)
    {
        stream_->write(bytes);
    }
    void set_reading(bool reading)
    {
        stream_->set_reading(reading);
    }
    void leave()
    {
        stream_->close();
    }

    void on_input() override
    {
        received_ += std::exchange(stream_->input(), {});
    }
    void on_end(connection_end /*end*/) override
    {
        ended_ = true;
    }

    const std::string& received() const
    {
        return received_;
    }
    bool ended() const
    {
        return ended_;
    }

private:
    std::unique_ptr<stream_connection> stream_;
    std::string received_;
    bool ended_ = false;
};

} // namespace hickorygap::test

#endif
