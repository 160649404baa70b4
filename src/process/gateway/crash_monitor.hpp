#ifndef HICKORYGAP_PROCESS_GATEWAY_CRASH_MONITOR_HPP
#define HICKORYGAP_PROCESS_GATEWAY_CRASH_MONITOR_HPP

#include "common/ids.hpp"
#include "process/fleet_process/fleet_blame.hpp"
#include "process/gateway/backend_pool.hpp"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <vector>

namespace hickorygap
{

// An attempt whose connection ended before its answer was complete.
struct broken_attempt
{
    backend_server_id backend = 0;
    request_fingerprint fingerprint = 0;

    // Part of its answer had arrived.
    bool midway = false;
};

// Finds out whether a backend server has crashed when connections to it break,
// and counts the crash against the requests that were in flight there. A
// connection also breaks when the server only drops it, loses an answer or
// sends bytes that are none: then a new one stands at once, and takes the place
// of the old one.
class crash_monitor
{
public:
    // All must outlive the monitor.
    crash_monitor(backend_pool& pool, fleet_blame& blame);

    // Called after each crash that was counted.
    void set_on_crash(std::function<void()> on_crash);

    void on_broken(const broken_attempt& attempt);

    // Whether it is not known yet if a server crashed with this request.
    bool is_checking(request_fingerprint fingerprint) const;

private:
    void check(backend_server_id backend);
    void on_checked(backend_server_id backend, bool stands);

    backend_pool& pool_;
    fleet_blame& blame_;
    std::function<void()> on_crash_;

    // Attempts at servers that are being checked.
    absl::flat_hash_map<backend_server_id, std::vector<broken_attempt>>
        unchecked_;
};

} // namespace hickorygap

#endif
