#ifndef HICKORYGAP_REQUEST_RATE_LIMIT_ROUTER_LIMITS_HPP
#define HICKORYGAP_REQUEST_RATE_LIMIT_ROUTER_LIMITS_HPP

#include "common/random.hpp"
#include "common/time.hpp"
#include "request/rate_limit/backend_limit.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace hickorygap
{

// The limits of backend servers as one router knows them.
//
// Permits to send requests to servers with a limit come from the leader, see
// rate_limit_allocator. A router that hears no leader gives itself permits at
// random times, at half of its even share of each limit: so the fleet keeps
// within the limits even if other routers still have a leader. Such permits are
// lost when they are not used in time, because routers that saved them up could
// use them all at the same moment.
//
// Has no clock of its own; all times are passed in.
class router_limits
{
public:
    explicit router_limits(std::uint64_t seed);

    // Number of routers that share the limits without a leader; at least 1.
    void set_routers(std::uint32_t routers);
    std::uint32_t routers() const
    {
        return routers_;
    }

    // A response named this limit, or none. True when that is news for the
    // leader. Rejections by a brittle server are always reported.
    bool on_response(const backend_limit& limit, time_point now);

    // Takes changes of the leader's limits. They have no effect on limits that
    // responses have named just now, of which the leader may not have known,
    // and none at all if this router has heard of a newer version.
    void on_changes(const limit_changes& changes, time_point now);

    bool is_limited(backend_server_id backend) const
    {
        return servers_.contains(backend) || cold_.contains(backend);
    }

    // Replaces the set of cold servers, with the requests per second that each
    // accepts from all routers together.
    void set_cold(const std::map<backend_server_id, double>& rates);

    std::size_t cold_servers() const
    {
        return cold_.size();
    }

    // Whether the server has just rejected a request of this router, and should
    // get none.
    bool is_avoided(backend_server_id backend, time_point now) const;

    // Whether this router gives itself a permit for the server now, which it
    // uses up. Only without a leader.
    bool take_own_permit(backend_server_id backend, time_point now);

    // The query for a permit, with all that was observed since the last call of
    // on_reported. A request without candidates makes a report.
    permit_query make_query(const permit_request& request) const;

    // The last query has been sent to a leader.
    void on_reported();

    // Servers with a limit.
    std::size_t size() const
    {
        return servers_.size();
    }

private:
    struct server
    {
        double requests_per_second = 0;
        bool is_brittle = false;

        // Since when this router knows that the server no longer names the
        // limit; see rate_limit_allocator.
        std::optional<time_point> ending_since;

        // When a response of this router named the limit, if it was one.
        std::optional<time_point> observed_at;

        // The server gets no requests from this router before this time.
        time_point avoided_until;

        // When this router gives itself the next permit.
        std::optional<time_point> next_permit;
    };

    struct cold_server
    {
        double requests_per_second = 0;

        // When this router gives itself the next permit.
        std::optional<time_point> next_permit;
    };

    bool is_due(
        std::optional<time_point>& next_permit, double permitted,
        time_point now);
    static void
    set_limit(server& known, double limit, bool is_ending, time_point now);
    duration time_to_permit(double permitted);
    void add_observed(const backend_limit& limit);

    random_engine random_;
    std::uint32_t routers_ = 1;
    absl::flat_hash_map<backend_server_id, server> servers_;
    std::map<backend_server_id, cold_server> cold_;

    // Read from responses since the last on_reported.
    std::vector<backend_limit> observed_;

    // Version of the leader's limits that this router has.
    std::uint64_t version_ = 0;
};

} // namespace hickorygap

#endif
