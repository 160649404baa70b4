#include "process/metrics/latency_histogram.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

constexpr double microseconds_per_second = 1e6;

} // namespace

void latency_histogram::observe(duration value)
{
    const double seconds =
        static_cast<double>(value.count()) / microseconds_per_second;
    const auto bucket = static_cast<std::size_t>(
        std::ranges::lower_bound(latency_bounds_s, seconds) -
        latency_bounds_s.begin());
    buckets_.at(bucket).fetch_add(1, std::memory_order_relaxed);
    sum_us_.fetch_add(value.count(), std::memory_order_relaxed);
}

latency_histogram::snapshot latency_histogram::read() const
{
    snapshot result;
    for (std::size_t i = 0; i < buckets_.size(); ++i)
    {
        result.count += buckets_.at(i).load(std::memory_order_relaxed);
        if (i < result.counts.size())
        {
            result.counts.at(i) = result.count;
        }
    }
    result.sum_s =
        static_cast<double>(sum_us_.load(std::memory_order_relaxed)) /
        microseconds_per_second;
    return result;
}

} // namespace hickorygap
