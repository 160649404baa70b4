#ifndef HICKORYGAP_PROCESS_GATEWAY_REQUEST_OUTCOME_HPP
#define HICKORYGAP_PROCESS_GATEWAY_REQUEST_OUTCOME_HPP

#include <string_view>

namespace hickorygap
{

// How a caller's request ended, for logs and metrics.
enum class request_outcome
{
    // A backend server's answer was relayed whole.
    answered,

    // The same, and it reports a failure of the server.
    server_error,

    // No backend server could take it; it has not run.
    refused,

    // No answer in time; it may have run.
    timed_out,

    // The backend server broke off; it may have run.
    broke_off,

    // The same, after events had been relayed: the caller's connection ends.
    cut_midway,

    caller_left,

    // Answered by the router without trying: nothing ran.
    no_configuration,

    // It has crashed backend servers before.
    quarantined,
    no_route,
    no_key,
    invalid
};

std::string_view request_outcome_name(request_outcome outcome);

} // namespace hickorygap

#endif
