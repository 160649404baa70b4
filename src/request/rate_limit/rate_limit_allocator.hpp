#ifndef HICKORYGAP_REQUEST_RATE_LIMIT_RATE_LIMIT_ALLOCATOR_HPP
#define HICKORYGAP_REQUEST_RATE_LIMIT_RATE_LIMIT_ALLOCATOR_HPP

#include "common/time.hpp"
#include "request/rate_limit/backend_limit.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace hickorygap
{

// Distributes the limits of backend servers among the routers. Runs on the
// leader.
//
// Each server has a token bucket that fills at the rate of its limit, and
// routers ask for a permit for each request. A static share for each router
// would not do: callers are spread unevenly, and with more routers than
// requests a second the first request of each router would already exceed the
// limit.
//
// Has no clock of its own; all times are passed in.
class rate_limit_allocator
{
public:
    // epoch: start of the versions of the table; differs between leaders.
    explicit rate_limit_allocator(std::uint64_t epoch);

    // Takes limits that a router read from responses. True when the table has
    // changed.
    bool observe(std::span<const backend_limit> observed, time_point now);

    // Drops the limits of servers other than these. True when the table has
    // changed.
    bool keep_only(std::span<const backend_server_id> listed);

    // Permits one request to the first of the servers that accepts one now;
    // nullopt when none does. A server without a known limit accepts all.
    std::optional<backend_server_id>
    take(std::span<const backend_server_id> candidates, time_point now);

    limit_table table() const;

    std::uint64_t version() const
    {
        return version_;
    }

    // Servers with a limit.
    std::size_t size() const
    {
        return buckets_.size();
    }

private:
    struct bucket
    {
        double requests_per_second = 0;

        // Tokens as of filled_at.
        double tokens = 0;
        time_point filled_at;
    };

    static void fill(bucket& item, time_point now);

    std::map<backend_server_id, bucket> buckets_;
    std::uint64_t version_ = 0;
};

} // namespace hickorygap

#endif
