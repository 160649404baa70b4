#include "process/gateway/request_metrics.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string>

namespace hickorygap
{

namespace
{

// Organisations are grouped by priority, and higher priorities share the last
// group. Operators use few priorities, and each group costs a set of time
// series.
constexpr std::uint32_t last_group = 7;
constexpr std::uint32_t no_group = last_group + 1;

constexpr int no_kind = -1;

std::string_view kind_name(std::optional<call_kind> kind)
{
    if (!kind)
    {
        return "none";
    }
    switch (*kind)
    {
    case call_kind::repeatable:
        return "repeatable";
    case call_kind::non_repeatable:
        return "non_repeatable";
    case call_kind::streaming:
        return "streaming";
    }
    return "none";
}

latency_histogram& input_age(metrics_registry& registry, std::string_view input)
{
    return registry.find_histogram(
        "decision_input_age",
        "Age of what a choice of a backend server relied on.",
        {{"input", std::string{input}}});
}

void observe(latency_histogram& histogram, const std::optional<duration>& value)
{
    if (value)
    {
        histogram.observe(*value);
    }
}

} // namespace

request_metrics::request_metrics(metrics_registry& registry)
    : registry_{registry}
    , sends_{registry.find_counter(
          "sends", "Requests sent to backend servers, repeats included.")}
    , denied_{registry.find_counter(
          "repeats_denied",
          "Repeats that were left out because the allowance was used up.")}
    , configuration_age_{input_age(registry, "configuration")}
    , backend_list_age_{input_age(registry, "backend_list")}
    , fleet_load_age_{input_age(registry, "fleet_load")}
    , backend_report_age_{input_age(registry, "backend_report")}
{
}

request_metrics::series&
request_metrics::series_of(const ended_request& request)
{
    const std::uint32_t group =
        request.priority ? std::min(*request.priority, last_group) : no_group;
    const series_key key{
        request.kind ? static_cast<int>(*request.kind) : no_kind, group,
        request.outcome};
    series& found = series_[key];
    if (found.requests == nullptr)
    {
        const metric_labels labels{
            {"kind", std::string{kind_name(request.kind)}},
            {"group", group == no_group ? "none" : fmt::format("{}", group)},
            {"outcome", std::string{request_outcome_name(request.outcome)}}};
        found.requests = &registry_.find_counter(
            "requests", "Requests of callers that have ended.", labels);
        found.took = &registry_.find_histogram(
            "request_duration", "From a request's arrival to its end.", labels);
        found.first_event = &registry_.find_histogram(
            "first_event", "From a request's arrival to its first event.",
            labels);
    }
    return found;
}

void request_metrics::on_end(const ended_request& request)
{
    series& metrics = series_of(request);
    metrics.requests->add();
    metrics.took->observe(request.took);
    observe(*metrics.first_event, request.first_event_after);
}

void request_metrics::on_decision(const decision_inputs& inputs)
{
    observe(configuration_age_, inputs.configuration_age);
    observe(backend_list_age_, inputs.backend_list_age);
    observe(fleet_load_age_, inputs.fleet_load_age);
    observe(backend_report_age_, inputs.backend_report_age);
}

void request_metrics::on_sent()
{
    sends_.add();
}

void request_metrics::on_attempt_end(dispatch_outcome outcome)
{
    counter*& found = attempts_[outcome];
    if (found == nullptr)
    {
        found = &registry_.find_counter(
            "attempts", "Requests sent to backend servers, by how that ended.",
            {{"outcome", std::string{dispatch_outcome_name(outcome)}}});
    }
    found->add();
}

void request_metrics::on_retry_denied()
{
    denied_.add();
}

} // namespace hickorygap
