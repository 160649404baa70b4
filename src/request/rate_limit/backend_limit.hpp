#ifndef HICKORYGAP_REQUEST_RATE_LIMIT_BACKEND_LIMIT_HPP
#define HICKORYGAP_REQUEST_RATE_LIMIT_BACKEND_LIMIT_HPP

#include "common/ids.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace hickorygap
{

// What a backend server said about the requests that it accepts.
struct backend_limit
{
    backend_server_id backend = 0;

    // Requests per second from all routers together; nullopt when the server
    // no longer names a limit.
    std::optional<double> requests_per_second;

    friend bool
    operator==(const backend_limit&, const backend_limit&) = default;
};

// All limits of the fleet, as one leader knows them.
struct limit_table
{
    // Differs between leaders, and changes with each change of the table.
    std::uint64_t version = 0;
    std::vector<backend_limit> limits;
};

// Rate at which a server with a limit is sent requests. A server that accepts
// next to nothing still gets one from time to time, because only its responses
// tell when the limit ends.
inline double permitted_rate(double limit)
{
    constexpr double min_requests_per_second = 0.2;
    return std::max(limit, min_requests_per_second);
}

} // namespace hickorygap

#endif
