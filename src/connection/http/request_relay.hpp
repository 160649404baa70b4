#ifndef HICKORYGAP_CONNECTION_HTTP_REQUEST_RELAY_HPP
#define HICKORYGAP_CONNECTION_HTTP_REQUEST_RELAY_HPP

#include "connection/http/caller_channel.hpp"
#include "connection/http/relay_context.hpp"
#include "connection/http/relay_options.hpp"
#include "connection/http/relayed_request.hpp"

namespace hickorygap
{

// Carries requests to backend servers and their answers back. One object
// serves all traffic threads; each call of relay serves one request and
// returns when the caller has its final answer or has left.
class request_relay
{
public:
    request_relay(
        control_client& control, shared_blame_tracker& blame,
        relay_counters& counters, const relay_options& options = {});

    void relay(const relayed_request& request, caller_channel& caller);

private:
    relay_context context_;
};

} // namespace hickorygap

#endif
