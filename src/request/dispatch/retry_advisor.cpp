#include "request/dispatch/retry_advisor.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace hickorygap
{

namespace
{

// Servers that were full have worked off some requests, or a crashed one is
// avoided by then.
constexpr duration shortest_wait = std::chrono::milliseconds{200};

// Callers wait for a third of their time at most.
constexpr double longest_part = 0.3;

// Waits differ by this share, so that callers who were refused together don't
// come back together.
constexpr double spread = 0.3;

// Callers who are told when servers take requests again come back within so
// much more than that time, the next rank within as much after them.
constexpr double reopening_spread = 0.2;

// Each rank waits so much longer than the one before it.
constexpr double factor_per_rank = 0.5;
constexpr std::uint32_t ranks = 2;

// Time after which half of the weight of an end is gone.
constexpr double half_life_s = 1.0;

// Ends that count as served before there are any.
constexpr double assumed_served = 2.0;

} // namespace

retry_advisor::retry_advisor(std::uint64_t seed)
    : random_{seed}
{
}

void retry_advisor::forget(time_point now)
{
    const double age = std::chrono::duration<double>(now - at_).count();
    const double weight = std::exp2(-age / half_life_s);
    ends_ *= weight;
    refusals_ *= weight;
    at_ = now;
}

void retry_advisor::on_end(bool refused, time_point now)
{
    forget(now);
    ends_ += 1;
    refusals_ += refused ? 1 : 0;
}

double retry_advisor::refused_share(time_point now) const
{
    const double age = std::chrono::duration<double>(now - at_).count();
    const double weight = std::exp2(-age / half_life_s);
    return refusals_ * weight / (ends_ * weight + assumed_served);
}

duration retry_advisor::advice(const refused_caller& caller, time_point now)
{
    const auto rank = std::min(caller.rank_below_first, ranks);
    const double drawn = std::uniform_real_distribution<>{}(random_);
    if (caller.until_accepted)
    {
        return std::chrono::duration_cast<duration>(
            *caller.until_accepted * (1 + reopening_spread * (rank + drawn)));
    }
    const auto longest =
        std::chrono::duration_cast<duration>(caller.time_left * longest_part);
    const auto wait = std::chrono::duration_cast<duration>(
        (shortest_wait +
         std::max(longest - shortest_wait, duration{0}) * refused_share(now)) *
        (1 + factor_per_rank * rank));
    return std::chrono::duration_cast<duration>(
        std::min(wait, longest) * (1 - spread * drawn));
}

} // namespace hickorygap
