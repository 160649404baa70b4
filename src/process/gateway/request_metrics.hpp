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

// One request that has ended.
struct ended_request
{
    request_outcome outcome = request_outcome::answered;

    // Nothing when no route matched.
    std::optional<call_kind> kind;

    // Priority of the organisation, which stands for its group; nothing for
    // callers without a key.
    std::optional<std::uint32_t> priority;
    duration took{0};
    std::optional<duration> first_event_after;
};

// What a choice of a backend server relied on, and how old it was. Nothing for
// what was not known.
struct decision_inputs
{
    std::optional<duration> configuration_age;
    std::optional<duration> backend_list_age;
    std::optional<duration> fleet_load_age;

    // Of the chosen server's own report.
    std::optional<duration> backend_report_age;
};

// Metrics of a router's requests: by kind of route, group of organisations and
// outcome.
class request_metrics
{
public:
    explicit request_metrics(metrics_registry& registry);

    void on_end(const ended_request& request);
    void on_decision(const decision_inputs& inputs);

    // A request was sent to a backend server, or such a send has ended.
    void on_sent();
    void on_attempt_end(dispatch_outcome outcome);

    // The fleet's allowance for repeats was used up.
    void on_repeat_denied();

private:
    struct series
    {
        counter* requests = nullptr;
        latency_histogram* took = nullptr;
        latency_histogram* first_event = nullptr;
    };

    // Kind, group and outcome; one more than the last kind stands for none.
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
