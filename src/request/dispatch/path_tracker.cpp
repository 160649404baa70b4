#include "request/dispatch/path_tracker.hpp"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

namespace hickorygap
{

namespace
{

// Servers that must have failed since the last connection to any server of a
// service for the service to count as lost.
constexpr std::size_t min_failed_servers = 2;

// After another router has failed to reach a server too, no router is asked for
// this time.
constexpr duration router_retry_interval = std::chrono::milliseconds{500};

// Interval at which the direct path to a blocked server is tried again, and the
// limit of servers that are tried at the same time.
constexpr duration check_interval = std::chrono::milliseconds{500};
constexpr std::size_t max_checks = 2;

} // namespace

void path_tracker::on_connected(
    backend_server_id server, service_id service, time_point now)
{
    const auto found = failed_.find(server);
    const bool is_reachable_again =
        found != failed_.end() && found->second.is_blocked;
    const bool was_cut_off = is_cut_off(service);
    connected_at_[service] = now;
    failed_.erase(server);
    if (was_cut_off && is_reachable_again)
    {
        // The other servers are expected to be reachable again, too.
        std::erase_if(
            failed_,
            [&](const auto& item) { return item.second.service == service; });
    }
}

void path_tracker::on_unreachable(
    backend_server_id server, service_id service, time_point now)
{
    const auto [found, is_new] = failed_.try_emplace(server);
    if (is_new)
    {
        found->second.service = service;
        found->second.failed_at = now;
    }
    found->second.next_check = now + check_interval;
}

bool path_tracker::on_reached_by_router(backend_server_id server)
{
    const auto found = failed_.find(server);
    if (found == failed_.end())
    {
        return false;
    }
    found->second.unreached_by_router_at.reset();
    return !std::exchange(found->second.is_blocked, true);
}

void path_tracker::on_unreached_by_router(
    backend_server_id server, time_point now)
{
    const auto found = failed_.find(server);
    if (found != failed_.end() && !found->second.is_blocked)
    {
        found->second.unreached_by_router_at = now;
    }
}

void path_tracker::keep_only(
    const absl::flat_hash_set<backend_server_id>& listed)
{
    std::erase_if(
        failed_,
        [&](const auto& item) { return !listed.contains(item.first); });
}

backend_path path_tracker::path_to(
    backend_server_id server, service_id service, time_point now) const
{
    const auto found = failed_.find(server);
    if (found != failed_.end() && found->second.unreached_by_router_at &&
        now - *found->second.unreached_by_router_at < router_retry_interval)
    {
        return backend_path::direct_only;
    }
    if ((found != failed_.end() && found->second.is_blocked) ||
        is_cut_off(service))
    {
        return backend_path::through_router;
    }
    return backend_path::direct_first;
}

std::optional<time_point>
path_tracker::blocked_since(backend_server_id server, service_id service) const
{
    const auto own = failed_.find(server);
    if (own != failed_.end() && own->second.is_blocked)
    {
        return own->second.failed_at;
    }
    if (!is_cut_off(service))
    {
        return std::nullopt;
    }
    std::optional<time_point> first;
    for (const auto& [id, path] : failed_)
    {
        if (path.service == service && path.is_blocked)
        {
            first = std::min(first.value_or(path.failed_at), path.failed_at);
        }
    }
    return first;
}

bool path_tracker::is_lost(service_id service) const
{
    const auto connected = connected_at_.find(service);
    const auto failed = std::ranges::count_if(
        failed_,
        [&](const auto& item)
        {
            return item.second.service == service &&
                   (connected == connected_at_.end() ||
                    item.second.failed_at >= connected->second);
        });
    return static_cast<std::size_t>(failed) >= min_failed_servers;
}

bool path_tracker::is_cut_off(service_id service) const
{
    return std::ranges::any_of(
               failed_,
               [&](const auto& item) {
                   return item.second.service == service &&
                          item.second.is_blocked;
               }) &&
           is_lost(service);
}

std::vector<service_id> path_tracker::lost_services() const
{
    std::set<service_id> services;
    for (const auto& [id, path] : failed_)
    {
        if (!services.contains(path.service) && is_lost(path.service))
        {
            services.insert(path.service);
        }
    }
    return {services.begin(), services.end()};
}

std::vector<backend_server_id> path_tracker::take_due_checks(time_point now)
{
    std::vector<std::pair<time_point, backend_server_id>> due;
    for (const auto& [id, path] : failed_)
    {
        if (path.is_blocked && path.next_check <= now)
        {
            due.emplace_back(path.next_check, id);
        }
    }
    std::ranges::sort(due);
    due.resize(std::min(due.size(), max_checks));
    std::vector<backend_server_id> servers;
    for (const auto& [time, id] : due)
    {
        failed_[id].next_check = now + check_interval;
        servers.push_back(id);
    }
    return servers;
}

} // namespace hickorygap
