#ifndef HICKORYGAP_PROCESS_GATEWAY_RESTART_MONITOR_HPP
#define HICKORYGAP_PROCESS_GATEWAY_RESTART_MONITOR_HPP

#include "process/gateway/backend_pool.hpp"
#include "process/gateway/permit_client.hpp"
#include "request/dialect/request_dialect.hpp"
#include "version/routing/routing_configuration.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace hickorygap
{

// Notices that a server that has announced its shutdown has started again under
// its identifier. Such a server gets no requests, so that no response to one
// can tell; and the list may show the new start late, never, or before the last
// response of the former one arrives. So a server that the list shows as in
// service is asked: a healthy response without the announcement can only come
// from a new start.
class restart_monitor
{
public:
    // All must outlive the monitor.
    restart_monitor(
        event_loop& loop, backend_pool& pool, permit_client& permits,
        const request_dialect& dialect);
    restart_monitor(const restart_monitor&) = delete;
    restart_monitor& operator=(const restart_monitor&) = delete;
    ~restart_monitor();

    // Health checks use the paths of this configuration.
    void set_configuration(
        std::shared_ptr<const routing_configuration> configuration);

    // Asks the servers for which that is due.
    void check_servers();

private:
    class health_check;

    // A server that has announced its shutdown, but not in the list.
    struct suspect
    {
        time_point next_check;
        std::unique_ptr<health_check> check;
    };

    void tick();
    void start_check(const backend_record& record, suspect& checked);
    void
    on_response(backend_server_id backend, const Poco::Net::HTTPResponse& head);
    void end_check(backend_server_id backend);

    // Empty for a service without one; nothing for an unknown service.
    std::optional<std::string_view>
    health_path_of(std::string_view service) const;

    event_loop& loop_;
    backend_pool& pool_;
    permit_client& permits_;
    const request_dialect& dialect_;
    std::shared_ptr<const routing_configuration> configuration_;
    std::map<backend_server_id, suspect> suspects_;
    timer_id timer_ = 0;
};

} // namespace hickorygap

#endif
