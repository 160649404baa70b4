#include "connection/http/cancellable_socket.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Interval of the cancellation check while waiting for input, and so the
// longest time until a disconnected caller is noticed.
constexpr duration cancellation_check_interval = std::chrono::milliseconds{20};

} // namespace

cancellable_socket::cancellable_socket(std::function<bool()> cancelled)
    : cancelled_(std::move(cancelled))
{
}

void cancellable_socket::connect(
    const Poco::Net::SocketAddress& address, const Poco::Timespan& timeout)
{
    try
    {
        StreamSocketImpl::connect(address, timeout);
    }
    catch (const Poco::TimeoutException&)
    {
        failure_ = failure::timed_out;
        throw;
    }
    catch (const Poco::Net::ConnectionRefusedException&)
    {
        failure_ = failure::refused;
        throw;
    }
    catch (const Poco::Exception&)
    {
        // Includes local causes such as running out of file descriptors, which
        // say nothing about the peer.
        failure_ = failure::unreachable;
        throw;
    }
}

void cancellable_socket::wait_for_input()
{
    while (true)
    {
        if (cancelled_ && cancelled_())
        {
            failure_ = failure::cancelled;
            throw Poco::TimeoutException{"the exchange was cancelled"};
        }
        const duration remaining = deadline_ - boot_now();
        if (remaining <= duration::zero())
        {
            failure_ = failure::timed_out;
            throw Poco::TimeoutException{
                "no response arrived before the deadline"};
        }
        if (poll(
                Poco::Timespan{
                    std::min(remaining, cancellation_check_interval).count()},
                Poco::Net::Socket::SELECT_READ))
        {
            return;
        }
    }
}

int cancellable_socket::receiveBytes(void* buffer, int length, int flags)
{
    wait_for_input();
    try
    {
        const int count = StreamSocketImpl::receiveBytes(buffer, length, flags);
        if (count <= 0)
        {
            failure_ = failure::closed;
        }
        return count;
    }
    catch (const Poco::Exception&)
    {
        failure_ = failure::closed;
        throw;
    }
}

int cancellable_socket::sendBytes(const void* buffer, int length, int flags)
{
    try
    {
        return StreamSocketImpl::sendBytes(buffer, length, flags);
    }
    catch (const Poco::TimeoutException&)
    {
        failure_ = failure::timed_out;
        throw;
    }
    catch (const Poco::Exception&)
    {
        failure_ = failure::closed;
        throw;
    }
}

} // namespace hickorygap
