#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_BACKEND_FAILURE_TRACKER_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_BACKEND_FAILURE_TRACKER_HPP

#include "common/time.hpp"
#include "request/dispatch/backend_table.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <vector>

namespace hickorygap
{

// Detects failing backend servers from the outcomes of the whole fleet's
// requests. Runs on the leader, which sends the result to all routers.
//
// Needed because otherwise each router would have to detect a fault by itself:
// when one of six servers fails, 200 routers with a request a second each lose
// some hundred requests before the last one avoids the server. Has no clock of
// its own; all times are passed in.
class backend_failure_tracker
{
public:
    // Adds the current loads of the fleet and its outcomes since the last call.
    void add(std::span<const backend_load> fleet, time_point now);

    // The summary for routers: requests in flight and failure share of each
    // server where one of them is not zero.
    std::vector<fleet_backend_load>
    conditions(std::span<const backend_load> fleet, time_point now) const;

private:
    struct server
    {
        // Exponentially decaying sums of outcomes and of failures, as of
        // updated_at.
        double outcomes = 0;
        double failures = 0;
        time_point updated_at;

        // Last time at which it made progress or did not hold enough requests
        // to be judged.
        time_point last_progress_at;

        // Whether it holds enough requests to be judged by its progress, at the
        // last call of add and at the one before.
        bool holds_requests = false;
        bool held_requests_before = false;
    };

    static double failure_share(const server& known, time_point now);

    absl::flat_hash_map<std::uint32_t, server> servers_;
};

} // namespace hickorygap

#endif
