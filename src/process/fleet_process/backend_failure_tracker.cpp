#include "process/fleet_process/backend_failure_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorygap
{

namespace
{

// Half-life of the weight of an outcome. A server that is avoided for its
// failures gets requests again after a few half-lives.
constexpr double outcome_half_life_s = 1.0;

// Successes that are assumed besides the actual outcomes, so that a single
// failure, which also happens at healthy servers, gives a low failure share.
constexpr double assumed_successes = 3.0;

// A server that has at least this number of requests in flight and makes no
// progress with any of them for this time is taken for failed. Engines emit
// events more often, and plain servers answer sooner.
constexpr std::uint32_t min_requests_to_judge = 3;
constexpr duration max_time_without_progress = std::chrono::milliseconds{700};

// Servers without reports for this time are removed.
constexpr duration retention_period = std::chrono::seconds{30};

double weight_of(duration age)
{
    return std::exp2(
        -std::chrono::duration<double>(age).count() / outcome_half_life_s);
}

} // namespace

void backend_failure_tracker::add(
    std::span<const backend_load> fleet, time_point now)
{
    for (auto& [number, known] : servers_)
    {
        known.held_requests_before = std::exchange(known.holds_requests, false);
    }
    for (const backend_load& load : fleet)
    {
        const auto [found, is_new] = servers_.try_emplace(load.backend);
        server& known = found->second;
        const double weight = is_new ? 0 : weight_of(now - known.updated_at);
        known.outcomes = known.outcomes * weight + load.outcomes;
        known.failures = known.failures * weight + load.failures;
        known.updated_at = now;
        known.holds_requests = load.in_flight >= min_requests_to_judge;
        if (load.progress > 0 || !known.holds_requests ||
            !known.held_requests_before)
        {
            known.last_progress_at = now;
        }
    }
    absl::erase_if(
        servers_, [&](const auto& item)
        { return now - item.second.updated_at > retention_period; });
}

double
backend_failure_tracker::failure_share(const server& known, time_point now)
{
    if (known.holds_requests &&
        now - known.last_progress_at > max_time_without_progress)
    {
        return 1;
    }
    const double weight = weight_of(now - known.updated_at);
    return known.failures * weight /
           (known.outcomes * weight + assumed_successes);
}

std::vector<fleet_backend_load> backend_failure_tracker::conditions(
    std::span<const backend_load> fleet, time_point now) const
{
    absl::flat_hash_map<std::uint32_t, std::uint16_t> in_flight;
    for (const backend_load& load : fleet)
    {
        in_flight[load.backend] = load.in_flight;
    }
    std::vector<fleet_backend_load> result;
    for (const auto& [number, known] : servers_)
    {
        constexpr double percent = 100;
        fleet_backend_load condition;
        condition.backend = number;
        condition.failure_percent = static_cast<std::uint16_t>(
            std::lround(percent * std::min(failure_share(known, now), 1.0)));
        if (const auto found = in_flight.find(number); found != in_flight.end())
        {
            condition.in_flight = found->second;
        }
        if (condition.in_flight > 0 || condition.failure_percent > 0)
        {
            result.push_back(condition);
        }
    }
    std::ranges::sort(result, {}, &fleet_backend_load::backend);
    return result;
}

} // namespace hickorygap
