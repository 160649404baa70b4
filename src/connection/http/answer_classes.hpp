#ifndef HICKORYGAP_CONNECTION_HTTP_ANSWER_CLASSES_HPP
#define HICKORYGAP_CONNECTION_HTTP_ANSWER_CLASSES_HPP

#include <cstdint>
#include <string>

namespace hickorygap
{

// Status codes with which a backend server may refuse before it starts.
bool is_possible_refusal(std::uint16_t status);

// Whether the backend server itself says that it has run nothing: status 429,
// or 503 with a JSON field "not_run": true.
bool is_refused_before_start(std::uint16_t status, const std::string& body);

// Status codes of a failing server or a gateway in front of it, for which
// another backend server may do better.
bool is_gateway_failure(std::uint16_t status);

} // namespace hickorygap

#endif
