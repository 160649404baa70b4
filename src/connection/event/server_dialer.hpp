#ifndef HICKORYGAP_CONNECTION_EVENT_SERVER_DIALER_HPP
#define HICKORYGAP_CONNECTION_EVENT_SERVER_DIALER_HPP

#include "common/address.hpp"
#include "connection/event/stream_connection.hpp"

#include <absl/status/statusor.h>

#include <memory>

namespace hickorygap
{

// Opens connections of this process to servers.
class server_dialer
{
public:
    server_dialer() = default;
    server_dialer(const server_dialer&) = delete;
    server_dialer& operator=(const server_dialer&) = delete;
    virtual ~server_dialer() = default;

    // Starts connecting; on_connected or on_end(refused) of the observer
    // follows. Errors: unreachable when connecting fails immediately.
    virtual absl::StatusOr<std::unique_ptr<byte_channel>> dial(
        event_loop& loop, const numeric_address& address,
        connection_observer& observer) = 0;
};

// Opens TCP connections.
class tcp_dialer final : public server_dialer
{
public:
    // A dialer for the whole process; it has no state.
    static tcp_dialer& shared()
    {
        static tcp_dialer dialer;
        return dialer;
    }

    absl::StatusOr<std::unique_ptr<byte_channel>> dial(
        event_loop& loop, const numeric_address& address,
        connection_observer& observer) override
    {
        return stream_connection::connect(loop, address, observer);
    }
};

} // namespace hickorygap

#endif
