#ifndef HICKORYGAP_TESTS_SUPPORT_SERVICE_HANDLER_HPP
#define HICKORYGAP_TESTS_SUPPORT_SERVICE_HANDLER_HPP

#include "common/time.hpp"
#include "support/stand_in_http.hpp"

#include <string>

namespace hickorygap::testing
{

struct service_options
{
    // Each run appends one line to this file: method, path, body.
    std::string log_file;

    // Time that a run takes before it answers.
    duration delay{0};
    std::uint32_t slots = 8;

    // Exits after the run was written and before it is answered when the body
    // contains this text; empty for never.
    std::string crash_marker;
};

// Handler of a stand-in plain service: every path but GET /load is a run. The
// file shows a call that ran twice. X-Attempt is echoed.
stand_in_function make_service_handler(const service_options& options);

} // namespace hickorygap::testing

#endif
