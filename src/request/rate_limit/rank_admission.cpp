#include "request/rate_limit/rank_admission.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace hickorygap
{

namespace
{

// Time constant of the counts, which follow a change of the demand within some
// seconds.
constexpr double decay_time_s = 2.0;

// Share of the capacity that is admitted. The rest lets the urgent requests
// find a server, because admitted requests come at random moments.
constexpr double used_share = 0.95;

// Share of what a rank would get without ranks that it always gets.
constexpr double guaranteed_share = 0.5;

} // namespace

rank_admission::rank_admission(std::uint64_t seed)
    : random_{seed}
{
}

double rank_admission::demand(const request_count& count, time_point now)
{
    const double age = std::chrono::duration<double>(now - count.at).count();
    return count.requests * std::exp(-age / decay_time_s) / decay_time_s;
}

bool rank_admission::admits(
    std::uint32_t rank_below_first, double capacity, time_point now)
{
    request_count& own = ranks_[rank_below_first];
    own.requests = demand(own, now) * decay_time_s + 1;
    own.at = now;
    double total = 0;
    double urgent = 0;
    for (const auto& [rank, count] : ranks_)
    {
        const double requests = demand(count, now);
        total += requests;
        urgent += rank < rank_below_first ? requests : 0;
    }
    const double usable = used_share * capacity;
    if (total <= usable)
    {
        return true;
    }
    // The ranks below are guaranteed their share of the capacity too.
    const double guaranteed = guaranteed_share * usable / total;
    const double own_demand = demand(own, now);
    const double below = total - urgent - own_demand;
    const double left = usable - std::min(urgent, usable) - guaranteed * below;
    const double share = std::max(guaranteed, left / own_demand);
    return std::uniform_real_distribution<>{0, 1}(random_) < share;
}

} // namespace hickorygap
