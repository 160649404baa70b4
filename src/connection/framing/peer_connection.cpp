#include "connection/framing/peer_connection.hpp"

#include "common/error.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketDefs.h>
#include <netinet/tcp.h>

namespace hickorygap
{

namespace
{

// Data that the peer has not acknowledged for this time closes the
// connection. Without it the kernel's retransmission timer grows to two
// minutes during a partition, and a healed link would stay silent as long.
constexpr int user_timeout_ms = 5000;

// Read at most this much at a time, so that one busy peer does not delay the
// others.
constexpr std::size_t read_chunk = std::size_t{64} * 1024;
constexpr int chunks_per_read = 4;

absl::Status closed_error(std::string_view detail)
{
    return make_error(
        error_kind::unreachable,
        "the connection to the peer was closed; it is opened again when a "
        "message is sent (" +
            std::string{detail} + ")");
}

} // namespace

peer_connection::peer_connection(
    instance_id self, instance_id peer, const Poco::Net::SocketAddress& address,
    std::string_view fleet_key, time_point now)
    : self_{self}
    , peer_{peer}
    , initiated_{true}
    , connecting_{true}
    , fleet_key_{fleet_key}
    , nonce_{make_nonce()}
    , opened_{now}
    , last_used_{now}
{
    socket_.connectNB(address);
    set_options();
    send_hello();
}

peer_connection::peer_connection(
    instance_id self, const Poco::Net::StreamSocket& accepted,
    std::string_view fleet_key, time_point now)
    : self_{self}
    , initiated_{false}
    , connecting_{false}
    , fleet_key_{fleet_key}
    , socket_{accepted}
    , nonce_{make_nonce()}
    , opened_{now}
    , last_used_{now}
{
    socket_.setBlocking(false);
    set_options();
    send_hello();
}

void peer_connection::set_options()
{
    socket_.setNoDelay(true);
    socket_.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

void peer_connection::send_hello()
{
    const auto hello = encode_hello({self_, nonce_});
    output_.insert(output_.end(), hello.begin(), hello.end());
}

absl::Status peer_connection::read(time_point now, const frame_handler& handler)
{
    std::vector<std::uint8_t> chunk(read_chunk);
    for (int i = 0; i < chunks_per_read; ++i)
    {
        int count = 0;
        try
        {
            count = socket_.receiveBytes(
                chunk.data(), static_cast<int>(chunk.size()));
        }
        catch (const Poco::Exception& error)
        {
            return closed_error(error.displayText());
        }
        if (count == 0)
        {
            return closed_error("by the peer");
        }
        if (count < 0)
        {
            return absl::OkStatus();
        }
        last_used_ = now;
        bytes_read_ += static_cast<std::uint64_t>(count);
        auto data = std::span{chunk}.first(static_cast<std::size_t>(count));
        if (!reader_)
        {
            const std::size_t wanted =
                std::min(data.size(), hello_size - hello_input_.size());
            hello_input_.insert(
                hello_input_.end(), data.begin(),
                data.begin() + static_cast<std::ptrdiff_t>(wanted));
            data = data.subspan(wanted);
            if (hello_input_.size() < hello_size)
            {
                continue;
            }
            if (absl::Status status = take_hello(); !status.ok())
            {
                return status;
            }
        }
        reader_->add(data);
        if (absl::Status status = take_frames(handler); !status.ok())
        {
            return status;
        }
        if (static_cast<std::size_t>(count) < chunk.size())
        {
            return absl::OkStatus();
        }
    }
    return absl::OkStatus();
}

absl::Status peer_connection::take_hello()
{
    const auto hello =
        decode_hello(std::span{hello_input_}.first<hello_size>());
    if (!hello.ok())
    {
        return hello.status();
    }
    if (initiated_ && hello->sender != peer_)
    {
        return make_error(
            error_kind::invalid_request,
            "another instance answers at the peer's address; check the "
            "instance ids and addresses in the settings");
    }
    peer_ = hello->sender;
    const connection_hello own{self_, nonce_};
    reader_.emplace(frame_authenticator{fleet_key_, *hello, own});
    output_authenticator_.emplace(fleet_key_, own, *hello);
    return absl::OkStatus();
}

absl::Status peer_connection::take_frames(const frame_handler& handler)
{
    while (true)
    {
        const auto envelope = reader_->next();
        if (!envelope.ok())
        {
            return envelope.status();
        }
        if (!envelope->has_value())
        {
            return absl::OkStatus();
        }
        ++frames_received_;
        if (absl::Status status = handler(**envelope); !status.ok())
        {
            return status;
        }
    }
}

absl::Status peer_connection::write(time_point now)
{
    connecting_ = false;
    std::size_t sent = 0;
    while (sent < output_.size())
    {
        int count = 0;
        try
        {
            count = socket_.sendBytes(
                output_.data() + sent, static_cast<int>(output_.size() - sent));
        }
        catch (const Poco::Exception& error)
        {
            // POCO 1.11 reports a full socket buffer as an exception, even
            // on a non-blocking socket.
            if (error.code() == POCO_EWOULDBLOCK)
            {
                break;
            }
            return closed_error(error.displayText());
        }
        if (count <= 0)
        {
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    if (sent > 0)
    {
        last_used_ = now;
        bytes_written_ += sent;
        output_.erase(
            output_.begin(),
            output_.begin() + static_cast<std::ptrdiff_t>(sent));
    }
    return absl::OkStatus();
}

void peer_connection::append(std::span<const std::uint8_t> envelope)
{
    append_frame(*output_authenticator_, envelope, output_);
}

} // namespace hickorygap
