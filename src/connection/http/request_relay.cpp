#include "connection/http/request_relay.hpp"

#include "connection/http/call_relay.hpp"
#include "connection/http/repeatable_relay.hpp"

namespace hickorygap
{

request_relay::request_relay(
    control_client& control, shared_blame_tracker& blame,
    relay_counters& counters, const relay_options& options)
    : context_(control, blame, counters, options)
{
}

void request_relay::relay(
    const relayed_request& request, caller_channel& caller)
{
    ++context_.counters().requests;
    if (request.target->repeatable)
    {
        repeatable_relay{context_, request, caller}.run();
    }
    else
    {
        call_relay{context_, request, caller}.run();
    }
}

} // namespace hickorygap
