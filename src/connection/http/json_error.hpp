#ifndef HICKORYGAP_CONNECTION_HTTP_JSON_ERROR_HPP
#define HICKORYGAP_CONNECTION_HTTP_JSON_ERROR_HPP

#include "common/error.hpp"
#include "common/time.hpp"

#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <string>

namespace hickorygap
{

// Error response to a request that is not served.
struct refusal
{
    error_kind kind = error_kind::internal;

    // Cause and remedy, sent to the caller.
    std::string message;

    // True only when it is certain that no backend server has run any part of
    // the request.
    bool not_run = true;

    // Delay after which a retry may succeed; zero when a retry would be
    // refused again.
    duration retry_after{0};
};

// Value of the Retry-After field: whole seconds, rounded up.
std::int64_t retry_after_seconds(duration retry_after);

Poco::Net::HTTPResponse::HTTPStatus http_status_of(error_kind kind);

// JSON body {"error": {"kind", "message", "not_run", "retry_after_s"}}; the
// last field is present only when a retry may succeed.
std::string error_body(const refusal& reason);

// Sends a refusal as status, Retry-After header and JSON body.
void send_refusal(
    Poco::Net::HTTPServerResponse& response, const refusal& reason);

} // namespace hickorygap

#endif
