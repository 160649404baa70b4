#include "connection/http/backend_exchange.hpp"

#include "connection/h1/message_framing.hpp"
#include "version/configuration/rank_names.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>
#include <fmt/format.h>

#include <array>
#include <utility>

namespace hickorygap
{

namespace
{

// Limit on each write of request bytes to a backend server.
constexpr duration send_timeout = std::chrono::seconds{10};

// A response whose fields have the bytes that were received. Poco's own reader
// decodes them.
class received_response final : public Poco::Net::HTTPResponse
{
public:
    // Throws Poco::Net::MessageException when the head is malformed or too
    // long.
    void read(std::istream& stream) override
    {
        std::string head;
        for (int character = stream.get();
             character != std::istream::traits_type::eof() &&
             head.size() <= max_response_head_bytes;
             character = stream.get())
        {
            head.push_back(static_cast<char>(character));
        }
        if (head.size() > max_response_head_bytes || !parse_head(head, *this))
        {
            throw Poco::Net::MessageException{"malformed response head"};
        }
    }
};

Poco::Net::HTTPRequest
make_http_request(const backend_request& outgoing, const std::string& authority)
{
    Poco::Net::HTTPRequest request{
        outgoing.method, outgoing.path, Poco::Net::HTTPMessage::HTTP_1_1};
    request.set("Host", authority);
    request.setKeepAlive(false);
    if (!outgoing.body.empty() || outgoing.method == "POST" ||
        outgoing.method == "PUT")
    {
        request.setContentLength64(
            static_cast<Poco::Int64>(outgoing.body.size()));
    }
    if (!outgoing.content_type.empty())
    {
        request.setContentType(outgoing.content_type);
    }
    if (!outgoing.attempt.empty())
    {
        request.set("X-Attempt", outgoing.attempt);
        request.set("X-Rank", std::string{rank_name(outgoing.request_rank)});
    }
    if (outgoing.chat != 0)
    {
        request.set("X-Chat-Id", fmt::format("{:016x}", outgoing.chat));
    }
    if (outgoing.resume_from > 0)
    {
        request.set("X-Resume-From", std::to_string(outgoing.resume_from));
    }
    return request;
}

backend_response_head
parse_response_head(const Poco::Net::HTTPResponse& response)
{
    backend_response_head head;
    head.status = static_cast<std::uint16_t>(response.getStatus());
    head.content_type = response.getContentType();
    if (head.content_type == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_TYPE)
    {
        head.content_type.clear();
    }
    head.attempt = response.get("X-Attempt", "");
    Poco::UInt64 position = 0;
    if (Poco::NumberParser::tryParseUnsigned64(
            response.get("X-Resume-From", ""), position))
    {
        head.resumed_from = static_cast<std::size_t>(position);
    }
    return head;
}

} // namespace

backend_exchange::backend_exchange(std::function<bool()> cancelled)
    : socket_(new cancellable_socket{std::move(cancelled)})
{
}

void backend_exchange::set_deadline(time_point deadline)
{
    socket_->set_deadline(deadline);
}

bool backend_exchange::connect(
    const std::string& host, std::uint16_t port, duration timeout)
{
    authority_ = fmt::format("{}:{}", host, port);
    try
    {
        socket_->connect(
            Poco::Net::SocketAddress{host, port},
            Poco::Timespan{timeout.count()});
        socket_->setSendTimeout(Poco::Timespan{send_timeout.count()});
        socket_->setNoDelay(true);
        return true;
    }
    catch (const Poco::Exception&)
    {
        return false;
    }
}

bool backend_exchange::send(const backend_request& outgoing)
{
    try
    {
        return exchange_heads(outgoing);
    }
    catch (const Poco::Exception&)
    {
        return false;
    }
}

bool backend_exchange::exchange_heads(const backend_request& outgoing)
{
    session_ = std::make_unique<Poco::Net::HTTPClientSession>(
        Poco::Net::StreamSocket{socket_.duplicate()});
    Poco::Net::HTTPRequest request = make_http_request(outgoing, authority_);
    std::ostream& out = session_->sendRequest(request);
    out.write(
        outgoing.body.data(),
        static_cast<std::streamsize>(outgoing.body.size()));
    out.flush();
    received_response response;
    stream_ = &session_->receiveResponse(response);
    response_head_ = parse_response_head(response);
    return true;
}

backend_exchange::read_result
backend_exchange::read_event(std::string& event, std::size_t limit)
{
    event.clear();
    while (event.size() <= limit)
    {
        // getline has no size limit. Reading the buffered characters one by
        // one bounds the memory that an endless line can take.
        const int character = stream_->get();
        if (character == std::istream::traits_type::eof())
        {
            const bool clean_end =
                failure_reason() == cancellable_socket::failure::none &&
                event.empty();
            return clean_end ? read_result::end : read_result::failed;
        }
        if (character == '\r')
        {
            continue;
        }
        event.push_back(static_cast<char>(character));
        if (event == "\n")
        {
            event.clear();
        }
        else if (event.ends_with("\n\n"))
        {
            return read_result::ok;
        }
    }
    return read_result::too_large;
}

backend_exchange::read_result
backend_exchange::read_body(std::string& body, std::size_t limit)
{
    constexpr std::size_t buffer_bytes = 16384;
    body.clear();
    std::array<char, buffer_bytes> buffer{};
    while (true)
    {
        stream_->read(buffer.data(), buffer.size());
        body.append(buffer.data(), static_cast<std::size_t>(stream_->gcount()));
        if (body.size() > limit)
        {
            return read_result::too_large;
        }
        if (!stream_->good())
        {
            return failure_reason() == cancellable_socket::failure::none
                       ? read_result::end
                       : read_result::failed;
        }
    }
}

} // namespace hickorygap
