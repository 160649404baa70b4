#include "process/fleet_process/tunnel_hosts.hpp"

#include <algorithm>
#include <cstddef>

namespace hickorygap
{

namespace
{

// Hosts that are named from the routers' own failure domain and from others.
// Routers of the same domain use different ones, because each notice names
// others.
constexpr std::size_t hosts_per_part = 2;

} // namespace

std::vector<instance_id> choose_tunnel_hosts(
    std::span<const tunnel_host> routers, std::string_view failure_domain,
    random_engine& random)
{
    std::vector<const tunnel_host*> shuffled;
    for (const tunnel_host& router : routers)
    {
        shuffled.push_back(&router);
    }
    std::ranges::shuffle(shuffled, random);
    std::vector<instance_id> chosen;
    const auto add = [&](auto is_suitable)
    {
        std::size_t added = 0;
        for (const tunnel_host* router : shuffled)
        {
            if (added < hosts_per_part && is_suitable(*router))
            {
                chosen.push_back(router->instance);
                ++added;
            }
        }
    };
    for (const bool has_lost_services : {false, true})
    {
        for (const bool is_near : {true, false})
        {
            add(
                [&](const tunnel_host& router)
                {
                    return router.has_lost_services == has_lost_services &&
                           (router.failure_domain == failure_domain) == is_near;
                });
        }
        if (!chosen.empty())
        {
            break;
        }
    }
    return chosen;
}

} // namespace hickorygap
