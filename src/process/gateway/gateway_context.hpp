#ifndef HICKORYGAP_PROCESS_GATEWAY_GATEWAY_CONTEXT_HPP
#define HICKORYGAP_PROCESS_GATEWAY_GATEWAY_CONTEXT_HPP

#include "common/random.hpp"
#include "common/text.hpp"
#include "connection/event/buffer_budget.hpp"
#include "process/fleet_process/client_limits.hpp"
#include "process/fleet_process/fleet_crash_tracker.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/gateway/backend_pool.hpp"
#include "process/gateway/crash_monitor.hpp"
#include "process/gateway/permit_client.hpp"
#include "process/gateway/request_metrics.hpp"
#include "process/gateway/restart_monitor.hpp"
#include "process/gateway/startup_queue.hpp"
#include "process/gateway/stream_version_client.hpp"
#include "process/metrics/metrics_registry.hpp"
#include "request/dialect/request_dialect.hpp"
#include "request/dispatch/admission_controller.hpp"
#include "request/dispatch/dispatch_policy.hpp"
#include "request/dispatch/retry_after_estimator.hpp"
#include "request/dispatch/retry_budget_share.hpp"
#include "request/overload/work_admission.hpp"
#include "request/overload/work_estimator.hpp"
#include "version/routing/routing_configuration.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hickorygap
{

// State that all requests of a router share. Belongs to the thread of its event
// loop.
class gateway_context
{
public:
    gateway_context(
        event_loop& loop, const fleet_settings& settings,
        const request_dialect& dialect, server_dialer& dialer);

    // nullptr before the first configuration.
    std::shared_ptr<const routing_configuration> configuration() const
    {
        return configuration_;
    }
    void
    set_configuration(std::shared_ptr<const routing_configuration> applied);

    void set_router_count(std::uint32_t routers);

    // Retry-After for callers that found no configuration: the expected rest of
    // the startup, and a short time later on.
    duration retry_after_not_ready() const;

    // Requests that may last longer than until this time are refused from now
    // on, because the process is shutting down and callers reach others.
    void refuse_beyond(time_point last_response)
    {
        last_response_ = last_response;
    }

    // Whether a request that may last until this time must be refused.
    bool is_refused_until(time_point end) const
    {
        return last_response_ && end > *last_response_;
    }

    // This router's share of the fleet's retry budget for the service.
    retry_budget_share& retry_budget(std::string_view service);

    // Admission control of the service.
    admission_policy& admission(std::string_view service);

    // Expected work of requests to the service.
    work_estimator& work(std::string_view service);
    const name_map<work_estimator>& work_by_service() const
    {
        return work_;
    }

    // Estimator of Retry-After for refused requests to the service.
    retry_after_estimator& retry_estimator(std::string_view service);

    // Tracks the requests that crash backend servers.
    fleet_crash_tracker& blame()
    {
        return blame_;
    }
    const fleet_crash_tracker& blame() const
    {
        return blame_;
    }
    crash_monitor& crashes()
    {
        return crashes_;
    }

    // Permits to send requests to backend servers with a limit.
    permit_client& permits()
    {
        return permits_;
    }

    // The software versions that began streams.
    stream_version_client& streams()
    {
        return streams_;
    }
    const stream_version_client& streams() const
    {
        return streams_;
    }

    // False before the first backend list has arrived.
    bool has_backend_list() const
    {
        return backend_list_at_.has_value();
    }

    // Takes the backend list, as received from the voters or read from the
    // platform.
    void set_backend_list(std::span<const listed_backend> list);

    // Takes the load totals of the whole fleet.
    void set_fleet_load(std::span<const fleet_backend_load> fleet);

    // Ages of the inputs on which a choice made now is based.
    decision_inputs decision_inputs_of(const dispatch_choice& choice) const;

    // The policy by which backend servers of the route are chosen.
    dispatch_policy& policy_for(const route& matched);

    // Whether requests can be handled: a configuration and a list of backend
    // servers have arrived.
    bool is_ready() const
    {
        return configuration_ != nullptr && backend_list_at_.has_value();
    }

    // Requests that wait until this router is ready.
    startup_queue& startup()
    {
        return startup_;
    }

    // The memory that callers can fill.
    buffer_budget& buffers()
    {
        return buffers_;
    }
    const client_limits& limits() const
    {
        return limits_;
    }

    event_loop& loop()
    {
        return loop_;
    }
    const fleet_settings& settings() const
    {
        return settings_;
    }
    const request_dialect& dialect() const
    {
        return dialect_;
    }
    backend_table& table()
    {
        return table_;
    }
    const backend_table& table() const
    {
        return table_;
    }
    backend_pool& pool()
    {
        return pool_;
    }
    const backend_pool& pool() const
    {
        return pool_;
    }
    metrics_registry& metrics()
    {
        return metrics_;
    }
    request_metrics& traffic_metrics()
    {
        return traffic_metrics_;
    }
    random_engine& random()
    {
        return random_;
    }

private:
    void update_connection_limits();
    void update_cold_servers();
    void release_waiting();

    event_loop& loop_;
    const fleet_settings& settings_;
    const request_dialect& dialect_;
    random_engine random_;
    client_limits limits_;
    buffer_budget buffers_;
    backend_table table_;
    backend_pool pool_;
    fleet_crash_tracker blame_;
    startup_queue startup_;
    permit_client permits_;
    restart_monitor restarts_;
    stream_version_client streams_;
    crash_monitor crashes_{pool_, blame_};
    metrics_registry metrics_;
    request_metrics traffic_metrics_{metrics_};
    prefix_affinity_policy affinity_policy_;
    least_cost_policy cost_policy_;
    name_map<std::unique_ptr<retry_budget_share>> retry_budgets_;
    name_map<std::unique_ptr<retry_after_estimator>> retry_estimators_;
    name_map<std::unique_ptr<admission_policy>> admissions_;
    name_map<work_estimator> work_;
    std::shared_ptr<const routing_configuration> configuration_;

    // Arrival times of the current ones.
    std::optional<time_point> configuration_at_;
    std::optional<time_point> backend_list_at_;
    std::optional<time_point> fleet_load_at_;
    std::uint32_t routers_ = 1;
    time_point started_at_;
    std::optional<time_point> last_response_;
};

} // namespace hickorygap

#endif
