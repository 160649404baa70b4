#ifndef HICKORYGAP_CONNECTION_HTTP_REQUEST_RELAY_HPP
#define HICKORYGAP_CONNECTION_HTTP_REQUEST_RELAY_HPP

#include "connection/http/caller_channel.hpp"
#include "connection/http/relay_context.hpp"
#include "connection/http/relay_options.hpp"
#include "connection/http/relayed_request.hpp"

namespace hickorygap
{

// Forwards requests to backend servers and relays their responses. Shared by
// all worker threads; each call of `relay` serves one request and returns when
// the response is complete or the caller has disconnected.
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
