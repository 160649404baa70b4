#ifndef HICKORYGAP_CONNECTION_HTTP_RESPONSE_CLASSIFICATION_HPP
#define HICKORYGAP_CONNECTION_HTTP_RESPONSE_CLASSIFICATION_HPP

#include <cstdint>
#include <string>

namespace hickorygap
{

// Whether the status code (429 or 503) may mean that the backend server
// rejected the request without running it.
bool is_possible_refusal(std::uint16_t status);

// Whether the response states that the request was not run: status 429, or
// 503 with "not_run": true in the JSON body or in its "error" object.
bool is_refused_before_start(std::uint16_t status, const std::string& body);

// Whether the status code (502 or 504) reports a failure of the backend server
// or of a gateway in front of it, so that another backend server may succeed.
bool is_gateway_failure(std::uint16_t status);

} // namespace hickorygap

#endif
