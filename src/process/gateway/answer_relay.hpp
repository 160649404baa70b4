#ifndef HICKORYGAP_PROCESS_GATEWAY_ANSWER_RELAY_HPP
#define HICKORYGAP_PROCESS_GATEWAY_ANSWER_RELAY_HPP

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

// The caller's side of one exchange.
class exchange_caller
{
public:
    exchange_caller() = default;
    exchange_caller(const exchange_caller&) = delete;
    exchange_caller& operator=(const exchange_caller&) = delete;
    virtual ~exchange_caller() = default;

    // Bytes of the answer, as they are sent.
    virtual void send(std::string_view bytes) = 0;

    // Bytes that the caller has not taken yet.
    virtual std::size_t pending() const = 0;

    // Whether the answer must announce the end of the connection.
    virtual bool closes_after_answer() const = 0;

    // The answer is complete.
    virtual void on_answered() = 0;

    // The answer can't be completed; the connection must end so that it does
    // not look complete.
    virtual void on_broken() = 0;
};

// Writes the answer to one request: a backend server's answer as a whole, a
// stream event by event, which several backend servers may continue, or a
// refusal of the router's own.
class answer_relay
{
public:
    answer_relay(exchange_caller& caller, const request_dialect& dialect);

    // The request's identifier, for the answer and the log.
    void set_attempt_id(std::string_view id);

    // The caller has all events up to this one.
    void set_last_event(std::optional<std::uint64_t> event);

    // A backend server starts to answer.
    void start_attempt(std::string_view backend);

    void send_whole(const Poco::Net::HTTPResponse& head, std::string_view body);

    // Sends the complete events that have arrived; those that the caller has
    // are left out. True when the stream has reached its end.
    bool send_events(response_reader& reader);

    // The present server's bytes can't become an event any more.
    bool is_overlong() const
    {
        return splitter_.is_overlong();
    }

    // The stream is complete.
    void finish_stream(const Poco::Net::HTTPResponse& head);

    void send_refusal(
        Poco::Net::HTTPResponse::HTTPStatus status, std::string_view text,
        std::optional<duration> retry_after);

    // Head and perhaps events of a stream are sent, so no other answer is
    // possible.
    bool has_started() const
    {
        return started_;
    }

    // Events that were sent, comments aside.
    std::uint64_t events() const
    {
        return events_;
    }
    std::optional<std::uint64_t> last_event() const
    {
        return last_event_;
    }

private:
    std::string next_events();
    void send_stream_head(const Poco::Net::HTTPResponse& head);
    std::string end_of_head() const;

    exchange_caller& caller_;
    const request_dialect& dialect_;
    std::string attempt_id_;
    std::string backend_;
    event_splitter splitter_;
    std::optional<std::uint64_t> last_event_;
    std::uint64_t events_ = 0;
    bool started_ = false;
};

} // namespace hickorygap

#endif
