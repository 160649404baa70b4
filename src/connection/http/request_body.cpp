#include "connection/http/request_body.hpp"

#include "connection/http/accepted_socket.hpp"

#include <fmt/format.h>

#include <array>
#include <istream>

namespace hickorygap
{

namespace
{

// After a refusal, http_server reads and discards bodies up to this size (its
// unread_body_limit_bytes), so that the connection can be reused.
constexpr std::size_t discardable_body_bytes = std::size_t{1} << 20U;

refusal too_large(std::size_t limit)
{
    return {
        error_kind::payload_too_large,
        fmt::format("the body is over {} bytes; send a shorter one", limit),
        true,
        {}};
}

refusal incomplete()
{
    return {
        error_kind::request_timeout,
        "the body was not sent completely in time; send it at once",
        true,
        {}};
}

} // namespace

std::optional<refusal> read_request_body(
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response, std::size_t limit,
    duration timeout, std::string& body)
{
    constexpr std::size_t buffer_bytes = 16384;
    const bool has_length = request.hasContentLength();
    const auto content_length =
        has_length ? static_cast<std::size_t>(request.getContentLength64())
                   : std::size_t{0};
    if (content_length > limit)
    {
        response.setKeepAlive(
            response.getKeepAlive() &&
            content_length <= discardable_body_bytes);
        return too_large(limit);
    }
    if (auto* socket = accepted_socket::of(request))
    {
        socket->set_read_deadline(boot_now() + timeout);
    }
    if (request.getExpectContinue())
    {
        response.sendContinue();
        response.setKeepAlive(request.getKeepAlive());
    }
    std::istream& stream = request.stream();
    std::array<char, buffer_bytes> buffer{};
    while (stream.good())
    {
        stream.read(buffer.data(), buffer.size());
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limit)
        {
            return too_large(limit);
        }
    }
    // Poco reports a timeout as a bad stream, and a premature end of a chunked
    // body as a regular end.
    if (stream.bad() || (has_length && body.size() < content_length))
    {
        response.setKeepAlive(false);
        return incomplete();
    }
    return std::nullopt;
}

} // namespace hickorygap
