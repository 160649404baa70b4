#ifndef HICKORYGAP_CONNECTION_HTTP_CALLER_LIMITS_HPP
#define HICKORYGAP_CONNECTION_HTTP_CALLER_LIMITS_HPP

#include "common/time.hpp"

#include <cstddef>

namespace hickorygap
{

// Limits on what a caller sends. The limits on the header block are in
// http_server_options.
struct caller_limits
{
    // Bytes of a request body.
    std::size_t body = std::size_t{1} << 20U;

    // Time for a caller to send its whole body.
    duration body_timeout{std::chrono::seconds{15}};

    // Requests of one organisation that one instance serves at once. Below
    // the number of traffic threads, so that one organisation can't take all.
    std::size_t streams_per_organisation = 48;

    // Bytes of a chat's name and of an idempotency key.
    std::size_t chat_name = 256;
    std::size_t idempotency_key = 128;

    // Nesting of the JSON body.
    std::size_t json_depth = 32;
};

} // namespace hickorygap

#endif
