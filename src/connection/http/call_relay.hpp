#ifndef HICKORYGAP_CONNECTION_HTTP_CALL_RELAY_HPP
#define HICKORYGAP_CONNECTION_HTTP_CALL_RELAY_HPP

#include "connection/http/backend_exchange.hpp"
#include "connection/http/blame_guard.hpp"
#include "connection/http/relay_context.hpp"
#include "request/attempt/attempt.hpp"

#include <optional>

namespace hickorygap
{

// Relays one non-repeatable call. A backend server is selected and connected
// first, so that neither overload nor a lost server uses up the idempotency
// key. Then the intent is committed, the call is sent at most once, and its
// outcome is committed.
class call_relay
{
public:
    call_relay(
        relay_context& context, const relayed_request& request,
        caller_channel& caller);

    void run();

private:
    // A granted call with an open connection to its backend server.
    struct running_call
    {
        attempt& granted;
        blame_guard& blame;
        const backend_server& server;
        backend_exchange& exchange;
    };

    void
    run_granted(const placement_query& query, const placement_grant& grant);
    void run_connected(const running_call& running);
    void
    run_permitted(const running_call& running, const idempotent_call& call);
    std::optional<recorded_response> send_once(const running_call& running);
    std::optional<recorded_response> read_response(const running_call& running);
    void record_server_loss(const running_call& running);
    void refuse_call(const absl::Status& status);

    relay_context& context_;
    const relayed_request& request_;
    caller_channel& caller_;
};

} // namespace hickorygap

#endif
