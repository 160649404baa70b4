#ifndef HICKORYGAP_CONNECTION_HTTP_CALLER_REQUEST_LIMITS_HPP
#define HICKORYGAP_CONNECTION_HTTP_CALLER_REQUEST_LIMITS_HPP

#include "common/time.hpp"

#include <cstddef>

namespace hickorygap
{

// Limits on a caller's requests. The limits on the header block are in
// http_server_options.
struct caller_request_limits
{
    // Size of a request body, in bytes.
    std::size_t body = std::size_t{1} << 20U;

    // Time within which a caller must have sent the whole body.
    duration body_timeout{std::chrono::seconds{15}};

    // Concurrent requests of one organisation on one instance. Less than the
    // number of worker threads, so that one organisation can't occupy them
    // all.
    std::size_t streams_per_organisation = 48;

    std::size_t chat_id_bytes = 256;
    std::size_t idempotency_key_bytes = 128;

    // Nesting depth of the JSON body.
    std::size_t json_depth = 32;
};

} // namespace hickorygap

#endif
