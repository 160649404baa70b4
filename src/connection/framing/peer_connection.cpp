#include "connection/framing/peer_connection.hpp"

#include "common/error.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketDefs.h>
#include <netinet/tcp.h>

namespace hickorygap
{

namespace
{

// TCP_USER_TIMEOUT: the connection is closed when sent data stays
// unacknowledged for this long. Without it the kernel's retransmission timer
// grows to two minutes during a partition, and the connection would stay
// silent for as long after the partition has healed.
constexpr int tcp_user_timeout_ms = 5000;

// Bound the input read from one peer per poll, so that a busy peer does not
// delay the others.
constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;
constexpr int max_reads_per_poll = 4;

absl::Status closed_error(std::string_view detail)
{
    return make_error(
        error_kind::unreachable,
        "the connection to the peer was closed; the next message to the peer "
        "opens a new one (" +
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
    socket_.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, tcp_user_timeout_ms);
}

void peer_connection::send_hello()
{
    const auto hello = encode_hello({self_, nonce_});
    output_.insert(output_.end(), hello.begin(), hello.end());
}

absl::Status peer_connection::read(time_point now, const frame_handler& handler)
{
    std::vector<std::uint8_t> buffer(read_buffer_bytes);
    for (int i = 0; i < max_reads_per_poll; ++i)
    {
        int count = 0;
        try
        {
            count = socket_.receiveBytes(
                buffer.data(), static_cast<int>(buffer.size()));
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
        auto data = std::span{buffer}.first(static_cast<std::size_t>(count));
        if (!reader_)
        {
            const std::size_t hello_bytes =
                std::min(data.size(), hello_size - hello_input_.size());
            hello_input_.insert(
                hello_input_.end(), data.begin(),
                data.begin() + static_cast<std::ptrdiff_t>(hello_bytes));
            data = data.subspan(hello_bytes);
            if (hello_input_.size() < hello_size)
            {
                continue;
            }
            if (absl::Status status = process_hello(); !status.ok())
            {
                return status;
            }
        }
        reader_->add(data);
        if (absl::Status status = process_frames(handler); !status.ok())
        {
            return status;
        }
        if (static_cast<std::size_t>(count) < buffer.size())
        {
            return absl::OkStatus();
        }
    }
    return absl::OkStatus();
}

absl::Status peer_connection::process_hello()
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
            "another instance responded at the peer's address; check the "
            "instance ids and addresses in the settings");
    }
    peer_ = hello->sender;
    const connection_hello own{self_, nonce_};
    reader_.emplace(frame_authenticator{fleet_key_, *hello, own});
    output_authenticator_.emplace(fleet_key_, own, *hello);
    return absl::OkStatus();
}

absl::Status peer_connection::process_frames(const frame_handler& handler)
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
            // POCO 1.11 throws when the send buffer is full, even on a
            // non-blocking socket.
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
