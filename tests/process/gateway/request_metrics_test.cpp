#include "process/gateway/request_metrics.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against requests that are counted under the wrong kind, group or
// outcome, and against a separate time series for each organisation.
TEST_CASE("requests are counted by kind and group and outcome")
{
    metrics_registry registry;
    request_metrics metrics{registry};
    metrics.on_end(
        {request_outcome::answered, call_kind::streaming, 1, 2s, 60ms});
    metrics.on_end(
        {request_outcome::answered, call_kind::streaming, 1, 3s, 70ms});
    metrics.on_end(
        {request_outcome::refused, call_kind::repeatable, 900, 1ms, {}});
    metrics.on_end({request_outcome::no_route, {}, {}, 1ms, {}});
    const std::string text = registry.prometheus_text();
    for (const char* line :
         {"hickorygap_requests_total{group=\"1\",kind=\"streaming\","
          "outcome=\"answered\"} 2\n",
          "hickorygap_requests_total{group=\"7\",kind=\"repeatable\","
          "outcome=\"refused\"} 1\n",
          "hickorygap_requests_total{group=\"none\",kind=\"none\","
          "outcome=\"no_route\"} 1\n",
          "hickorygap_request_duration_seconds_sum{group=\"1\","
          "kind=\"streaming\",outcome=\"answered\"} 5\n",
          "hickorygap_first_event_seconds_count{group=\"1\","
          "kind=\"streaming\",outcome=\"answered\"} 2\n"})
    {
        CHECK_THAT(text, Catch::Contains(line));
    }
}

// Guards against dispatch decisions on outdated inputs that no metric shows.
TEST_CASE("the age of the inputs of dispatch decisions is recorded")
{
    metrics_registry registry;
    request_metrics metrics{registry};
    metrics.on_sent();
    metrics.on_decision({10s, 2s, 400ms, {}});
    metrics.on_attempt_end(dispatch_outcome::rejected);
    metrics.on_retry_denied();
    const std::string text = registry.prometheus_text();
    for (const char* line :
         {"hickorygap_sends_total 1\n", "hickorygap_repeats_denied_total 1\n",
          "hickorygap_attempts_total{outcome=\"rejected\"} 1\n",
          "hickorygap_decision_input_age_seconds_sum{input=\"configuration\"} "
          "10\n",
          "hickorygap_decision_input_age_seconds_sum{input=\"backend_list\"} "
          "2\n",
          "hickorygap_decision_input_age_seconds_sum{input=\"fleet_load\"} "
          "0.4\n",
          "hickorygap_decision_input_age_seconds_count{"
          "input=\"backend_report\"} 0\n"})
    {
        CHECK_THAT(text, Catch::Contains(line));
    }
}
