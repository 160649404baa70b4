#ifndef HICKORYGAP_PROCESS_GATEWAY_BACKEND_POOL_HPP
#define HICKORYGAP_PROCESS_GATEWAY_BACKEND_POOL_HPP

#include "common/random.hpp"
#include "common/text.hpp"
#include "connection/event/server_dialer.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/gateway/backend_connection.hpp"
#include "process/gateway/tunnel_host_list.hpp"
#include "request/dispatch/backend_table.hpp"
#include "request/dispatch/path_tracker.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace hickorygap
{

// Which connections may carry a request.
enum class connection_choice
{
    any,

    // Idle connections are reused only within a short time, because the server
    // may have closed an older one, and it is then unknown whether a request
    // sent over it has run.
    fresh,

    // Only a connection that is established now: the server has not responded
    // on those that are open.
    established_now
};

// The connections of a router to all backend servers. Idle ones are kept for
// reuse and closed before the server would close them.
//
// The pool also decides by which path a server is reached, see path_tracker: a
// server to which a direct connection fails is tried through a tunnel before it
// counts as unreachable.
class backend_pool
{
public:
    // The dialer must outlive the pool.
    backend_pool(
        event_loop& loop, backend_table& table, server_dialer& dialer,
        const fleet_settings& settings);
    ~backend_pool();

    // Limit of connections of this router to one server of the service.
    void set_connection_limit(std::string_view service, std::uint32_t limit);

    // The routers that may host tunnels for this one.
    tunnel_host_list& hosts()
    {
        return hosts_;
    }

    // The direct paths from this router to the servers.
    path_tracker& paths()
    {
        return paths_;
    }
    const path_tracker& paths() const
    {
        return paths_;
    }

    // Sets a function that is called when the services that this router is cut
    // off from have changed.
    void set_on_paths_changed(std::function<void()> on_changed);

    // A new or idle connection, on which no bytes have arrived that belong to
    // no request; nullptr when the limit is reached or the system refuses.
    // attempt: hashed identifier; a connection on which it was refused
    // before is closed instead of reused.
    backend_connection* acquire(
        const backend_record& backend, connection_choice choice,
        std::uint64_t attempt);

    // Opens a connection to check whether the server accepts it, and keeps an
    // established one for reuse. on_probed may be called before probe returns.
    // A server to which the permitted number of connections is open counts as
    // accepting, and so does one that only other routers reach.
    void
    probe(const backend_record& backend, std::function<void(bool)> on_probed);

    // Whether any connection to the server is established.
    bool has_established(backend_server_id backend) const;

    // Call after the whole response was read: keeps the connection if it can be
    // reused. idle_timeout: as announced by the server, if it was.
    void release(
        backend_connection& connection, std::optional<duration> idle_timeout);

    // Closes the connection and drops any request in progress on it.
    void abandon(backend_connection& connection);

    event_loop& loop()
    {
        return loop_;
    }
    backend_table& table()
    {
        return table_;
    }

private:
    friend class backend_connection;

    struct server_connections
    {
        std::vector<std::unique_ptr<backend_connection>> all;
        std::vector<backend_connection*> idle;
    };

    backend_connection* dial(const backend_record& backend);
    backend_connection* dial_directly(const backend_record& backend);
    backend_connection*
    add(const backend_record& backend,
        std::unique_ptr<backend_connection> connection);
    bool start_direct(
        backend_connection& connection, const numeric_address& address);
    bool start_tunnel(backend_connection& connection);
    bool try_other_path(backend_connection& connection);
    bool may_ask_other_host(backend_connection& connection);
    void on_established(backend_connection& connection);
    void keep_probed(backend_connection& connection);
    void check_paths();
    void check_direct_path(backend_server_id backend);
    void check_any_server(service_id service);
    void check_silent_services();
    void report_path_changes();

    std::uint32_t connection_limit(std::string_view service) const;
    bool is_at_limit(const backend_record& backend) const;
    void add_idle(backend_connection& connection, duration limit);
    void remove(backend_connection& connection);
    void close_idle();

    event_loop& loop_;
    backend_table& table_;
    server_dialer& dialer_;
    instance_id self_;
    std::uint16_t peer_port_;
    path_tracker paths_;
    tunnel_host_list hosts_;
    random_engine random_;
    std::vector<service_id> lost_services_;
    std::function<void()> on_paths_changed_;
    std::map<service_id, time_point> next_silence_check_;
    absl::flat_hash_map<backend_server_id, server_connections> servers_;
    name_map<std::uint32_t> limits_;
    timer_id sweep_timer_ = 0;
    timer_id path_timer_ = 0;
};

} // namespace hickorygap

#endif
