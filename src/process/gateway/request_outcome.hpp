#ifndef HICKORYGAP_PROCESS_GATEWAY_REQUEST_OUTCOME_HPP
#define HICKORYGAP_PROCESS_GATEWAY_REQUEST_OUTCOME_HPP

#include <string_view>

namespace hickorygap
{

// How a caller's request ended, for logs and metrics.
enum class request_outcome
{
    // A complete response of a backend server was relayed.
    answered,

    // A complete response was relayed, and it reports a server error.
    server_error,

    // No backend server could take the request; it has not run.
    refused,

    // No response in time; the request may have run.
    timed_out,

    // The backend server broke off; the request may have run.
    broke_off,

    // The backend server broke off after events had been relayed, so the
    // connection of the caller is closed.
    cut_midway,

    caller_left,

    // The router has no configuration or no backend list yet; the request has
    // not run.
    no_configuration,

    // The request has crashed backend servers before and was refused.
    quarantined,
    no_route,
    no_key,
    invalid
};

std::string_view request_outcome_name(request_outcome outcome);

} // namespace hickorygap

#endif
