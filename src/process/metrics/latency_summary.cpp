#include "process/metrics/latency_summary.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <mutex>
#include <utility>

namespace hickorygap
{

namespace
{

namespace accumulators = boost::accumulators;

using estimator = accumulators::accumulator_set<
    double,
    accumulators::stats<
        accumulators::tag::count, accumulators::tag::extended_p_square>>;

// Quantiles are estimated per window, because after hours of operation
// quantiles over all values would hide a change.
constexpr duration window_length = std::chrono::minutes{5};

// The extended P-square algorithm uses the first 2 * quantiles + 3 values to
// initialise its markers and has no estimate before that.
constexpr std::size_t min_values = 2 * latency_quantiles.size() + 3;

estimator make_estimator()
{
    return estimator{
        accumulators::extended_p_square_probabilities = latency_quantiles};
}

} // namespace

class latency_summary::implementation
{
public:
    void observe(duration value, time_point now)
    {
        const std::lock_guard lock{mutex_};
        if (now >= window_end_)
        {
            previous_ = current_;
            previous_end_ = window_end_;
            current_ = make_estimator();
            window_end_ = now + window_length;
        }
        const double seconds = std::chrono::duration<double>{value}.count();
        current_(seconds);
        ++count_;
        sum_s_ += seconds;
    }

    snapshot read(time_point now) const
    {
        const std::lock_guard lock{mutex_};
        snapshot result;
        result.count = count_;
        result.sum_s = sum_s_;
        // The window with more values gives the better estimate.
        const estimator* source = nullptr;
        std::size_t values = min_values - 1;
        for (const auto& [window, end] :
             {std::pair{&current_, window_end_},
              std::pair{&previous_, previous_end_}})
        {
            const std::size_t count = accumulators::count(*window);
            if (now < end + window_length && count > values)
            {
                source = window;
                values = count;
            }
        }
        if (source != nullptr)
        {
            const auto estimates = accumulators::extended_p_square(*source);
            result.quantiles_s.emplace();
            std::copy_n(
                estimates.begin(), latency_quantiles.size(),
                result.quantiles_s->begin());
        }
        return result;
    }

private:
    mutable std::mutex mutex_;
    estimator current_ = make_estimator();
    estimator previous_ = make_estimator();

    // Ends of the windows. Their estimates count for one more window length.
    time_point window_end_;
    time_point previous_end_;
    std::uint64_t count_ = 0;
    double sum_s_ = 0.0;
};

latency_summary::latency_summary()
    : implementation_(std::make_unique<implementation>())
{
}

latency_summary::~latency_summary() = default;

void latency_summary::observe(duration value, time_point now)
{
    implementation_->observe(value, now);
}

latency_summary::snapshot latency_summary::read(time_point now) const
{
    return implementation_->read(now);
}

} // namespace hickorygap
