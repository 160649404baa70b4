#ifndef HICKORYGAP_CONNECTION_HTTP_JSON_ERROR_HPP
#define HICKORYGAP_CONNECTION_HTTP_JSON_ERROR_HPP

#include "common/error.hpp"
#include "common/time.hpp"

#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <string>

namespace hickorygap
{

// Final answer to a request that is not served.
struct refusal
{
    error_kind kind = error_kind::internal;

    // What was wrong and what to do about it.
    std::string message;

    // True only when it is certain that no backend server has run any part.
    bool not_run = true;

    // When it pays to come back; zero when a repeat would be refused again.
    duration retry_after{0};
};

// Whole seconds for the Retry-After field, rounded up.
std::int64_t retry_after_seconds(duration retry_after);

// Status code that stands for a kind.
Poco::Net::HTTPResponse::HTTPStatus http_status_of(error_kind kind);

// {"error": {"kind", "message", "not_run", "retry_after_s"}}; the last field
// is present only when a repeat pays.
std::string error_body(const refusal& reason);

// Sends a refusal with status, Retry-After header and body.
void send_refusal(
    Poco::Net::HTTPServerResponse& response, const refusal& reason);

} // namespace hickorygap

#endif
