#include "request/rate_limit/router_limits.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace hickorygap
{

namespace
{

// Time in which a permit that the router has given itself must be used.
constexpr duration permit_lifetime = std::chrono::seconds{1};

// Share of its even share of a limit that a router uses without a leader.
constexpr double leaderless_share = 0.5;

// Time in which a report reaches the leader, and the change the routers.
constexpr duration report_delay = std::chrono::seconds{1};

} // namespace

router_limits::router_limits(std::uint64_t seed)
    : random_{seed}
{
}

void router_limits::set_routers(std::uint32_t routers)
{
    routers_ = std::max(routers, 1U);
}

bool router_limits::on_response(const backend_limit& limit, time_point now)
{
    const auto found = servers_.find(limit.backend);
    const bool is_new = found == servers_.end();
    if (is_new && !limit.requests_per_second)
    {
        return false;
    }
    server named = is_new ? server{} : found->second;
    named.observed_at = now;
    set_limit(
        named, limit.requests_per_second.value_or(named.requests_per_second),
        !limit.requests_per_second, now);
    const server previous = std::exchange(servers_[limit.backend], named);
    if (!is_new && previous.ending_since == named.ending_since &&
        previous.requests_per_second == named.requests_per_second)
    {
        return false;
    }
    std::erase_if(
        observed_, [&](const backend_limit& item)
        { return item.backend == limit.backend; });
    observed_.push_back(limit);
    return true;
}

void router_limits::on_changes(const limit_changes& changes, time_point now)
{
    for (const backend_limit& limit : changes.limits)
    {
        const auto found = servers_.find(limit.backend);
        const bool is_just_observed =
            found != servers_.end() && found->second.observed_at &&
            now - *found->second.observed_at < report_delay;
        if (is_just_observed)
        {
            continue;
        }
        if (limit.requests_per_second)
        {
            set_limit(
                servers_[limit.backend], *limit.requests_per_second,
                limit.is_ending, now);
        }
        else
        {
            servers_.erase(limit.backend);
        }
    }
    // Without the changes before, this router keeps its version, and gets them
    // with the answer to its next query.
    if (changes.base_version <= version_)
    {
        version_ = std::max(version_, changes.version);
    }
}

void router_limits::set_limit(
    server& known, double limit, bool is_ending, time_point now)
{
    known.requests_per_second = limit;
    if (is_ending != known.ending_since.has_value())
    {
        known.ending_since = is_ending ? std::optional{now} : std::nullopt;
        // The next permit was due at the rate before.
        known.next_permit.reset();
    }
}

// The times of permits are a Poisson process, which has no memory.
duration router_limits::time_to_permit(const server& known, time_point now)
{
    const double permitted =
        known.ending_since
            ? permitted_rate_after_end(
                  known.requests_per_second, now - *known.ending_since)
            : permitted_rate(known.requests_per_second);
    const double rate = permitted * leaderless_share / routers_;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{
        std::exponential_distribution<>{rate}(random_)});
}

bool router_limits::take_own_permit(backend_server_id backend, time_point now)
{
    const auto found = servers_.find(backend);
    if (found == servers_.end() ||
        (found->second.ending_since &&
         now - *found->second.ending_since > limit_growth_period))
    {
        return true;
    }
    server& known = found->second;
    if (!known.next_permit || *known.next_permit + permit_lifetime < now)
    {
        known.next_permit = now + time_to_permit(known, now);
    }
    if (*known.next_permit > now)
    {
        return false;
    }
    known.next_permit = now + time_to_permit(known, now);
    return true;
}

permit_query router_limits::make_query(const permit_request& request) const
{
    permit_query query;
    query.version = version_;
    query.request = request;
    query.request.candidates.clear();
    for (const backend_server_id backend : request.candidates)
    {
        const auto found = servers_.find(backend);
        backend_limit& candidate = query.candidates.emplace_back();
        candidate.backend = backend;
        if (found != servers_.end())
        {
            candidate.requests_per_second = found->second.requests_per_second;
            candidate.is_ending = found->second.ending_since.has_value();
        }
    }
    query.observed = observed_;
    return query;
}

void router_limits::on_reported()
{
    observed_.clear();
}

} // namespace hickorygap
