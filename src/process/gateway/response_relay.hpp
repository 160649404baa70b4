#ifndef HICKORYGAP_PROCESS_GATEWAY_RESPONSE_RELAY_HPP
#define HICKORYGAP_PROCESS_GATEWAY_RESPONSE_RELAY_HPP

#include "common/time.hpp"
#include "connection/h1/event_splitter.hpp"
#include "connection/h1/response_reader.hpp"
#include "request/dialect/request_dialect.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorygap
{

// The connection to the caller, as one exchange uses it.
class exchange_caller
{
public:
    exchange_caller() = default;
    exchange_caller(const exchange_caller&) = delete;
    exchange_caller& operator=(const exchange_caller&) = delete;
    virtual ~exchange_caller() = default;

    // Sends bytes of the response.
    virtual void send(std::string_view bytes) = 0;

    // Bytes that are not yet written to the caller's socket.
    virtual std::size_t pending() const = 0;

    // The request or the response that is being handled holds another number of
    // bytes.
    virtual void on_buffers_changed() = 0;

    // Whether the response must announce that the connection closes.
    virtual bool closes_after_response() const = 0;

    // The response is complete.
    virtual void on_response_complete() = 0;

    // The response can't be completed; the connection must be closed so that
    // the truncated response does not look complete.
    virtual void on_response_aborted() = 0;
};

// Writes the response to one request: a whole response of a backend server, a
// stream event by event that several backend servers may continue in turn, or
// an error response of the router itself.
class response_relay
{
public:
    response_relay(exchange_caller& caller, const request_dialect& dialect);

    // Identifier of the request, for the response and the log.
    void set_attempt_id(std::string_view id);

    // The caller already has all events up to this one.
    void set_last_event(std::optional<std::uint64_t> event);

    // A new attempt starts at this backend server.
    void start_attempt(std::string_view backend);

    void
    send_response(const Poco::Net::HTTPResponse& head, std::string_view body);

    // Removes the complete events that have arrived and returns those that the
    // caller does not have yet; empty when there are none. They count as sent.
    // splitter: holds the start of an event of the current attempt.
    std::string take_events(response_reader& reader, event_splitter& splitter);

    // Sends events, after the head of the stream if they are the first.
    void
    send_events(const Poco::Net::HTTPResponse& head, std::string_view events);

    // Sends the end of the stream.
    void finish_stream(const Poco::Net::HTTPResponse& head);

    void send_refusal(
        Poco::Net::HTTPResponse::HTTPStatus status, std::string_view text,
        std::optional<duration> retry_after);

    // The head of a stream has been sent, so no other response is possible.
    bool has_started() const
    {
        return started_;
    }

    // Events that were sent, without comments.
    std::uint64_t events() const
    {
        return events_;
    }
    std::optional<std::uint64_t> last_event() const
    {
        return last_event_;
    }

private:
    void send_stream_head(const Poco::Net::HTTPResponse& head);
    std::string end_of_head() const;

    exchange_caller& caller_;
    const request_dialect& dialect_;
    std::string attempt_id_;
    std::string backend_;
    std::optional<std::uint64_t> last_event_;
    std::uint64_t events_ = 0;
    bool started_ = false;
};

} // namespace hickorygap

#endif
