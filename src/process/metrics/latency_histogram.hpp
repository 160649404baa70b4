#ifndef HICKORYGAP_PROCESS_METRICS_LATENCY_HISTOGRAM_HPP
#define HICKORYGAP_PROCESS_METRICS_LATENCY_HISTOGRAM_HPP

#include "common/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace hickorygap
{

// Upper bounds of the buckets, in seconds. They cover a lookup in memory to the
// longest timeouts of routes.
inline constexpr std::array<double, 13> latency_bounds{
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

// Counts durations in fixed buckets, so that figures of many processes can be
// added up. Safe from any thread.
class latency_histogram
{
public:
    struct snapshot
    {
        // Values up to each bound, cumulative.
        std::array<std::uint64_t, latency_bounds.size()> counts{};
        std::uint64_t count = 0;
        double sum_s = 0;
    };

    void observe(duration value);
    snapshot read() const;

private:
    // The last one holds the values above all bounds.
    std::array<std::atomic<std::uint64_t>, latency_bounds.size() + 1>
        buckets_{};
    std::atomic<std::int64_t> sum_us_{0};
};

} // namespace hickorygap

#endif
