#ifndef HICKORYGAP_CONNECTION_FRAMING_PEER_CONNECTION_HPP
#define HICKORYGAP_CONNECTION_FRAMING_PEER_CONNECTION_HPP

#include "common/time.hpp"
#include "connection/framing/frame_codec.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <optional>
#include <string>

namespace hickorygap
{

// TCP connection to another instance: an exchange of hellos, then frames in
// both directions. Non-blocking; not thread-safe.
class peer_connection
{
public:
    using frame_handler =
        std::function<absl::Status(std::span<const std::uint8_t> envelope)>;

    // Opens a connection to a peer with a known id.
    peer_connection(
        instance_id self, instance_id peer,
        const Poco::Net::SocketAddress& address, std::string_view fleet_key,
        time_point now);

    // Takes ownership of an accepted connection; the peer's id is read from
    // its hello.
    peer_connection(
        instance_id self, const Poco::Net::StreamSocket& accepted,
        std::string_view fleet_key, time_point now);

    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;

    // Reads available input and passes each authenticated envelope to the
    // handler. Errors: unreachable (closed or broken), unauthorized,
    // payload_too_large, invalid_request, and errors of the handler.
    absl::Status read(time_point now, const frame_handler& handler);

    // Writes buffered output until the socket would block. Errors: unreachable.
    absl::Status write(time_point now);

    // Appends an envelope to the output buffer; requires ready_to_send().
    void append(std::span<const std::uint8_t> envelope);

    // Whether the hellos were exchanged and, on an accepted connection, the
    // peer has proved with a valid frame that it has the fleet key.
    bool ready_to_send() const
    {
        return output_authenticator_.has_value() &&
               (initiated_ || frames_received_ > 0);
    }

    // Whether an authenticated frame has arrived.
    bool authenticated() const
    {
        return frames_received_ > 0;
    }

    bool wants_write() const
    {
        return connecting_ || !output_.empty();
    }
    std::size_t buffered() const
    {
        return output_.size();
    }
    bool initiated() const
    {
        return initiated_;
    }
    // Zero on an accepted connection until the peer's hello has arrived.
    instance_id peer() const
    {
        return peer_;
    }
    const Poco::Net::StreamSocket& socket() const
    {
        return socket_;
    }
    time_point opened() const
    {
        return opened_;
    }
    // When bytes were last read or written.
    time_point last_used() const
    {
        return last_used_;
    }
    // The take functions return the count since their last call and reset it.
    std::uint64_t take_bytes_read()
    {
        return std::exchange(bytes_read_, 0);
    }
    std::uint64_t take_bytes_written()
    {
        return std::exchange(bytes_written_, 0);
    }

private:
    void set_options();
    void send_hello();
    absl::Status process_hello();
    absl::Status process_frames(const frame_handler& handler);

    instance_id self_;
    instance_id peer_ = 0;
    bool initiated_;
    bool connecting_;
    std::string fleet_key_;
    Poco::Net::StreamSocket socket_;
    connection_nonce nonce_;
    time_point opened_;
    time_point last_used_;
    std::vector<std::uint8_t> hello_input_;
    std::optional<frame_reader> reader_;
    std::optional<frame_authenticator> output_authenticator_;
    std::vector<std::uint8_t> output_;
    std::uint64_t frames_received_ = 0;
    std::uint64_t bytes_read_ = 0;
    std::uint64_t bytes_written_ = 0;
};

} // namespace hickorygap

#endif
