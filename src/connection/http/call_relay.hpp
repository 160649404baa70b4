#ifndef HICKORYGAP_CONNECTION_HTTP_CALL_RELAY_HPP
#define HICKORYGAP_CONNECTION_HTTP_CALL_RELAY_HPP

#include "connection/http/relay_context.hpp"
#include "request/attempt/attempt.hpp"

#include <optional>

namespace hickorygap
{

// Relays one non-repeatable call. A backend server is chosen first, so that
// overload uses up no key; then the intent is committed, the call is sent
// once and its outcome is committed.
class call_relay
{
public:
    call_relay(
        relay_context& context, const relayed_request& request,
        caller_channel& caller);

    void run();

private:
    void
    run_granted(const placement_query& query, const placement_grant& grant);
    void run_permitted(
        const placement_query& query, attempt& granted,
        const idempotent_call& call);
    std::optional<recorded_response> send_once(
        const placement_query& query, attempt& granted,
        const backend_server& server);
    void refuse_call(const absl::Status& status);

    relay_context& context_;
    const relayed_request& request_;
    caller_channel& caller_;
};

} // namespace hickorygap

#endif
