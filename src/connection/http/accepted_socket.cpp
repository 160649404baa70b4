#include "connection/http/accepted_socket.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace hickorygap
{

namespace
{

constexpr std::size_t read_size = 8192;
constexpr std::string_view header_end = "\r\n\r\n";

// Results of receive_nonblocking that are not a number of bytes.
constexpr int peer_closed = 0;
constexpr int would_block = -1;

} // namespace

accepted_socket::accepted_socket(const Poco::Net::StreamSocket& inner)
    : StreamSocketImpl(inner.impl()->sockfd())
    , inner_(inner)
{
}

accepted_socket::~accepted_socket()
{
    // inner_ owns the descriptor and closes it.
    reset();
}

int accepted_socket::receive_nonblocking(char* buffer, int length)
{
    // A non-blocking read instead of a poll, because poll doesn't report bytes
    // that the TLS layer has already decrypted and buffered.
    try
    {
        inner_.setBlocking(false);
        const int count = inner_.receiveBytes(buffer, length);
        inner_.setBlocking(true);
        return count < 0 ? would_block : count;
    }
    catch (const Poco::TimeoutException&)
    {
        inner_.setBlocking(true);
        return would_block;
    }
    catch (const Poco::Exception&)
    {
        return peer_closed;
    }
}

accepted_socket::read_result
accepted_socket::read_available(std::size_t header_limit_bytes)
{
    std::array<char, read_size> buffer{};
    std::size_t searched = 0;
    while (true)
    {
        // Empty lines before a request line are skipped.
        buffered_.erase(0, buffered_.find_first_not_of("\r\n"));
        const auto found = buffered_.find(
            header_end, searched - std::min(searched, header_end.size()));
        if (found != std::string::npos)
        {
            return found + header_end.size() > header_limit_bytes
                       ? read_result::too_large
                       : read_result::header_complete;
        }
        if (buffered_.size() > header_limit_bytes)
        {
            return read_result::too_large;
        }
        searched = buffered_.size();
        const int count =
            receive_nonblocking(buffer.data(), static_cast<int>(buffer.size()));
        if (count == peer_closed)
        {
            return read_result::closed;
        }
        if (count == would_block)
        {
            return read_result::incomplete;
        }
        buffered_.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

bool accepted_socket::start_request()
{
    const auto end = find_head_end(buffered_);
    if (!end)
    {
        return false;
    }
    head_.clear();
    const auto framing = read_request_head({buffered_.data(), *end}, head_);
    if (!framing)
    {
        return false;
    }
    header_remaining_ = *end;
    body_ = body_decoder{*framing};
    body_state_ = body_decoder::state::incomplete;
    undecoded_.clear();
    decode_framing({});
    return true;
}

void accepted_socket::decode_framing(std::string_view bytes)
{
    const std::size_t header = std::min(header_remaining_, bytes.size());
    header_remaining_ -= header;
    if (body_state_ != body_decoder::state::incomplete)
    {
        return;
    }
    undecoded_.append(bytes.substr(header));
    std::string decoded;
    body_state_ = body_.decode(undecoded_, decoded);
}

bool accepted_socket::is_request_consumed() const
{
    return body_state_ == body_decoder::state::complete;
}

bool accepted_socket::discard_available()
{
    buffered_.clear();
    std::array<char, read_size> buffer{};
    const int count =
        receive_nonblocking(buffer.data(), static_cast<int>(buffer.size()));
    return count == peer_closed;
}

void accepted_socket::return_unconsumed(const char* data, std::size_t size)
{
    buffered_.insert(0, data, size);
}

bool accepted_socket::peer_disconnected() const
{
    pollfd state{sockfd(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

void accepted_socket::shutdown_send()
{
    try
    {
        inner_.shutdownSend();
    }
    catch (const Poco::Exception&)
    {
        // The peer has already closed the connection.
    }
}

int accepted_socket::receiveBytes(void* buffer, int length, int flags)
{
    if (!buffered_.empty())
    {
        const auto count =
            std::min(buffered_.size(), static_cast<std::size_t>(length));
        std::memcpy(buffer, buffered_.data(), count);
        buffered_.erase(0, count);
        decode_framing({static_cast<const char*>(buffer), count});
        return static_cast<int>(count);
    }
    const duration remaining = read_deadline_ - boot_now();
    if (remaining <= duration::zero())
    {
        throw Poco::TimeoutException{
            "the request did not arrive before its read deadline"};
    }
    if (read_deadline_.since_start != duration::max())
    {
        inner_.setReceiveTimeout(Poco::Timespan{remaining.count()});
    }
    const int count = inner_.receiveBytes(buffer, length, flags);
    if (count > 0)
    {
        decode_framing(
            {static_cast<const char*>(buffer),
             static_cast<std::size_t>(count)});
    }
    return count;
}

int accepted_socket::sendBytes(const void* buffer, int length, int flags)
{
    return inner_.sendBytes(buffer, length, flags);
}

void accepted_socket::close()
{
    inner_.close();
    reset();
}

bool accepted_socket::secure() const
{
    return inner_.secure();
}

accepted_socket* accepted_socket::of(Poco::Net::HTTPServerRequest& request)
{
    auto* implementation =
        dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
    if (implementation == nullptr)
    {
        return nullptr;
    }
    return dynamic_cast<accepted_socket*>(implementation->socket().impl());
}

} // namespace hickorygap
