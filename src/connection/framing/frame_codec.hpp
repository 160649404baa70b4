#ifndef HICKORYGAP_CONNECTION_FRAMING_FRAME_CODEC_HPP
#define HICKORYGAP_CONNECTION_FRAMING_FRAME_CODEC_HPP

#include "common/ids.hpp"

#include <absl/status/statusor.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Largest envelope that fits into one frame.
inline constexpr std::size_t max_frame_payload_bytes = 1U << 20U;

// Bytes before the envelope in a frame: the length field and the truncated
// HMAC.
inline constexpr std::size_t frame_header_size = 4 + 16;

using connection_nonce = std::array<std::uint8_t, 16>;

// First message of each side on a connection. It is not authenticated itself,
// but the MAC key of the frames that follow is derived from both hellos.
struct connection_hello
{
    instance_id sender = 0;
    connection_nonce nonce{};
};

// Encoded hello in bytes: magic number, sender id and nonce.
inline constexpr std::size_t hello_size = 4 + 4 + 16;

// Throws std::runtime_error when the system provides no random bytes.
connection_nonce make_nonce();

std::array<std::uint8_t, hello_size>
encode_hello(const connection_hello& hello);

// Errors: invalid_request when the bytes don't start with the magic number of
// this protocol.
absl::StatusOr<connection_hello>
decode_hello(std::span<const std::uint8_t, hello_size> data);

// Authenticates the frames of one direction of one connection. The key is
// derived from the fleet key, both ids and both nonces, and each MAC covers a
// sequence number. Frames replayed from another connection, from the other
// direction or from earlier on the same connection therefore fail.
class frame_authenticator
{
public:
    using mac = std::array<std::uint8_t, 16>;
    using session_key = std::array<std::uint8_t, 32>;

    frame_authenticator(
        std::string_view fleet_key, const connection_hello& sender,
        const connection_hello& receiver);

    // MAC of the next frame; advances the sequence number.
    mac next(std::span<const std::uint8_t> payload);

    // Number of MACs computed so far, which is the sequence number of the next
    // frame.
    std::uint64_t sequence() const
    {
        return sequence_;
    }

private:
    session_key key_{};
    std::uint64_t sequence_ = 0;
    std::vector<std::uint8_t> mac_input_;
};

// Appends an envelope to a buffer as an authenticated frame.
void append_frame(
    frame_authenticator& authenticator, std::span<const std::uint8_t> payload,
    std::vector<std::uint8_t>& output);

// Splits a byte stream into authenticated envelopes.
class frame_reader
{
public:
    explicit frame_reader(frame_authenticator authenticator);

    // Adds received bytes; frames may be split at any byte.
    void add(std::span<const std::uint8_t> data);

    // The next envelope, or nullopt until a complete frame has been added. The
    // span is valid until the next call of a member function. Errors:
    // payload_too_large, unauthorized; the connection must be closed then.
    absl::StatusOr<std::optional<std::span<const std::uint8_t>>> next();

private:
    frame_authenticator authenticator_;
    std::vector<std::uint8_t> buffer_;
    std::size_t consumed_ = 0;
};

} // namespace hickorygap

#endif
