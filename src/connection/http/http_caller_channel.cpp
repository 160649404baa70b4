#include "connection/http/http_caller_channel.hpp"

#include <fmt/format.h>

namespace hickorygap
{

http_caller_channel::http_caller_channel(
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
    : response_(response)
    , socket_(connection_socket::of(request))
{
}

bool http_caller_channel::left()
{
    return socket_ != nullptr && socket_->peer_left();
}

void http_caller_channel::refuse(const refusal& reason)
{
    send_refusal(response_, reason);
}

void http_caller_channel::respond(
    std::uint16_t status, const std::string& content_type,
    std::string_view body)
{
    response_.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    if (!content_type.empty())
    {
        response_.setContentType(content_type);
    }
    response_.sendBuffer(body.data(), body.size());
}

void http_caller_channel::start_stream()
{
    response_.setContentType("text/event-stream");
    response_.set("Cache-Control", "no-cache");
    if (response_.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0)
    {
        // Version 1.0 knows no chunks; the end of the connection ends the
        // stream.
        response_.setKeepAlive(false);
    }
    else
    {
        response_.setChunkedTransferEncoding(true);
    }
    stream_ = &response_.send();
    stream_->flush();
}

bool http_caller_channel::send_event(std::string_view event)
{
    stream_->write(event.data(), static_cast<std::streamsize>(event.size()));
    stream_->flush();
    return stream_->good() && !left();
}

void http_caller_channel::fail_stream(const refusal& reason)
{
    send_event(fmt::format("event: error\ndata: {}\n\n", error_body(reason)));
    // The last event "[DONE]" is missing, so that callers that don't know the
    // error event see that the answer is incomplete.
    response_.setKeepAlive(false);
}

} // namespace hickorygap
