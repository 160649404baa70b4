#include "connection/http/backend_exchange.hpp"

#include "version/configuration/rank_names.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>
#include <fmt/format.h>

#include <array>
#include <utility>

namespace hickorygap
{

namespace
{

// Time for a backend server to take a request's bytes.
constexpr duration send_timeout = std::chrono::seconds{10};

Poco::Net::HTTPRequest
make_request(const backend_call& call, const std::string& authority)
{
    Poco::Net::HTTPRequest request{
        call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1};
    request.set("Host", authority);
    request.setKeepAlive(false);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
    {
        request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    }
    if (!call.content_type.empty())
    {
        request.setContentType(call.content_type);
    }
    if (!call.attempt.empty())
    {
        request.set("X-Attempt", call.attempt);
        request.set("X-Rank", std::string{rank_name(call.request_rank)});
    }
    if (call.chat != 0)
    {
        request.set("X-Chat-Id", fmt::format("{:016x}", call.chat));
    }
    if (call.resume_from > 0)
    {
        request.set("X-Resume-From", std::to_string(call.resume_from));
    }
    return request;
}

backend_answer read_head(const Poco::Net::HTTPResponse& response)
{
    backend_answer answer;
    answer.status = static_cast<std::uint16_t>(response.getStatus());
    answer.content_type = response.getContentType();
    if (answer.content_type == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_TYPE)
    {
        answer.content_type.clear();
    }
    answer.attempt = response.get("X-Attempt", "");
    Poco::UInt64 position = 0;
    if (Poco::NumberParser::tryParseUnsigned64(
            response.get("X-Resume-From", ""), position))
    {
        answer.resumed_from = static_cast<std::size_t>(position);
    }
    return answer;
}

} // namespace

backend_exchange::backend_exchange(std::function<bool()> cancelled)
    : socket_(new watched_socket{std::move(cancelled)})
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

bool backend_exchange::send(const backend_call& call)
{
    try
    {
        return exchange_heads(call);
    }
    catch (const Poco::Exception&)
    {
        return false;
    }
}

bool backend_exchange::exchange_heads(const backend_call& call)
{
    session_ = std::make_unique<Poco::Net::HTTPClientSession>(
        Poco::Net::StreamSocket{socket_.duplicate()});
    Poco::Net::HTTPRequest request = make_request(call, authority_);
    std::ostream& out = session_->sendRequest(request);
    out.write(call.body.data(), static_cast<std::streamsize>(call.body.size()));
    out.flush();
    Poco::Net::HTTPResponse response;
    stream_ = &session_->receiveResponse(response);
    answer_ = read_head(response);
    return true;
}

backend_exchange::read_result
backend_exchange::read_event(std::string& event, std::size_t limit)
{
    event.clear();
    while (event.size() <= limit)
    {
        // getline takes no limit; the buffered characters are read one by one
        // instead, so that an endless line can't fill the memory.
        const int character = stream_->get();
        if (character == std::istream::traits_type::eof())
        {
            const bool regular =
                why_failed() == watched_socket::failure::none && event.empty();
            return regular ? read_result::end : read_result::failed;
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
    constexpr std::size_t chunk = 16384;
    body.clear();
    std::array<char, chunk> buffer{};
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
            return why_failed() == watched_socket::failure::none
                       ? read_result::end
                       : read_result::failed;
        }
    }
}

} // namespace hickorygap
