#ifndef HICKORYGAP_PROCESS_INSTANCE_RUNNING_INSTANCE_HPP
#define HICKORYGAP_PROCESS_INSTANCE_RUNNING_INSTANCE_HPP

#include "connection/http/backend_monitor.hpp"
#include "connection/http/caller_handler.hpp"
#include "connection/http/http_server.hpp"
#include "connection/http/request_relay.hpp"
#include "process/control/control_thread.hpp"
#include "process/control/thread_control_client.hpp"
#include "process/control/thread_operator_client.hpp"
#include "process/instance/instance_metrics.hpp"
#include "process/instance/metrics_handler.hpp"
#include "process/operators/operator_handler.hpp"
#include "process/settings/settings.hpp"

#include <memory>

namespace hickorygap
{

// One running instance of the fleet: the control thread, the HTTP servers for
// callers and for operators, and the monitor of backend servers, connected
// according to the settings.
class running_instance
{
public:
    // Reads the data folder and starts everything. Errors: settings_invalid,
    // storage_damaged, storage_failed, unreachable (a port is in use).
    static absl::StatusOr<std::unique_ptr<running_instance>>
    start(const settings& effective);

    ~running_instance();
    running_instance(const running_instance&) = delete;
    running_instance& operator=(const running_instance&) = delete;

    // True when the control thread has stopped because its storage is damaged.
    bool failed() const
    {
        return control_->failed();
    }

    // Graceful shutdown: fails the readiness check, waits until the load
    // balancer has noticed that, drains the requests in flight and leaves the
    // fleet. False when requests were still in flight at the drain limit.
    bool shut_down();

private:
    explicit running_instance(const settings& effective);

    absl::Status open();
    absl::Status start_servers();
    void make_clients();
    void make_handlers();
    void make_servers();
    void update_from_control(control_node& node, const clock_reading& now);
    void update_monitored(const control_node& node);
    void read_blocked_peers();
    void on_monitor_result(const monitor_result& result);

    settings settings_;
    incarnation_number incarnation_;
    shared_blame_tracker blame_;
    relay_counters counters_;
    instance_metrics metrics_;
    std::unique_ptr<control_thread> control_;
    std::unique_ptr<thread_control_client> control_client_;
    std::unique_ptr<thread_operator_client> operator_client_;
    std::unique_ptr<request_relay> relay_;
    std::unique_ptr<caller_handler> caller_handler_;
    std::unique_ptr<metrics_handler> metrics_handler_;
    std::unique_ptr<operator_handler> operator_handler_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> operator_server_;
    std::unique_ptr<backend_monitor> monitor_;

    // Used by the control thread only.
    time_point next_update_;
    std::vector<backend_server_id> monitored_servers_;
    configuration_version monitored_version_ = 0;
};

} // namespace hickorygap

#endif
