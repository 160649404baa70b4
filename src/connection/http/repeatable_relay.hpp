#ifndef HICKORYGAP_CONNECTION_HTTP_REPEATABLE_RELAY_HPP
#define HICKORYGAP_CONNECTION_HTTP_REPEATABLE_RELAY_HPP

#include "connection/http/backend_exchange.hpp"
#include "connection/http/blame_guard.hpp"
#include "connection/http/relay_context.hpp"
#include "request/attempt/attempt.hpp"
#include "request/attempt/stream_progress.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hickorygap
{

// Relays one repeatable request, which is retried when an attempt fails.
class repeatable_relay
{
public:
    repeatable_relay(
        relay_context& context, const relayed_request& request,
        caller_channel& caller);

    void run();

private:
    enum class attempt_result
    {
        // The response is complete or the caller has disconnected.
        finished,
        // The attempt failed and may be retried.
        failed
    };

    // A granted attempt with its backend server and its connection.
    struct running_attempt
    {
        attempt& granted;
        blame_guard& blame;
        const backend_server& server;
        backend_exchange& exchange;
    };

    attempt_result
    run_attempt(const placement_query& query, const placement_grant& grant);
    attempt_result run_exchange(running_attempt& running);
    attempt_result relay_response(running_attempt& running);
    attempt_result relay_possible_refusal(running_attempt& running);
    attempt_result relay_complete_response(running_attempt& running);
    attempt_result relay_stream(running_attempt& running);
    attempt_result
    relay_event(running_attempt& running, const std::string& event);
    attempt_result on_connection_failure(running_attempt& running);
    attempt_result
    on_failed(running_attempt& running, wire::attempt_outcome outcome);
    attempt_result on_caller_disconnected(running_attempt& running);
    attempt_result
    on_unusable_response(running_attempt& running, const char* message);
    void on_completed(running_attempt& running);
    bool begin_stream_attempt(const backend_response_head& head);
    bool prepare_retry();
    void fail_request(refusal reason);
    backend_request make_backend_request(const attempt& granted) const;

    relay_context& context_;
    const relayed_request& request_;
    caller_channel& caller_;
    stream_progress progress_;

    // Placement deadline, renewed for each continuation of a stream.
    time_point deadline_;
    std::uint8_t attempts_ = 0;
    bool may_have_run_ = false;
    bool stream_started_ = false;
    std::vector<backend_server_id> excluded_;
};

} // namespace hickorygap

#endif
