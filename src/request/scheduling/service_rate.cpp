#include "request/scheduling/service_rate.hpp"

#include <algorithm>
#include <cmath>

namespace hickorygap
{

namespace
{

// Factor by which the weight of older samples shrinks with each new one, so
// that the averages cover some 200 attempts, about the work of one cell's
// slots.
constexpr double sample_decay = 0.995;

// Values assumed before any attempt has ended, with the weight of this number
// of samples.
constexpr double prior_held_seconds = 1.0;
constexpr double prior_cost = 500.0;
constexpr double prior_samples = 2.0;

// Weight of a new sample in the averages of the time to the first byte.
constexpr double first_byte_weight = 0.05;
constexpr double estimate_deviations = 2.0;

// Time constant of the arrival averages, in seconds.
constexpr double arrival_time_constant_seconds = 5.0;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace

void service_rate::record_end(std::uint32_t cost, duration held)
{
    cost_sum_ = cost_sum_ * sample_decay + cost;
    held_seconds_sum_ =
        held_seconds_sum_ * sample_decay + std::max(0.0, to_seconds(held));
    samples_ = samples_ * sample_decay + 1.0;
}

void service_rate::record_first_byte(duration since_start)
{
    const double value = std::max(0.0, to_seconds(since_start));
    if (!has_first_byte_)
    {
        has_first_byte_ = true;
        first_byte_seconds_ = value;
        first_byte_deviation_ = value / 2.0;
        return;
    }
    const double error = value - first_byte_seconds_;
    first_byte_seconds_ += first_byte_weight * error;
    first_byte_deviation_ +=
        first_byte_weight * (std::abs(error) - first_byte_deviation_);
}

void service_rate::record_arrival(
    rank request_rank, std::uint32_t cost, time_point now)
{
    arrival_average& average =
        arrivals_[static_cast<std::size_t>(request_rank)];
    const double passed = std::max(0.0, to_seconds(now - average.updated));
    average.cost =
        average.cost * std::exp(-passed / arrival_time_constant_seconds) + cost;
    average.updated = now;
}

double service_rate::cost_per_slot_second() const
{
    const double cost = cost_sum_ + prior_samples * prior_cost;
    const double held = held_seconds_sum_ + prior_samples * prior_held_seconds;
    return std::max(cost / held, 1e-6);
}

double service_rate::mean_held_seconds() const
{
    return (held_seconds_sum_ + prior_samples * prior_held_seconds) /
           (samples_ + prior_samples);
}

double service_rate::mean_cost() const
{
    return (cost_sum_ + prior_samples * prior_cost) /
           (samples_ + prior_samples);
}

duration service_rate::first_byte_estimate() const
{
    return from_seconds(
        first_byte_seconds_ + estimate_deviations * first_byte_deviation_);
}

double
service_rate::arriving_cost_per_second(rank request_rank, time_point now) const
{
    const arrival_average& average =
        arrivals_[static_cast<std::size_t>(request_rank)];
    const double passed = std::max(0.0, to_seconds(now - average.updated));
    return average.cost * std::exp(-passed / arrival_time_constant_seconds) /
           arrival_time_constant_seconds;
}

} // namespace hickorygap
