#ifndef HICKORYGAP_PROCESS_GATEWAY_REQUEST_METRICS_HPP
#define HICKORYGAP_PROCESS_GATEWAY_REQUEST_METRICS_HPP

#include "process/gateway/request_outcome.hpp"
#include "process/metrics/metrics_registry.hpp"
#include "request/dispatch/backend_table.hpp"
#include "version/routing/routing_configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

namespace hickorygap
{

// Data of one finished request.
struct ended_request
{
    request_outcome outcome = request_outcome::answered;

    // nullopt when no route matched.
    std::optional<call_kind> kind;

    // Priority of the organisation, which selects its group; nullopt for
    // callers without a key.
    std::optional<std::uint32_t> priority;
    duration took{0};
    std::optional<duration> first_event_after;
};

// Ages of the inputs on which the choice of a backend server was based; nullopt
// for inputs that were not available.
struct decision_inputs
{
    std::optional<duration> configuration_age;
    std::optional<duration> backend_list_age;
    std::optional<duration> fleet_load_age;

    // Of the chosen server's own load report.
    std::optional<duration> backend_report_age;
};

// Metrics of a router's requests, by kind of route, group of organisations and
// outcome.
class request_metrics
{
public:
    explicit request_metrics(metrics_registry& registry);

    void on_end(const ended_request& request);
    void on_decision(const decision_inputs& inputs);

    // An attempt was sent to a backend server, or has ended.
    void on_sent();
    void on_attempt_end(dispatch_outcome outcome);

    // A retry was not sent because the retry budget was used up.
    void on_retry_denied();

private:
    struct series
    {
        counter* requests = nullptr;
        latency_histogram* took = nullptr;
        latency_histogram* first_event = nullptr;
    };

    // Kind, group and outcome. Kind -1 stands for no route; the group after the
    // last one stands for no priority.
    using series_key = std::tuple<int, std::uint32_t, request_outcome>;

    series& series_of(const ended_request& request);

    metrics_registry& registry_;
    std::map<series_key, series> series_;
    std::map<dispatch_outcome, counter*> attempts_;
    counter& sends_;
    counter& denied_;
    latency_histogram& configuration_age_;
    latency_histogram& backend_list_age_;
    latency_histogram& fleet_load_age_;
    latency_histogram& backend_report_age_;
};

} // namespace hickorygap

#endif
