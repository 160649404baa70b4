#ifndef HICKORYGAP_REQUEST_DISPATCH_PATH_TRACKER_HPP
#define HICKORYGAP_REQUEST_DISPATCH_PATH_TRACKER_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <absl/container/flat_hash_set.h>

#include <map>
#include <optional>
#include <vector>

namespace hickorygap
{

// How to open a connection to a backend server.
enum class backend_path
{
    // Directly, and through another router if that fails.
    direct_first,

    // Directly only: other routers have just failed to reach the server too.
    direct_only,

    // Through another router.
    through_router
};

// Tells the failure of a backend server from the failure of this router's own
// path to it, by the outcome of connection attempts: a server that this router
// can't connect to, and another router can, is blocked. When several servers of
// a service fail and none is reached directly, the service is lost to this
// router: it can be no way to these servers for others. If one of them is
// blocked, the router is cut off from the service, and connections to its other
// servers go through another router at once.
//
// Has no clock of its own; all times are passed in.
class path_tracker
{
public:
    // Outcome of an attempt to connect to the server directly.
    void
    on_connected(backend_server_id server, service_id service, time_point now);
    void on_unreachable(
        backend_server_id server, service_id service, time_point now);

    // Another router has connected to the server: true when this shows that the
    // direct path is blocked. Or other routers have failed to do so, which says
    // nothing new when the path is known to be blocked.
    bool on_reached_by_router(backend_server_id server);
    void on_unreached_by_router(backend_server_id server, time_point now);

    // Forgets the servers that the list no longer contains.
    void keep_only(const absl::flat_hash_set<backend_server_id>& listed);

    backend_path
    path_to(backend_server_id server, service_id service, time_point now) const;

    // Since when the direct path to the server is known to fail; nullopt while
    // it is not. Direct connections without input since then are not to be
    // used: they may have been cut without a reset.
    std::optional<time_point>
    blocked_since(backend_server_id server, service_id service) const;

    bool is_lost(service_id service) const;
    bool is_cut_off(service_id service) const;

    // The services that are lost to this router, in ascending order.
    std::vector<service_id> lost_services() const;

    // Blocked servers whose direct path is to be tried again now, a few at a
    // time.
    std::vector<backend_server_id> take_due_checks(time_point now);

private:
    struct failed_path
    {
        service_id service = 0;

        // First failure since the last direct connection.
        time_point failed_at;

        // Another router has connected to the server since then.
        bool is_blocked = false;
        std::optional<time_point> unreached_by_router_at;
        time_point next_check;
    };

    std::map<backend_server_id, failed_path> failed_;

    // Last direct connection to any server of a service.
    std::map<service_id, time_point> connected_at_;
};

} // namespace hickorygap

#endif
