#ifndef HICKORYGAP_CONNECTION_EVENT_STREAM_CONNECTION_HPP
#define HICKORYGAP_CONNECTION_EVENT_STREAM_CONNECTION_HPP

#include "common/address.hpp"
#include "connection/event/event_loop.hpp"

#include <Poco/Net/StreamSocket.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace hickorygap
{

// How a connection ended.
enum class connection_end
{
    // The peer closed the connection; all its bytes have been received.
    finished,

    // Connection reset or network error.
    reset,

    // The connection could not be established; nothing was sent.
    refused
};

// Receives the events of one connection. The observer must not destroy the
// connection directly from a callback, only through event_loop::defer.
class connection_observer
{
public:
    connection_observer() = default;
    connection_observer(const connection_observer&) = delete;
    connection_observer& operator=(const connection_observer&) = delete;
    virtual ~connection_observer() = default;

    // An outgoing connection was established.
    virtual void on_connected()
    {
    }

    // Bytes were added to input().
    virtual void on_input() = 0;

    // All output has been passed to the kernel.
    virtual void on_drained()
    {
    }

    // Called at most once, and not after close().
    virtual void on_end(connection_end end) = 0;
};

// Non-blocking TCP connection with input and output buffers.
class stream_connection final : public io_handler
{
public:
    // Takes ownership of an accepted socket.
    stream_connection(
        event_loop& loop, const Poco::Net::StreamSocket& socket,
        connection_observer& observer);
    ~stream_connection() override;

    // Starts connecting; on_connected or on_end(refused) follows. Errors:
    // unreachable when connecting fails immediately.
    static absl::StatusOr<std::unique_ptr<stream_connection>> connect(
        event_loop& loop, const numeric_address& address,
        connection_observer& observer);

    // Received bytes; the observer removes those that it has consumed.
    std::string& input()
    {
        return input_;
    }

    // Sends the bytes, or buffers them until the socket is writable.
    void write(std::string_view bytes);

    // Whether the kernel's receive buffer contains unread bytes.
    bool has_unread_input() const;

    // Number of bytes that were not passed to the kernel yet.
    std::size_t pending_output() const
    {
        return output_.size() - sent_;
    }

    // Pauses or resumes reading, as back-pressure on a peer that sends faster
    // than its bytes can be forwarded. While reading is paused, the end of the
    // connection is not detected.
    void set_reading(bool reading);

    // Sets TCP_USER_TIMEOUT: the connection ends when sent data stays
    // unacknowledged for this long, because the peer has vanished without a
    // reset.
    void set_acknowledgement_timeout(duration limit);

    bool is_open() const
    {
        return open_;
    }
    bool is_connected() const
    {
        return connected_;
    }

    // When input was last received; initially the time of the connection.
    time_point last_input() const
    {
        return last_input_;
    }

    // Closes immediately; pending output is lost.
    void close();

    // Closes once all pending output has been sent.
    void close_after_output();

    void on_ready(io_readiness readiness) override;

private:
    void finish_connect();
    void read_available();
    void send_pending();
    void update_interest();
    void end(connection_end reason);

    event_loop& loop_;
    Poco::Net::StreamSocket socket_;
    connection_observer& observer_;
    std::string input_;
    std::string output_;
    std::size_t sent_ = 0;
    time_point last_input_;
    bool open_ = true;
    bool connected_ = true;
    bool reading_ = true;
    bool writing_ = false;
    bool close_after_output_ = false;
};

} // namespace hickorygap

#endif
