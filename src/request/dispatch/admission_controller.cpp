#include "request/dispatch/admission_controller.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace hickorygap
{

namespace
{

// Mean load, in multiples of the slots, up to which all requests are admitted,
// by rank below the first. The first rank is admitted at any load, unless its
// organisation sends a surge, and left to the engines, which queue up to three
// times their slots.
constexpr std::array load_limits{0.0, 2.5, 1.0};

// The same for an organisation that sends a surge. It is low because other
// requests of the same rank queue behind those of the surge.
constexpr double surge_limit = 1.25;

// Above the limit the admitted share falls linearly with the load, to
// min_admitted_share at the limit plus this multiple of the slots.
constexpr double ramp_width = 0.5;
constexpr double min_admitted_share = 0.02;

// An organisation sends a surge when its requests are at least this multiple of
// an even share among the active organisations, and at least
// min_surging_requests.
constexpr double surge_multiple = 4.0;
constexpr double min_surging_requests = 10.0;

// Half-life of the weight of a request.
constexpr double half_life_s = 2.0;

double decay_weight(duration age)
{
    return std::exp2(-std::chrono::duration<double>(age).count() / half_life_s);
}

} // namespace

admission_controller::admission_controller(std::uint64_t seed)
    : random_{seed}
{
}

void admission_controller::count(std::string_view organisation, time_point now)
{
    const auto known = organisations_.find(organisation);
    organisation_count& item =
        known != organisations_.end()
            ? known->second
            : organisations_.emplace(organisation, organisation_count{})
                  .first->second;
    item.requests = item.requests * decay_weight(now - item.at) + 1;
    item.at = now;
}

bool admission_controller::is_surging(
    std::string_view organisation, time_point now) const
{
    const auto found = organisations_.find(organisation);
    if (organisation.empty() || found == organisations_.end() ||
        found->second.requests < min_surging_requests)
    {
        return false;
    }
    double all = 0;
    double active = 0;
    for (const auto& [name, item] : organisations_)
    {
        const double requests = item.requests * decay_weight(now - item.at);
        constexpr double min_active_requests = 0.5;
        all += requests;
        active += requests >= min_active_requests ? 1 : 0;
    }
    return found->second.requests * active > surge_multiple * all;
}

admission_decision
admission_controller::decide(const admission_query& query, time_point now)
{
    const auto share = admitted_share(query, now);
    return !share || std::bernoulli_distribution{*share}(random_)
               ? admission_decision::admitted
               : admission_decision::refused;
}

std::optional<double> admission_controller::admitted_share(
    const admission_query& query, time_point now)
{
    count(query.organisation, now);
    const std::size_t rank =
        std::min<std::size_t>(query.rank_below_first, load_limits.size() - 1);
    const bool surges = is_surging(query.organisation, now);
    if (query.slots <= 0 || (rank == 0 && !surges))
    {
        return std::nullopt;
    }
    const double limit =
        (surges ? surge_limit : load_limits.at(rank)) * query.slots;
    return std::clamp(
        1 - (query.mean_load - limit) / (ramp_width * query.slots),
        min_admitted_share, 1.0);
}

} // namespace hickorygap
