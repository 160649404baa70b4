#include "request/overload/work_estimator.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace hickorygap
{

namespace
{

// Weight of a new sample in the moving averages.
constexpr double sample_weight = 0.05;

// Samples after which a group is used by itself.
constexpr std::uint32_t min_samples = 3;

// An engine reads this many tokens of a prompt in the time in which it writes
// one; used only for sizes without samples.
constexpr double tokens_read_per_token_written = 50;

// An unknown size counts as at most so many times the mean.
constexpr double max_extrapolation = 8;

void update_average(double& value, double sample, bool is_first)
{
    value = is_first ? sample : value + sample_weight * (sample - value);
}

double token_work(const request_size& size)
{
    return size.output_tokens +
           size.prompt_tokens / tokens_read_per_token_written;
}

double in_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{seconds});
}

} // namespace

std::size_t work_estimator::class_of(std::uint32_t tokens)
{
    return std::min<std::size_t>(std::bit_width(tokens), size_classes - 1);
}

double work_estimator::expected_seconds(const request_size& size) const
{
    const group& known = groups_.at(class_of(size.prompt_tokens))
                             .at(class_of(size.output_tokens));
    if (known.samples >= min_samples || mean_tokens_ <= 0)
    {
        return known.samples > 0 ? known.seconds : mean_seconds_;
    }
    return mean_seconds_ * std::clamp(
                               token_work(size) / mean_tokens_,
                               1 / max_extrapolation, max_extrapolation);
}

duration work_estimator::estimate(const request_size& size) const
{
    return to_duration(expected_seconds(size));
}

duration work_estimator::mean() const
{
    return to_duration(mean_seconds_);
}

void work_estimator::on_answered(const request_size& size, duration took)
{
    const double seconds = std::max(in_seconds(took), 0.0);
    const bool is_first = mean_seconds_ <= 0;
    if (!is_first && seconds > 0)
    {
        const double error =
            std::abs(expected_seconds(size) - seconds) / seconds;
        update_average(error_share_, std::min(error, max_extrapolation), false);
    }
    group& known = groups_.at(class_of(size.prompt_tokens))
                       .at(class_of(size.output_tokens));
    update_average(known.seconds, seconds, known.samples == 0);
    ++known.samples;
    update_average(mean_seconds_, seconds, is_first);
    update_average(mean_tokens_, token_work(size), is_first);
}

} // namespace hickorygap
