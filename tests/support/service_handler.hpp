#ifndef HICKORYGAP_TESTS_SUPPORT_SERVICE_HANDLER_HPP
#define HICKORYGAP_TESTS_SUPPORT_SERVICE_HANDLER_HPP

#include "common/time.hpp"
#include "support/stand_in_http.hpp"

#include <string>

namespace hickorygap::testing
{

struct service_options
{
    // Every run appends a line with method, path and body to this file.
    std::string log_file;

    // Duration of a run, before its response is sent.
    duration delay{0};
    std::uint32_t slots = 8;

    // When the body contains this text, the process exits between logging the
    // run and sending the response; empty: never.
    std::string crash_marker;
};

// HTTP API of a simulated plain service: every request but GET /load is a run,
// so that the log file reveals a call that ran twice. Echoes X-Attempt.
stand_in_function make_service_handler(const service_options& options);

} // namespace hickorygap::testing

#endif
