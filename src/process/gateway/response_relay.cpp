#include "process/gateway/response_relay.hpp"

#include "common/logging.hpp"
#include "connection/h1/http_endpoint.hpp"
#include "connection/h1/message_framing.hpp"

#include <fmt/format.h>

namespace hickorygap
{

namespace
{

using Poco::Net::HTTPResponse;

// Status line and end-to-end header fields of a backend server's response.
std::string relayed_head(const HTTPResponse& head)
{
    std::string text = fmt::format(
        "HTTP/1.1 {} {}\r\n", static_cast<int>(head.getStatus()),
        head.getReason());
    for (const auto& [name, value] : head)
    {
        if (!is_connection_field(name))
        {
            text += fmt::format("{}: {}\r\n", name, value);
        }
    }
    return text;
}

} // namespace

response_relay::response_relay(
    exchange_caller& caller, const request_dialect& dialect)
    : caller_{caller}
    , dialect_{dialect}
{
}

void response_relay::set_attempt_id(std::string_view id)
{
    attempt_id_ = id;
}

void response_relay::set_last_event(std::optional<std::uint64_t> event)
{
    last_event_ = event;
}

void response_relay::start_attempt(std::string_view backend)
{
    backend_ = backend;
}

std::string response_relay::end_of_head() const
{
    return caller_.closes_after_response() ? "Connection: close\r\n\r\n"
                                           : "\r\n";
}

void response_relay::send_response(
    const HTTPResponse& head, std::string_view body)
{
    std::string text = relayed_head(head);
    text += fmt::format("Content-Length: {}\r\n", body.size());
    text += end_of_head();
    text += body;
    caller_.send(text);
}

std::string
response_relay::take_events(response_reader& reader, event_splitter& splitter)
{
    splitter.add(reader.body());
    std::string batch;
    while (auto event = splitter.next())
    {
        // A server that resumes a stream may repeat events that the caller has.
        if (event->id && last_event_ && *event->id <= *last_event_)
        {
            continue;
        }
        if (event->id && last_event_ && *event->id != *last_event_ + 1)
        {
            log(log_level::warning, subsystem::http,
                "event_gap id={} backend={} event={} previous={}", attempt_id_,
                backend_, *event->id, *last_event_);
        }
        if (event->id)
        {
            last_event_ = event->id;
        }
        if (!event->is_comment)
        {
            ++events_;
        }
        batch += event->text;
    }
    return batch;
}

void response_relay::send_events(
    const HTTPResponse& head, std::string_view events)
{
    send_stream_head(head);
    caller_.send(fmt::format("{:x}\r\n{}\r\n", events.size(), events));
}

void response_relay::send_stream_head(const HTTPResponse& head)
{
    if (started_)
    {
        return;
    }
    started_ = true;
    std::string text = relayed_head(head);
    text += "Transfer-Encoding: chunked\r\n";
    text += end_of_head();
    caller_.send(text);
}

void response_relay::finish_stream(const HTTPResponse& head)
{
    send_stream_head(head);
    caller_.send("0\r\n\r\n");
}

void response_relay::send_refusal(
    HTTPResponse::HTTPStatus status, std::string_view text,
    std::optional<duration> retry_after)
{
    http_response answer;
    answer.status = status;
    answer.fields = dialect_.response_fields(attempt_id_);
    if (retry_after)
    {
        answer.fields.emplace_back(
            std::string{retry_after_field},
            fmt::format(
                "{:.2f}", std::chrono::duration<double>(*retry_after).count()));
    }
    answer.content_type = "text/plain";
    answer.body = text;
    caller_.send(encode_response(answer, caller_.closes_after_response()));
}

} // namespace hickorygap
