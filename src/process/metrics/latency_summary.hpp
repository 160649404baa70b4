#ifndef HICKORYGAP_PROCESS_METRICS_LATENCY_SUMMARY_HPP
#define HICKORYGAP_PROCESS_METRICS_LATENCY_SUMMARY_HPP

#include "common/time.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>

namespace hickorygap
{

// Quantiles that every latency_summary estimates.
inline constexpr std::array<double, 4> latency_quantiles{0.5, 0.9, 0.95, 0.99};

// Count, sum and estimated quantiles of durations in constant memory. Count and
// sum cover the time since construction, the quantiles one window that started
// at most 10 minutes before. Thread-safe.
class latency_summary
{
public:
    struct snapshot
    {
        std::uint64_t count = 0;
        double sum_s = 0.0;

        // In seconds; nullopt when there are too few values for an estimate.
        std::optional<std::array<double, latency_quantiles.size()>> quantiles_s;
    };

    latency_summary();
    ~latency_summary();
    latency_summary(const latency_summary&) = delete;
    latency_summary& operator=(const latency_summary&) = delete;

    void observe(duration value, time_point now);
    snapshot read(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hickorygap

#endif
