#ifndef HICKORYGAP_PROCESS_METRICS_METRICS_REGISTRY_HPP
#define HICKORYGAP_PROCESS_METRICS_METRICS_REGISTRY_HPP

#include "process/metrics/latency_histogram.hpp"
#include "process/metrics/latency_summary.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace hickorygap
{

// Monotonically increasing number. Thread-safe.
class counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

// Number that can go up and down. Thread-safe.
class gauge
{
public:
    void set(double value)
    {
        value_.store(value, std::memory_order_relaxed);
    }

    void add(double amount)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }

    double value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> value_{0.0};
};

// Label names of one metric and their values.
using metric_labels = std::map<std::string, std::string>;

// All metrics of a process. The find functions create a metric at the first
// call and return the same object at later calls with the same name and labels;
// it lives as long as the registry. They throw std::bad_variant_access when the
// metric exists with another type. The full name of a metric is
// hickorygap_<name>_<unit>. Thread-safe.
class metrics_registry
{
public:
    // Full name hickorygap_<name>_total; `name` says what is counted, e.g.
    // "requests" or "received_bytes".
    counter& find_counter(
        std::string_view name, std::string_view help,
        const metric_labels& labels = {});

    // Full name hickorygap_<name>_<unit>, e.g. unit "bytes" or "requests".
    gauge& find_gauge(
        std::string_view name, std::string_view unit, std::string_view help,
        const metric_labels& labels = {});

    // Full name hickorygap_<name>_seconds.
    latency_summary& find_latency(
        std::string_view name, std::string_view help,
        const metric_labels& labels = {});

    // Full name hickorygap_<name>_seconds.
    latency_histogram& find_histogram(
        std::string_view name, std::string_view help,
        const metric_labels& labels = {});

    // Returns all metrics in the Prometheus text format.
    std::string prometheus_text() const;

private:
    // The order of the alternatives is that of type_names: counter, gauge,
    // summary, histogram.
    using metric = std::variant<
        std::unique_ptr<counter>, std::unique_ptr<gauge>,
        std::unique_ptr<latency_summary>, std::unique_ptr<latency_histogram>>;

    // All metrics with the same name. The keys are the labels as text, see
    // render_labels().
    struct family
    {
        std::string help;
        std::map<std::string, metric> metrics;
    };

    template <typename Metric>
    Metric& find_or_add(
        const std::string& name, std::string_view help,
        const metric_labels& labels);

    mutable std::mutex mutex_;
    std::map<std::string, family> families_;
};

} // namespace hickorygap

#endif
