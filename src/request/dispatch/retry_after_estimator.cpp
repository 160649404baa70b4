#include "request/dispatch/retry_after_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace hickorygap
{

namespace
{

// Shortest wait. By then servers that were full have finished some requests,
// and a crashed one is avoided.
constexpr duration min_wait = std::chrono::milliseconds{200};

// Longest wait, as a share of the time that the caller has left.
constexpr double max_wait_share = 0.3;

// Random reduction of waits, as a share, so that callers who were refused
// together do not retry together.
constexpr double jitter_share = 0.3;

// When all servers have said when they accept requests again, waits of the
// first rank are spread over this share beyond that time, and those of each
// further rank over as much after it.
constexpr double reopening_jitter_share = 0.2;

// Each rank adds this share of the wait, up to max_rank_offset ranks below the
// first.
constexpr double wait_increase_per_rank = 0.5;
constexpr std::uint32_t max_rank_offset = 2;

// Half-life of the weight of a finished request.
constexpr double half_life_s = 1.0;

// Served requests that are assumed before there are samples.
constexpr double prior_served_requests = 2.0;

} // namespace

retry_after_estimator::retry_after_estimator(std::uint64_t seed)
    : random_{seed}
{
}

void retry_after_estimator::decay(time_point now)
{
    const double age = std::chrono::duration<double>(now - at_).count();
    const double weight = std::exp2(-age / half_life_s);
    finished_ *= weight;
    refusals_ *= weight;
    at_ = now;
}

void retry_after_estimator::on_end(bool refused, time_point now)
{
    decay(now);
    finished_ += 1;
    refusals_ += refused ? 1 : 0;
}

double retry_after_estimator::refused_share(time_point now) const
{
    const double age = std::chrono::duration<double>(now - at_).count();
    const double weight = std::exp2(-age / half_life_s);
    return refusals_ * weight / (finished_ * weight + prior_served_requests);
}

duration retry_after_estimator::retry_after(
    const retry_after_query& caller, time_point now)
{
    const auto rank_offset = std::min(caller.rank_below_first, max_rank_offset);
    const double jitter = std::uniform_real_distribution<>{}(random_);
    if (caller.until_accepting)
    {
        return std::chrono::duration_cast<duration>(
            *caller.until_accepting *
            (1 + reopening_jitter_share * (rank_offset + jitter)));
    }
    const auto max_wait =
        std::chrono::duration_cast<duration>(caller.time_left * max_wait_share);
    const auto wait = std::chrono::duration_cast<duration>(
        (min_wait +
         std::max(max_wait - min_wait, duration{0}) * refused_share(now)) *
        (1 + wait_increase_per_rank * rank_offset));
    return std::chrono::duration_cast<duration>(
        std::min(wait, max_wait) * (1 - jitter_share * jitter));
}

} // namespace hickorygap
