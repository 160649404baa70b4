#ifndef HICKORYGAP_CONNECTION_HTTP_REQUEST_BODY_HPP
#define HICKORYGAP_CONNECTION_HTTP_REQUEST_BODY_HPP

#include "connection/http/json_error.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstddef>
#include <optional>
#include <string>

namespace hickorygap
{

// Reads a request's body into `body`. On failure returns the refusal for the
// caller, and marks the connection for closing when the start of the next
// request can't be determined.
std::optional<refusal> read_request_body(
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response, std::size_t limit,
    duration timeout, std::string& body);

} // namespace hickorygap

#endif
