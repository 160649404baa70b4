#include "request/overload/work_admission.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace hickorygap
{

namespace
{

// Requests of any size keep at least this part of their rank's admitted share.
constexpr double min_part_of_share = 0.5;

// A request that needs a multiple of the mean work is admitted less often by
// the root of that multiple, within this factor.
constexpr double max_weight = 2;

// Weight of a request that can come back before its objective.
constexpr double returning_weight = 0.5;

// Time after which refused requests come back, as a rule.
constexpr duration return_time = std::chrono::milliseconds{500};

// A request is hopeless if the queue is longer than the time that its caller
// waits by this factor. Loads are counted several times a second only.
constexpr double hopeless_factor = 1.25;

// Half-life of the weight of a request in the balance of its rank.
constexpr double half_life_s = 2.0;

double in_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

// Expected time from the arrival of a request at an engine to its start.
double queueing_seconds(const admission_query& query)
{
    return query.slots <= 0 ? 0
                            : std::max(query.mean_load - query.slots, 0.0) /
                                  query.slots * in_seconds(query.mean_work);
}

// Work of the request as a multiple of the mean.
double relative_work(const admission_query& query)
{
    return query.mean_work <= duration{0} || query.work <= duration{0}
               ? 1
               : in_seconds(query.work) / in_seconds(query.mean_work);
}

double weight_of(const admission_query& query)
{
    const double weight = std::clamp(
        1 / std::sqrt(relative_work(query)), 1 / max_weight, max_weight);
    const bool can_return = query.objective_left != duration::max() &&
                            query.objective_left > return_time + query.work;
    return can_return ? weight * returning_weight : weight;
}

} // namespace

work_admission::work_admission(std::uint64_t seed)
    : ranks_{seed}
    , random_{seed + 1}
{
}

// Makes the admitted work of a rank that of its share.
double work_admission::scale_of(const rank_balance& balance) const
{
    return balance.expected <= 0 ? 1 : balance.offered / balance.expected;
}

admission_decision
work_admission::decide(const admission_query& query, time_point now)
{
    const double share = ranks_.admitted_share(query, now).value_or(1);
    if (query.time_left != duration::max() &&
        queueing_seconds(query) > hopeless_factor * in_seconds(query.time_left))
    {
        return admission_decision::hopeless;
    }
    rank_balance& balance = balances_[query.rank_below_first];
    const double decay = std::exp2(-in_seconds(now - balance.at) / half_life_s);
    const double weight = weight_of(query);
    const double work = relative_work(query);
    balance.offered = balance.offered * decay + work;
    balance.expected = balance.expected * decay + work * weight;
    balance.at = now;
    if (share >= 1)
    {
        return admission_decision::admitted;
    }
    const double admitted = std::clamp(
        share * weight * scale_of(balance), share * min_part_of_share, 1.0);
    return std::bernoulli_distribution{admitted}(random_)
               ? admission_decision::admitted
               : admission_decision::refused;
}

} // namespace hickorygap
