#include "connection/event/listener.hpp"

#include "common/error.hpp"
#include "common/logging.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace hickorygap
{

namespace
{

// Length of the kernel's accept queue. When it is full, new connections are
// delayed by a second or more, until the SYN is retransmitted.
constexpr int listen_backlog = 512;

// Connections accepted in one loop iteration, so that running streams are not
// delayed.
constexpr int max_accepts_per_iteration = 16;

} // namespace

listener::listener(event_loop& loop, accept_function on_accept)
    : loop_{loop}
    , on_accept_{std::move(on_accept)}
{
}

listener::~listener()
{
    close();
}

absl::Status listener::open(const numeric_address& address)
{
    try
    {
        socket_.bind(
            Poco::Net::SocketAddress{address.host, address.port}, true, false);
        socket_.listen(listen_backlog);
        socket_.setBlocking(false);
    }
    catch (const Poco::Exception& error)
    {
        return make_error(
            error_kind::unreachable,
            fmt::format(
                "can't listen on {}: {}; check that the address belongs to "
                "this machine and that the port is free",
                format_address(address.host, address.port),
                error.displayText()));
    }
    loop_.add(socket_.impl()->sockfd(), *this, true, false);
    open_ = true;
    return absl::OkStatus();
}

void listener::close()
{
    if (open_)
    {
        open_ = false;
        loop_.remove(socket_.impl()->sockfd());
        socket_.close();
    }
}

void listener::accept_pending()
{
    while (open_ && accept_next())
    {
    }
}

void listener::on_ready(io_readiness /*readiness*/)
{
    for (int i = 0; i < max_accepts_per_iteration && open_ && accept_next();
         ++i)
    {
    }
}

// False when no connection is waiting to be accepted.
bool listener::accept_next()
{
    const int descriptor = ::accept4(
        socket_.impl()->sockfd(), nullptr, nullptr,
        SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0)
    {
        if (errno != EAGAIN && errno != EWOULDBLOCK)
        {
            log(log_level::warning, subsystem::network,
                "accept_failed error=\"{}\"", std::strerror(errno));
        }
        return false;
    }
    on_accept_(
        Poco::Net::StreamSocket{new Poco::Net::StreamSocketImpl{descriptor}});
    return true;
}

} // namespace hickorygap
