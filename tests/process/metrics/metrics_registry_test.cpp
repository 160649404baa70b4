#include "process/metrics/metrics_registry.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;

// Guards against output that Prometheus can't parse, e.g. because of characters
// in labels that need escaping.
TEST_CASE("metrics are written in the Prometheus text format")
{
    metrics_registry registry;
    registry.find_counter("requests", "Requests.", {{"rank", "urgent"}}).add(3);
    registry.find_counter("requests", "Requests.", {{"rank", "a\"\\\n"}}).add();
    registry.find_gauge("queue", "requests", "Waiting\nrequests.").set(2.5);
    registry.find_latency("first_byte", "Time.", {{"rank", "normal"}})
        .observe(std::chrono::milliseconds{1500}, {});
    CHECK(
        registry.prometheus_text() ==
        "# HELP hickorygap_first_byte_seconds Time.\n"
        "# TYPE hickorygap_first_byte_seconds summary\n"
        "hickorygap_first_byte_seconds{rank=\"normal\",quantile=\"0.5\"} NaN\n"
        "hickorygap_first_byte_seconds{rank=\"normal\",quantile=\"0.9\"} NaN\n"
        "hickorygap_first_byte_seconds{rank=\"normal\",quantile=\"0.95\"} NaN\n"
        "hickorygap_first_byte_seconds{rank=\"normal\",quantile=\"0.99\"} NaN\n"
        "hickorygap_first_byte_seconds_sum{rank=\"normal\"} 1.5\n"
        "hickorygap_first_byte_seconds_count{rank=\"normal\"} 1\n"
        "# HELP hickorygap_queue_requests Waiting\\nrequests.\n"
        "# TYPE hickorygap_queue_requests gauge\n"
        "hickorygap_queue_requests 2.5\n"
        "# HELP hickorygap_requests_total Requests.\n"
        "# TYPE hickorygap_requests_total counter\n"
        "hickorygap_requests_total{rank=\"a\\\"\\\\\\n\"} 1\n"
        "hickorygap_requests_total{rank=\"urgent\"} 3\n");
}

// Guards against buckets that are not cumulative, and against bounds in
// milliseconds instead of seconds.
TEST_CASE("histogram buckets are cumulative with bounds in seconds")
{
    metrics_registry registry;
    latency_histogram& histogram =
        registry.find_histogram("took", "Time.", {{"kind", "a"}});
    for (const int value : {1, 10, 11, 40'000})
    {
        histogram.observe(std::chrono::milliseconds{value});
    }
    const std::string text = registry.prometheus_text();
    for (const char* line :
         {"# TYPE hickorygap_took_seconds histogram\n",
          "hickorygap_took_seconds_bucket{kind=\"a\",le=\"0.001\"} 1\n",
          "hickorygap_took_seconds_bucket{kind=\"a\",le=\"0.01\"} 2\n",
          "hickorygap_took_seconds_bucket{kind=\"a\",le=\"0.025\"} 3\n",
          "hickorygap_took_seconds_bucket{kind=\"a\",le=\"30\"} 3\n",
          "hickorygap_took_seconds_bucket{kind=\"a\",le=\"+Inf\"} 4\n",
          "hickorygap_took_seconds_sum{kind=\"a\"} 40.022\n",
          "hickorygap_took_seconds_count{kind=\"a\"} 4\n"})
    {
        CHECK_THAT(text, Catch::Contains(line));
    }
}

// Guards against two objects for one metric, which would split its value.
TEST_CASE("the same name and labels give the same metric")
{
    metrics_registry registry;
    counter& first = registry.find_counter("a", "A.", {{"x", "1"}});
    CHECK(&registry.find_counter("a", "A.", {{"x", "1"}}) == &first);
    CHECK(&registry.find_counter("a", "A.", {{"x", "2"}}) != &first);
}

// Guards against quantiles counted from the wrong end or in the wrong unit, and
// against quantiles that still include values from hours ago.
TEST_CASE("quantiles are estimated over the last minutes only")
{
    latency_summary summary;
    time_point now{std::chrono::hours{1}};
    for (int i = 1; i <= 1000; ++i)
    {
        // Every value from 1 to 1000 ms once, in mixed order.
        const int value = i * 7 % 1000 + 1;
        summary.observe(std::chrono::milliseconds{value}, now);
    }
    auto snapshot = summary.read(now);
    REQUIRE(snapshot.quantiles_s.has_value());
    for (std::size_t i = 0; i < latency_quantiles.size(); ++i)
    {
        CHECK(
            snapshot.quantiles_s->at(i) ==
            Approx(latency_quantiles.at(i)).margin(0.02));
    }
    CHECK(snapshot.sum_s == Approx(500.5));
    for (int round = 0; round < 2; ++round)
    {
        now = now + std::chrono::minutes{6};
        for (int i = 0; i < 50; ++i)
        {
            summary.observe(std::chrono::seconds{3}, now);
        }
    }
    snapshot = summary.read(now);
    CHECK(snapshot.count == 1100);
    CHECK(snapshot.quantiles_s->front() == Approx(3.0));
}

// Guards against quantiles of values that arrived long ago, shown as if they
// were new while no or few values arrive.
TEST_CASE("quantiles end with the windows of their values")
{
    using std::chrono::minutes;
    struct row
    {
        std::string label;
        duration idle;
        int later_values;
        duration read_after;
        bool has_quantiles;
    };
    const auto tested = GENERATE(
        row{"just observed", minutes{0}, 0, minutes{0}, true},
        row{"window before", minutes{9}, 0, minutes{0}, true},
        row{"window before, few new values", minutes{9}, 1, minutes{0}, true},
        row{"few new values, two windows later", minutes{9}, 1, minutes{1},
            false},
        row{"two windows ago", minutes{10}, 0, minutes{0}, false},
        row{"two windows ago, few new values", minutes{10}, 1, minutes{0},
            false},
        row{"two windows ago, enough new values", minutes{10}, 11, minutes{0},
            true});
    CAPTURE(tested.label);
    latency_summary summary;
    time_point now{std::chrono::hours{1}};
    const auto observe = [&](int values)
    {
        for (int i = 0; i < values; ++i)
        {
            summary.observe(std::chrono::seconds{1}, now);
        }
    };
    observe(100);
    now = now + tested.idle;
    observe(tested.later_values);
    const auto read = summary.read(now + tested.read_after);
    CHECK(read.quantiles_s.has_value() == tested.has_quantiles);
}
