#ifndef HICKORYGAP_PROCESS_METRICS_LATENCY_HISTOGRAM_HPP
#define HICKORYGAP_PROCESS_METRICS_LATENCY_HISTOGRAM_HPP

#include "common/time.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace hickorygap
{

// Upper bounds of the buckets, in seconds. They range from the duration of a
// lookup in memory to the longest timeouts of routes.
inline constexpr std::array<double, 13> latency_bounds_s{
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

// Histogram of durations with fixed buckets, so that the counts of several
// processes can be summed. Thread-safe.
class latency_histogram
{
public:
    struct snapshot
    {
        // Number of values less than or equal to each bound, cumulative.
        std::array<std::uint64_t, latency_bounds_s.size()> counts{};
        std::uint64_t count = 0;
        double sum_s = 0;
    };

    void observe(duration value);
    snapshot read() const;

private:
    // Not cumulative; the last bucket counts the values above all bounds.
    std::array<std::atomic<std::uint64_t>, latency_bounds_s.size() + 1>
        buckets_{};
    std::atomic<std::int64_t> sum_us_{0};
};

} // namespace hickorygap

#endif
