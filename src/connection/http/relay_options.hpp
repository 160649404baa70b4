#ifndef HICKORYGAP_CONNECTION_HTTP_RELAY_OPTIONS_HPP
#define HICKORYGAP_CONNECTION_HTTP_RELAY_OPTIONS_HPP

#include "common/time.hpp"
#include "request/attempt/retry_budget.hpp"

#include <cstddef>
#include <cstdint>

namespace hickorygap
{

struct relay_options
{
    // Time for a backend server to accept a connection.
    duration connect_timeout{std::chrono::seconds{1}};

    // Time from sending the request to the end of the response; for streams,
    // to the response header.
    duration response_timeout{std::chrono::minutes{2}};

    // Longest gap between two events of a stream.
    duration event_timeout{std::chrono::seconds{30}};

    // Maximum attempts per request, including continuations of its stream.
    std::uint8_t attempt_limit = 4;

    std::size_t response_limit_bytes = std::size_t{8} << 20U;
    std::size_t event_limit_bytes = std::size_t{1} << 20U;

    // Response body of a non-repeatable call. The response is stored in the
    // voters' log, whose frames hold at most 1 MiB.
    std::size_t call_response_limit_bytes = std::size_t{64} << 10U;

    // Time limit of the health check after a connection failure, which tells
    // whether the backend server is dead.
    duration health_timeout{std::chrono::milliseconds{500}};

    retry_budget_options retries;
};

} // namespace hickorygap

#endif
