#ifndef HICKORYGAP_REQUEST_RATE_LIMIT_BACKEND_LIMIT_HPP
#define HICKORYGAP_REQUEST_RATE_LIMIT_BACKEND_LIMIT_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <algorithm>
#include <cmath>
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
    // no longer names a limit. For a brittle server, the requests per second
    // that it can reject without failing.
    std::optional<double> requests_per_second;

    // The server no longer names this limit, and the leader permits more and
    // more requests until it drops the limit.
    bool is_ending = false;

    // The server fails when it has to reject more requests; see
    // rejection_pacer.
    bool is_brittle = false;

    // Requests that it has rejected since the last report of this router.
    std::uint16_t rejections = 0;

    friend bool
    operator==(const backend_limit&, const backend_limit&) = default;
};

// A version of the limits: term of the leader, and changes in this term.
inline constexpr int limits_term_shift = 32;

inline std::uint64_t term_of_limits(std::uint64_t version)
{
    return version >> limits_term_shift;
}

// Changes of the limits that a leader distributes.
struct limit_changes
{
    // Version of the leader's limits with these changes. It begins with the
    // leader's term and increases with each change.
    std::uint64_t version = 0;

    // These are the changes since that version; zero if they contain all limits
    // that the leader knows.
    std::uint64_t base_version = 0;

    std::vector<backend_limit> limits;
};

// The request that a permit is needed for.
struct permit_request
{
    // Servers in the router's order of preference.
    std::vector<backend_server_id> candidates;

    // If no candidate accepts the request, another server of the service with a
    // limit may get it: the request would be refused otherwise.
    bool others_too = false;

    // Hash of the service's name.
    std::uint64_t service = 0;

    // Software version that the other servers must have; zero for any.
    std::uint64_t software_version = 0;

    // Servers that must not get the request.
    std::vector<backend_server_id> excluded = {};

    // Ranks between the most urgent requests and this one.
    std::uint32_t rank_below_first = 0;
};

// A router's query for a permit to send one request, and its news.
struct permit_query
{
    // Version of the leader's limits that the router has.
    std::uint64_t version = 0;

    // The candidates of the request with the limits that the router knows.
    // Empty: the router only reports what it observed.
    std::vector<backend_limit> candidates;

    // Limits that responses have named since the last query.
    std::vector<backend_limit> observed;

    // The request, without its candidates.
    permit_request request = {};
};

// The leader's answer to a permit_query.
struct permit_answer
{
    // The server that the request may be sent to; nullopt for none.
    std::optional<backend_server_id> backend;

    // What the router does not know of the leader's limits.
    limit_changes changes;
};

// A server in the list that could take other requests than those it was named
// for.
struct listed_server
{
    backend_server_id id = 0;

    // See permit_request.
    std::uint64_t service = 0;
    std::uint64_t software_version = 0;
    bool is_leaving = false;

    // Requests that it processes at the same time.
    std::uint32_t slots = 0;
};

// Rate at which a server with a limit is sent requests. A server that accepts
// next to nothing still gets one from time to time, because only its responses
// tell when the limit ends.
inline double permitted_rate(double limit)
{
    constexpr double min_requests_per_second = 0.2;
    return std::max(limit, min_requests_per_second);
}

// Time in which the permitted rate grows after a server has stopped to name its
// limit. The limit has no effect any more after that.
inline constexpr duration limit_growth_period = std::chrono::seconds{2};

// The same for a server that has stopped to name its limit before this time.
// The rate is doubled at once, and grows fourfold per second.
inline double permitted_rate_after_end(double limit, duration age)
{
    constexpr double end_factor = 2.0;
    constexpr double growth_per_second = 4.0;
    return permitted_rate(limit) * end_factor *
           std::pow(
               growth_per_second, std::chrono::duration<double>(age).count());
}

} // namespace hickorygap

#endif
