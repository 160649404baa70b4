#include "connection/framing/frame_codec.hpp"

#include "common/error.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <stdexcept>

namespace hickorygap
{

namespace
{

constexpr std::array<std::uint8_t, 4> hello_magic{'H', 'G', 'P', '1'};
constexpr std::string_view key_derivation_label = "hickorygap frame key 1";

template <typename Integer>
void append_big_endian(std::vector<std::uint8_t>& output, Integer value)
{
    for (std::size_t i = sizeof value; i-- > 0;)
    {
        output.push_back(static_cast<std::uint8_t>(value >> (8U * i)));
    }
}

std::uint32_t read_u32(std::span<const std::uint8_t> data)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
    {
        value = (value << 8U) | data[i];
    }
    return value;
}

std::array<std::uint8_t, 32> hmac_sha256(
    std::span<const std::uint8_t> key, std::span<const std::uint8_t> data)
{
    std::array<std::uint8_t, 32> result{};
    unsigned int length = 0;
    if (HMAC(
            EVP_sha256(), key.data(), static_cast<int>(key.size()), data.data(),
            data.size(), result.data(), &length) == nullptr)
    {
        throw std::runtime_error{
            "HMAC-SHA256 failed; install an OpenSSL library with SHA-256"};
    }
    return result;
}

} // namespace

connection_nonce make_nonce()
{
    connection_nonce nonce;
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1)
    {
        throw std::runtime_error{
            "OpenSSL got no random bytes from the operating system; check "
            "/dev/urandom"};
    }
    return nonce;
}

std::array<std::uint8_t, hello_size> encode_hello(const connection_hello& hello)
{
    std::vector<std::uint8_t> bytes{hello_magic.begin(), hello_magic.end()};
    append_big_endian(bytes, hello.sender);
    bytes.insert(bytes.end(), hello.nonce.begin(), hello.nonce.end());
    std::array<std::uint8_t, hello_size> result{};
    std::copy(bytes.begin(), bytes.end(), result.begin());
    return result;
}

absl::StatusOr<connection_hello>
decode_hello(std::span<const std::uint8_t, hello_size> data)
{
    if (!std::equal(hello_magic.begin(), hello_magic.end(), data.begin()))
    {
        return make_error(
            error_kind::invalid_request,
            "the peer's hello does not start with HGP1; check that the address "
            "and port are the peer address of an instance");
    }
    connection_hello hello;
    hello.sender = read_u32(data.subspan(hello_magic.size()));
    const auto nonce = data.last(hello.nonce.size());
    std::copy(nonce.begin(), nonce.end(), hello.nonce.begin());
    return hello;
}

frame_authenticator::frame_authenticator(
    std::string_view fleet_key, const connection_hello& sender,
    const connection_hello& receiver)
{
    std::vector<std::uint8_t> context{
        key_derivation_label.begin(), key_derivation_label.end()};
    for (const connection_hello* hello : {&sender, &receiver})
    {
        append_big_endian(context, hello->sender);
        context.insert(context.end(), hello->nonce.begin(), hello->nonce.end());
    }
    const std::vector<std::uint8_t> key{fleet_key.begin(), fleet_key.end()};
    key_ = hmac_sha256(key, context);
}

frame_authenticator::mac
frame_authenticator::next(std::span<const std::uint8_t> payload)
{
    mac_input_.clear();
    append_big_endian(mac_input_, sequence_++);
    mac_input_.insert(mac_input_.end(), payload.begin(), payload.end());
    const auto full = hmac_sha256(key_, mac_input_);
    mac result{};
    std::copy_n(full.begin(), result.size(), result.begin());
    return result;
}

void append_frame(
    frame_authenticator& authenticator, std::span<const std::uint8_t> payload,
    std::vector<std::uint8_t>& output)
{
    const auto mac = authenticator.next(payload);
    append_big_endian(output, static_cast<std::uint32_t>(payload.size()));
    output.insert(output.end(), mac.begin(), mac.end());
    output.insert(output.end(), payload.begin(), payload.end());
}

frame_reader::frame_reader(frame_authenticator authenticator)
    : authenticator_{std::move(authenticator)}
{
}

void frame_reader::add(std::span<const std::uint8_t> data)
{
    buffer_.erase(
        buffer_.begin(),
        buffer_.begin() + static_cast<std::ptrdiff_t>(consumed_));
    consumed_ = 0;
    buffer_.insert(buffer_.end(), data.begin(), data.end());
}

absl::StatusOr<std::optional<std::span<const std::uint8_t>>>
frame_reader::next()
{
    const auto unread = std::span{buffer_}.subspan(consumed_);
    if (unread.size() < sizeof(std::uint32_t))
    {
        return std::nullopt;
    }
    const std::size_t size = read_u32(unread);
    if (size == 0 || size > max_frame_payload_bytes)
    {
        return make_error(
            error_kind::payload_too_large,
            "the frame's payload length is zero or larger than 1 MiB; check "
            "that all instances run the same release");
    }
    if (unread.size() < frame_header_size + size)
    {
        return std::nullopt;
    }
    const auto payload = unread.subspan(frame_header_size, size);
    const auto expected = authenticator_.next(payload);
    // Compared in constant time, so that the duration reveals nothing about
    // the expected code.
    if (CRYPTO_memcmp(
            expected.data(), unread.data() + sizeof(std::uint32_t),
            expected.size()) != 0)
    {
        return make_error(
            error_kind::unauthorized,
            "the frame's message authentication code does not match; check "
            "that all instances have the same fleet key");
    }
    consumed_ += frame_header_size + size;
    return std::span<const std::uint8_t>{payload};
}

} // namespace hickorygap
