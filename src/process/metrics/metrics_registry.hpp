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

// Number that only grows. Safe from any thread.
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

// Number that goes up and down. Safe from any thread.
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

// Labels of one metric with their values.
using metric_labels = std::map<std::string, std::string>;

// All metrics of a process. Metrics are made once and live as long as the
// registry; asking again for the same name and labels gives the same object.
// The full name is hickorygap_<name>_<unit>. Safe from any thread.
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

    // All metrics in Prometheus' text format.
    std::string prometheus_text() const;

private:
    // The alternatives stand for the types counter, gauge, summary and
    // histogram.
    using metric = std::variant<
        std::unique_ptr<counter>, std::unique_ptr<gauge>,
        std::unique_ptr<latency_summary>, std::unique_ptr<latency_histogram>>;

    // All metrics of one name; the keys are rendered labels.
    struct family
    {
        std::string help;
        std::map<std::string, metric> metrics;
    };

    template <typename Metric>
    Metric& find(
        const std::string& name, std::string_view help,
        const metric_labels& labels);

    mutable std::mutex mutex_;
    std::map<std::string, family> families_;
};

} // namespace hickorygap

#endif
