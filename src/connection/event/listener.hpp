#ifndef HICKORYGAP_CONNECTION_EVENT_LISTENER_HPP
#define HICKORYGAP_CONNECTION_EVENT_LISTENER_HPP

#include "common/address.hpp"
#include "connection/event/event_loop.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/status/status.h>

#include <functional>

namespace hickorygap
{

// Accepts TCP connections on one address.
class listener final : public io_handler
{
public:
    using accept_function = std::function<void(const Poco::Net::StreamSocket&)>;

    listener(event_loop& loop, accept_function on_accept);
    ~listener() override;

    // Errors: unreachable when the address can't be bound.
    absl::Status open(const numeric_address& address);
    void close();

    // Accepts all connections in the kernel's accept queue. Called before
    // close() in a planned stop, so that requests on these connections are
    // answered.
    void accept_pending();

    void on_ready(io_readiness readiness) override;

private:
    bool accept_next();

    event_loop& loop_;
    accept_function on_accept_;
    Poco::Net::ServerSocket socket_;
    bool open_ = false;
};

} // namespace hickorygap

#endif
