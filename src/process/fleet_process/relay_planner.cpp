#include "process/fleet_process/relay_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorygap
{

namespace
{

// Up to this number of routers, the voters serve all of them without relays.
constexpr std::size_t max_routers_without_relays = 16;

// Bounds for the routers of one relay, which are otherwise the square root of
// the number of all routers.
constexpr std::size_t min_group_size = 8;
constexpr std::size_t max_group_size = 32;

// A failure domain with fewer routers than this has no relay.
constexpr std::size_t min_domain_size = 4;

// A group may grow to this multiple of its planned size before routers are
// moved to another relay.
constexpr double max_group_growth = 1.5;

// Number of relays beyond the needed ones that are kept, so that groups don't
// move each time a router restarts.
constexpr std::size_t spare_relays = 1;

// A relay that at least this number of routers could not use is not chosen as a
// relay for the demotion period. One router is not enough, because it may
// itself be partitioned.
constexpr std::size_t min_complaints_to_demote = 2;
constexpr duration demotion_period = std::chrono::seconds{10};

std::size_t group_size(std::size_t routers)
{
    const auto root = static_cast<std::size_t>(
        std::ceil(std::sqrt(static_cast<double>(routers))));
    return std::clamp(root, min_group_size, max_group_size);
}

} // namespace

instance_id relay_planner::relay_of(instance_id router) const
{
    const auto found = relays_.find(router);
    return found == relays_.end() ? 0 : found->second;
}

bool relay_planner::is_demoted(instance_id relay, time_point now) const
{
    const auto found = demoted_until_.find(relay);
    return found != demoted_until_.end() && found->second > now;
}

void relay_planner::update_demotions(
    std::span<const planned_router> routers, time_point now)
{
    std::erase_if(
        demoted_until_, [&](const auto& item) { return item.second <= now; });
    std::map<instance_id, std::size_t> complaints;
    for (const planned_router& router : routers)
    {
        if (router.avoided != 0)
        {
            ++complaints[router.avoided];
        }
    }
    for (const auto& [relay, count] : complaints)
    {
        if (count >= min_complaints_to_demote)
        {
            demoted_until_.try_emplace(relay, now + demotion_period);
        }
    }
}

void relay_planner::update(
    std::span<const planned_router> routers, time_point now)
{
    update_demotions(routers, now);
    if (routers.size() <= max_routers_without_relays)
    {
        relays_.clear();
        return;
    }
    std::map<std::string, domain_plan> domains;
    for (const planned_router& router : routers)
    {
        domains[router.failure_domain].routers.push_back(&router);
    }
    const std::size_t group = group_size(routers.size());
    std::map<instance_id, instance_id> previous;
    std::swap(previous, relays_);
    for (auto& [name, domain] : domains)
    {
        if (domain.routers.size() < min_domain_size)
        {
            continue;
        }
        for (const planned_router* router : domain.routers)
        {
            const auto known = previous.find(router->instance);
            const bool was_relay =
                known != previous.end() && known->second == router->instance;
            if (was_relay || router->relay == router->instance)
            {
                domain.relays.insert(router->instance);
            }
            // The relay that the router reports takes precedence over the one
            // planned here: another voter may have planned it before this one
            // became the leader.
            if (const instance_id used = router->relay != 0 ? router->relay
                                         : known != previous.end()
                                             ? known->second
                                             : 0;
                used != 0 && used != router->avoided)
            {
                relays_[router->instance] = used;
            }
        }
        choose_relays(domain, group, now);
        assign_relays(domain, group);
    }
}

void relay_planner::choose_relays(
    domain_plan& domain, std::size_t group, time_point now)
{
    const std::size_t needed = (domain.routers.size() + group - 1) / group;
    std::erase_if(
        domain.relays,
        [&](instance_id relay) { return is_demoted(relay, now); });
    while (domain.relays.size() > needed + spare_relays)
    {
        domain.relays.erase(std::prev(domain.relays.end()));
    }
    // Routers that have been connected for longest come first, as they are the
    // least likely to fail.
    std::ranges::sort(
        domain.routers,
        [](const planned_router* left, const planned_router* right)
        {
            return std::pair{left->since, left->instance} <
                   std::pair{right->since, right->instance};
        });
    for (const planned_router* router : domain.routers)
    {
        if (domain.relays.size() >= needed)
        {
            break;
        }
        if (!is_demoted(router->instance, now))
        {
            domain.relays.insert(router->instance);
        }
    }
}

void relay_planner::assign_relays(const domain_plan& domain, std::size_t group)
{
    std::map<instance_id, std::size_t> member_counts;
    for (const instance_id relay : domain.relays)
    {
        member_counts[relay] = 0;
    }
    const auto max_members =
        static_cast<std::size_t>(max_group_growth * static_cast<double>(group));
    std::vector<const planned_router*> unassigned;
    for (const planned_router* router : domain.routers)
    {
        const auto found = relays_.find(router->instance);
        if (domain.relays.contains(router->instance))
        {
            relays_[router->instance] = router->instance;
        }
        else if (
            found != relays_.end() && found->second != router->instance &&
            domain.relays.contains(found->second) &&
            member_counts[found->second] < max_members)
        {
            ++member_counts[found->second];
        }
        else
        {
            relays_.erase(router->instance);
            unassigned.push_back(router);
        }
    }
    for (const planned_router* router : unassigned)
    {
        auto best = member_counts.end();
        for (auto item = member_counts.begin(); item != member_counts.end();
             ++item)
        {
            if (item->first != router->avoided &&
                (best == member_counts.end() || item->second < best->second))
            {
                best = item;
            }
        }
        if (best != member_counts.end())
        {
            ++best->second;
            relays_[router->instance] = best->first;
        }
    }
}

} // namespace hickorygap
