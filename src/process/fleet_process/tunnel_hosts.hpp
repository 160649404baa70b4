#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_TUNNEL_HOSTS_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_TUNNEL_HOSTS_HPP

#include "common/ids.hpp"
#include "common/random.hpp"

#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

// A router that may host tunnels for others.
struct tunnel_host
{
    instance_id instance = 0;
    std::string failure_domain;

    // It can't connect to the backend servers of some service.
    bool has_lost_services = false;
};

// Chooses hosts for the routers of a failure domain at random: a few of that
// domain, to which the way is shortest, then a few of others, because most of a
// domain may be cut off together. Routers that have lost services come last.
std::vector<instance_id> choose_tunnel_hosts(
    std::span<const tunnel_host> routers, std::string_view failure_domain,
    random_engine& random);

} // namespace hickorygap

#endif
