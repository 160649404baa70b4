#ifndef HICKORYGAP_CONNECTION_HTTP_WATCHED_SOCKET_HPP
#define HICKORYGAP_CONNECTION_HTTP_WATCHED_SOCKET_HPP

#include "common/time.hpp"

#include <Poco/Net/Socket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <functional>

namespace hickorygap
{

// Client socket whose waiting for input ends early when a check says so or a
// deadline passes. Poco's streams hide the reason why reading failed, so the
// socket keeps it.
class watched_socket : public Poco::Net::StreamSocketImpl
{
public:
    enum class failure
    {
        none,
        // The connection was refused; no byte was sent.
        refused,
        // No connection was made for another reason; no byte was sent.
        unreachable,
        // The connection was reset or closed by the peer.
        closed,
        timed_out,
        // The check asked for the end.
        cancelled
    };

    explicit watched_socket(std::function<bool()> cancelled);

    void set_deadline(time_point deadline)
    {
        deadline_ = deadline;
    }
    failure why_failed() const
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
