#ifndef HICKORYGAP_CONNECTION_EVENT_STREAM_CONNECTION_HPP
#define HICKORYGAP_CONNECTION_EVENT_STREAM_CONNECTION_HPP

#include "common/address.hpp"
#include "connection/event/byte_channel.hpp"
#include "connection/event/event_loop.hpp"

#include <Poco/Net/StreamSocket.h>
#include <absl/status/statusor.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace hickorygap
{

// Non-blocking TCP connection with input and output buffers.
class stream_connection final : public io_handler, public byte_channel
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

    std::string& input() override
    {
        return input_;
    }
    void write(std::string_view bytes) override;

    bool has_unread_input() const override;

    std::size_t pending_output() const override
    {
        return output_.size() - sent_;
    }

    // Memory of the buffers that are not empty.
    std::size_t buffered_bytes() const
    {
        return (input_.empty() ? 0 : input_.capacity()) +
               (output_.empty() ? 0 : output_.capacity());
    }

    // When bytes were last received or sent.
    time_point last_progress() const
    {
        return std::max(last_input_, last_output_);
    }

    void set_reading(bool reading) override;

    // Sets TCP_USER_TIMEOUT: the connection ends when sent data stays
    // unacknowledged for this long, because the peer has vanished without a
    // reset.
    void set_acknowledgement_timeout(duration limit);

    bool is_open() const override
    {
        return open_;
    }
    bool is_connected() const override
    {
        return connected_;
    }
    time_point last_input() const override
    {
        return last_input_;
    }
    void close() override;

    // Closes once all pending output has been sent.
    void close_after_output();

    // Passes the buffered input to the observer. An exception that the observer
    // lets out ends this connection only: whoever is at its other end must not
    // be able to end the process.
    void deliver_input();

    void on_ready(io_readiness readiness) override;

private:
    void finish_connect();
    void read_available();
    void send_pending();
    void remove_sent();
    void update_interest();
    void end(connection_end reason);

    event_loop& loop_;
    Poco::Net::StreamSocket socket_;
    connection_observer& observer_;
    std::string input_;
    std::string output_;
    std::size_t sent_ = 0;
    time_point last_input_;
    time_point last_output_;
    bool open_ = true;
    bool connected_ = true;
    bool reading_ = true;
    bool writing_ = false;
    bool close_after_output_ = false;

    // The peer has reset the connection, as a write has shown.
    bool write_failed_ = false;
};

} // namespace hickorygap

#endif
