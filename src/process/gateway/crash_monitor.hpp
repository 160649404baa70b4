#ifndef HICKORYGAP_PROCESS_GATEWAY_CRASH_MONITOR_HPP
#define HICKORYGAP_PROCESS_GATEWAY_CRASH_MONITOR_HPP

#include "common/ids.hpp"
#include "process/fleet_process/fleet_crash_tracker.hpp"
#include "process/gateway/backend_pool.hpp"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

// An attempt whose connection ended before its response was complete.
struct broken_attempt
{
    backend_server_id backend = 0;
    request_fingerprint fingerprint = 0;

    // Part of its response had arrived.
    bool midway = false;

    suspected_prompt prompt;
};

// Determines whether a backend server has crashed when connections to it break,
// and records the crash for all requests that were in flight there.
//
// A connection also breaks when a healthy server drops it, loses a response or
// sends malformed bytes. In that case a new connection succeeds at once and
// replaces the old one.
class crash_monitor
{
public:
    // Both must outlive the monitor.
    crash_monitor(backend_pool& pool, fleet_crash_tracker& blame);

    // Called when there is something new for the leader.
    void set_on_news(std::function<void()> on_news);

    void on_attempt_broken(const broken_attempt& attempt);

    // See fleet_crash_tracker.
    void on_answered(std::span<const prompt_part_id> parts, time_point began);

    // Whether the check for a crash with this request in flight is still
    // running.
    bool is_checking(request_fingerprint fingerprint) const;

private:
    void check(backend_server_id backend);
    void on_checked(backend_server_id backend, bool accepts_connections);

    backend_pool& pool_;
    fleet_crash_tracker& blame_;
    std::function<void()> on_news_;

    // Broken attempts at servers whose check is running.
    absl::flat_hash_map<backend_server_id, std::vector<broken_attempt>>
        unchecked_;
};

} // namespace hickorygap

#endif
