#include "connection/event/stream_connection.hpp"

#include "common/error.hpp"
#include "common/logging.hpp"
#include "common/text.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <exception>
#include <typeinfo>
#include <utility>

namespace hickorygap
{

namespace
{

// Read buffer, large enough for a typical request header or several events of a
// stream.
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;

// An empty buffer keeps this much memory for its next use.
constexpr std::size_t retained_buffer_bytes = std::size_t{4} * 1024;

// Sent bytes are removed from the front of the output from this size on, so
// that the buffer of a stream that is never empty does not grow with it.
constexpr std::size_t removed_output_bytes = std::size_t{64} * 1024;

// Empties the buffer, and gives its memory back if it was large.
void clear_buffer(std::string& buffer)
{
    if (buffer.capacity() > retained_buffer_bytes)
    {
        release_memory(buffer);
    }
    else
    {
        buffer.clear();
    }
}

} // namespace

stream_connection::stream_connection(
    event_loop& loop, const Poco::Net::StreamSocket& socket,
    connection_observer& observer)
    : loop_{loop}
    , socket_{socket}
    , observer_{observer}
    , last_input_{loop.now()}
    , last_output_{loop.now()}
{
    socket_.setBlocking(false);
    const int on = 1;
    ::setsockopt(
        socket_.impl()->sockfd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    loop_.add(socket_.impl()->sockfd(), *this, true, false);
}

stream_connection::~stream_connection()
{
    close();
}

absl::StatusOr<std::unique_ptr<stream_connection>> stream_connection::connect(
    event_loop& loop, const numeric_address& address,
    connection_observer& observer)
{
    try
    {
        Poco::Net::StreamSocket socket;
        socket.connectNB(Poco::Net::SocketAddress{address.host, address.port});
        auto connection =
            std::make_unique<stream_connection>(loop, socket, observer);
        connection->connected_ = false;
        connection->update_interest();
        return connection;
    }
    catch (const Poco::Exception& error)
    {
        return make_error(
            error_kind::unreachable,
            fmt::format(
                "can't connect to {}: {}; check the address and the limit of "
                "open file descriptors",
                format_address(address.host, address.port),
                error.displayText()));
    }
}

void stream_connection::write(std::string_view bytes)
{
    if (!open_)
    {
        return;
    }
    output_.append(bytes);
    if (connected_ && !writing_)
    {
        send_pending();
    }
}

void stream_connection::set_reading(bool reading)
{
    if (reading_ != reading)
    {
        reading_ = reading;
        update_interest();
    }
}

void stream_connection::set_acknowledgement_timeout(duration limit)
{
    const auto milliseconds = static_cast<unsigned int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    ::setsockopt(
        socket_.impl()->sockfd(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
        sizeof milliseconds);
}

bool stream_connection::has_unread_input() const
{
    char next = 0;
    return open_ && ::recv(
                        socket_.impl()->sockfd(), &next, sizeof next,
                        MSG_PEEK | MSG_DONTWAIT) > 0;
}

void stream_connection::close()
{
    if (!open_)
    {
        return;
    }
    open_ = false;
    loop_.remove(socket_.impl()->sockfd());
    try
    {
        socket_.close();
    }
    catch (const Poco::Exception&)
    {
        // The descriptor is released even when closing it reports an error.
        return;
    }
}

void stream_connection::close_after_output()
{
    close_after_output_ = true;
    if (pending_output() == 0)
    {
        close();
    }
}

void stream_connection::on_ready(io_readiness readiness)
{
    if (!connected_)
    {
        finish_connect();
        return;
    }
    if (readiness.writable)
    {
        send_pending();
    }
    if (open_ && readiness.readable)
    {
        read_available();
    }
}

void stream_connection::finish_connect()
{
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(
        socket_.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
    {
        end(connection_end::refused);
        return;
    }
    connected_ = true;
    last_input_ = loop_.now();
    update_interest();
    observer_.on_connected();
    if (open_)
    {
        send_pending();
    }
}

void stream_connection::read_available()
{
    std::array<char, read_buffer_bytes> buffer;
    const ssize_t count =
        ::recv(socket_.impl()->sockfd(), buffer.data(), buffer.size(), 0);
    if (count > 0)
    {
        last_input_ = loop_.now();
        input_.append(buffer.data(), static_cast<std::size_t>(count));
        deliver_input();
    }
    else if (count == 0)
    {
        // The failure of a write takes the error of a reset, so that the end of
        // the input looks orderly. The peer has not received the output then,
        // nor has it if some is still waiting.
        end(write_failed_ || pending_output() > 0 ? connection_end::reset
                                                  : connection_end::finished);
    }
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
    {
        end(connection_end::reset);
    }
}

void stream_connection::deliver_input()
{
    try
    {
        observer_.on_input();
        if (input_.empty())
        {
            clear_buffer(input_);
        }
    }
    catch (const std::exception& error)
    {
        log(log_level::error, subsystem::network,
            "input_not_handled type={} error=\"{}\"", typeid(error).name(),
            error.what());
        end(connection_end::reset);
    }
}

void stream_connection::send_pending()
{
    while (pending_output() > 0)
    {
        const ssize_t count = ::send(
            socket_.impl()->sockfd(), output_.data() + sent_, pending_output(),
            MSG_NOSIGNAL);
        if (count < 0)
        {
            if (errno == EINTR)
            {
                continue;
            }
            if (errno == EAGAIN || errno == EWOULDBLOCK)
            {
                break;
            }
            // The connection ends with the next read, after the input that
            // arrived before the reset.
            write_failed_ = true;
            clear_buffer(output_);
            sent_ = 0;
            break;
        }
        sent_ += static_cast<std::size_t>(count);
        last_output_ = loop_.now();
    }
    if (pending_output() == 0)
    {
        const bool had_output = !output_.empty();
        clear_buffer(output_);
        sent_ = 0;
        if (close_after_output_)
        {
            close();
            return;
        }
        if (writing_)
        {
            update_interest();
        }
        if (had_output)
        {
            observer_.on_drained();
        }
        return;
    }
    remove_sent();
    if (!writing_)
    {
        update_interest();
    }
}

void stream_connection::remove_sent()
{
    if (sent_ >= removed_output_bytes && sent_ >= pending_output())
    {
        output_.erase(0, sent_);
        sent_ = 0;
    }
}

void stream_connection::update_interest()
{
    if (!open_)
    {
        return;
    }
    writing_ = !connected_ || pending_output() > 0;
    loop_.change(socket_.impl()->sockfd(), connected_ && reading_, writing_);
}

void stream_connection::end(connection_end reason)
{
    if (open_)
    {
        close();
        observer_.on_end(reason);
    }
}

} // namespace hickorygap
