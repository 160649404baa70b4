#ifndef HICKORYGAP_REQUEST_RATE_LIMIT_OBSERVED_LIMIT_HPP
#define HICKORYGAP_REQUEST_RATE_LIMIT_OBSERVED_LIMIT_HPP

#include "request/dialect/request_dialect.hpp"
#include "request/rate_limit/backend_limit.hpp"

#include <optional>

namespace hickorygap
{

// The limit that a response of the backend server names. nullopt when it can't
// be read: then the limit that is known stays in force. A limit of requests
// takes precedence over the rejections that the server tolerates.
std::optional<backend_limit> observed_limit(
    backend_server_id backend, const backend_response_info& response);

} // namespace hickorygap

#endif
