#include "request/rate_limit/router_limits.hpp"

#include "common/random_duration.hpp"

#include <algorithm>
#include <limits>
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

// Longest time between two permits, for rates that are close to zero.
constexpr double max_permit_interval_seconds = 3600;

// Time in which a report reaches the leader, and the change the routers.
constexpr duration report_delay = std::chrono::seconds{1};

// Time for which a router avoids a brittle server that has rejected a request,
// and random time in addition, so that routers do not return together.
constexpr duration min_avoidance = std::chrono::milliseconds{100};
constexpr duration random_avoidance = std::chrono::milliseconds{200};

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
    named.is_brittle =
        limit.requests_per_second ? limit.is_brittle : named.is_brittle;
    if (limit.rejections > 0)
    {
        named.avoided_until =
            now + min_avoidance + random_duration(random_, random_avoidance);
    }
    const server previous = std::exchange(servers_[limit.backend], named);
    const bool is_change =
        is_new || previous.ending_since != named.ending_since ||
        previous.is_brittle != named.is_brittle ||
        previous.requests_per_second != named.requests_per_second;
    if (is_change || limit.rejections > 0)
    {
        add_observed(limit);
    }
    return is_change;
}

// Replaces what was observed of the server before, but for its rejections.
void router_limits::add_observed(const backend_limit& limit)
{
    backend_limit added = limit;
    for (const backend_limit& item : observed_)
    {
        if (item.backend == limit.backend)
        {
            constexpr std::uint32_t max_rejections =
                std::numeric_limits<std::uint16_t>::max();
            added.rejections = static_cast<std::uint16_t>(std::min(
                std::uint32_t{added.rejections} + item.rejections,
                max_rejections));
        }
    }
    std::erase_if(
        observed_, [&](const backend_limit& item)
        { return item.backend == limit.backend; });
    observed_.push_back(added);
}

void router_limits::on_changes(const limit_changes& changes, time_point now)
{
    if (term_of_limits(changes.version) < term_of_limits(version_))
    {
        // From a leader that has been replaced, over a slow link.
        return;
    }
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
            server& known = servers_[limit.backend];
            set_limit(known, *limit.requests_per_second, limit.is_ending, now);
            known.is_brittle = limit.is_brittle;
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

bool router_limits::is_avoided(backend_server_id backend, time_point now) const
{
    const auto found = servers_.find(backend);
    return found != servers_.end() && now < found->second.avoided_until;
}

// The times of permits are a Poisson process, which has no memory.
duration router_limits::time_to_permit(double permitted)
{
    const double rate = permitted * leaderless_share / routers_;
    const double seconds = rate > 0
                               ? std::exponential_distribution<>{rate}(random_)
                               : max_permit_interval_seconds;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{
        std::min(seconds, max_permit_interval_seconds)});
}

// Whether a permit is due at a server with this rate; uses it up.
bool router_limits::is_due(
    std::optional<time_point>& next_permit, double permitted, time_point now)
{
    if (!next_permit || *next_permit + permit_lifetime < now)
    {
        next_permit = now + time_to_permit(permitted);
    }
    if (*next_permit > now)
    {
        return false;
    }
    next_permit = now + time_to_permit(permitted);
    return true;
}

void router_limits::set_cold(const std::map<backend_server_id, double>& rates)
{
    std::erase_if(
        cold_, [&](const auto& item) { return !rates.contains(item.first); });
    for (const auto& [backend, rate] : rates)
    {
        cold_[backend].requests_per_second = rate;
    }
}

bool router_limits::take_own_permit(backend_server_id backend, time_point now)
{
    const auto cold = cold_.find(backend);
    if (cold != cold_.end() &&
        !is_due(
            cold->second.next_permit, cold->second.requests_per_second, now))
    {
        return false;
    }
    const auto found = servers_.find(backend);
    if (found == servers_.end() ||
        (found->second.ending_since &&
         now - *found->second.ending_since > limit_growth_period))
    {
        return true;
    }
    server& known = found->second;
    const double permitted =
        known.ending_since
            ? permitted_rate_after_end(
                  known.requests_per_second, now - *known.ending_since)
            : permitted_rate(known.requests_per_second);
    return is_due(known.next_permit, permitted, now);
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
            candidate.is_brittle = found->second.is_brittle;
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
