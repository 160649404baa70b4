#ifndef HICKORYGAP_CONNECTION_HTTP_CANCELLABLE_SOCKET_HPP
#define HICKORYGAP_CONNECTION_HTTP_CANCELLABLE_SOCKET_HPP

#include "common/time.hpp"

#include <Poco/Net/Socket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <functional>

namespace hickorygap
{

// Client socket that stops waiting for input when `cancelled` returns true or
// a deadline passes. Poco's streams hide why a read failed, so the socket
// records the reason.
class cancellable_socket : public Poco::Net::StreamSocketImpl
{
public:
    enum class failure
    {
        none,
        // The peer refused the connection; no byte was sent.
        refused,
        // The connection failed for another reason; no byte was sent.
        unreachable,
        // The peer closed or reset the connection.
        closed,
        timed_out,
        cancelled
    };

    explicit cancellable_socket(std::function<bool()> cancelled);

    void set_deadline(time_point deadline)
    {
        deadline_ = deadline;
    }
    failure failure_reason() const
    {
        return failure_;
    }

    void connect(
        const Poco::Net::SocketAddress& address,
        const Poco::Timespan& timeout) override;
    int receiveBytes(void* buffer, int length, int flags) override;
    int sendBytes(const void* buffer, int length, int flags) override;

private:
    void wait_for_input();

    std::function<bool()> cancelled_;
    time_point deadline_{duration::max()};
    failure failure_ = failure::none;
};

} // namespace hickorygap

#endif
