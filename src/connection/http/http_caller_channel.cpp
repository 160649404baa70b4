#include "connection/http/http_caller_channel.hpp"

#include <fmt/format.h>

namespace hickorygap
{

http_caller_channel::http_caller_channel(
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
    : response_(response)
    , socket_(accepted_socket::of(request))
{
}

bool http_caller_channel::disconnected()
{
    return socket_ != nullptr && socket_->peer_disconnected();
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
        // HTTP/1.0 has no chunked encoding; closing the connection ends the
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
    return stream_->good() && !disconnected();
}

void http_caller_channel::fail_stream(const refusal& reason)
{
    send_event(fmt::format("event: error\ndata: {}\n\n", error_body(reason)));
    // The final "[DONE]" event is not sent, so that callers that ignore the
    // error event still see that the response is incomplete.
    response_.setKeepAlive(false);
}

} // namespace hickorygap
