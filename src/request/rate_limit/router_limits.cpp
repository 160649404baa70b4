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

} // namespace

router_limits::router_limits(std::uint64_t seed)
    : random_{seed}
{
}

void router_limits::set_routers(std::uint32_t routers)
{
    routers_ = std::max(routers, 1U);
}

bool router_limits::is_observed(backend_server_id backend) const
{
    return std::ranges::find(observed_, backend, &backend_limit::backend) !=
           observed_.end();
}

bool router_limits::on_response(const backend_limit& limit)
{
    const auto found = servers_.find(limit.backend);
    const bool is_known =
        found == servers_.end()
            ? !limit.requests_per_second
            : found->second.requests_per_second == limit.requests_per_second;
    if (is_known)
    {
        return false;
    }
    std::erase_if(
        observed_, [&](const backend_limit& item)
        { return item.backend == limit.backend; });
    observed_.push_back(limit);
    if (limit.requests_per_second)
    {
        servers_[limit.backend].requests_per_second =
            *limit.requests_per_second;
    }
    else
    {
        servers_.erase(found);
    }
    return true;
}

void router_limits::on_table(const limit_table& table)
{
    table_version_ = table.version;
    absl::flat_hash_map<backend_server_id, server> previous;
    std::swap(previous, servers_);
    for (const auto& [backend, known] : previous)
    {
        if (is_observed(backend))
        {
            servers_[backend] = known;
        }
    }
    for (const backend_limit& limit : table.limits)
    {
        if (limit.requests_per_second && !is_observed(limit.backend))
        {
            server& known = servers_[limit.backend];
            known = previous[limit.backend];
            known.requests_per_second = *limit.requests_per_second;
        }
    }
}

// The times of permits are a Poisson process, which has no memory.
duration router_limits::time_to_permit(const server& known)
{
    const double rate =
        permitted_rate(known.requests_per_second) * leaderless_share / routers_;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{
        std::exponential_distribution<>{rate}(random_)});
}

bool router_limits::take_own_permit(backend_server_id backend, time_point now)
{
    const auto found = servers_.find(backend);
    if (found == servers_.end())
    {
        return true;
    }
    server& known = found->second;
    if (!known.next_permit || *known.next_permit + permit_lifetime < now)
    {
        known.next_permit = now + time_to_permit(known);
    }
    if (*known.next_permit > now)
    {
        return false;
    }
    known.next_permit = now + time_to_permit(known);
    return true;
}

std::vector<backend_limit> router_limits::take_observed()
{
    return std::exchange(observed_, {});
}

std::vector<backend_limit> router_limits::take_all()
{
    std::vector<backend_limit> result = take_observed();
    for (const auto& [backend, known] : servers_)
    {
        result.push_back({backend, known.requests_per_second});
    }
    return result;
}

} // namespace hickorygap
