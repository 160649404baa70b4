#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_RELAY_PLANNER_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_RELAY_PLANNER_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

// What a voter knows about a router when it plans relays.
struct planned_router
{
    instance_id instance = 0;
    std::string failure_domain;

    // The relay that it reports to use; its own id when it is a relay, zero for
    // none.
    instance_id relay = 0;

    // A relay that has recently failed to serve it; zero for none.
    instance_id avoided = 0;

    // When its first report on its link to the voter arrived.
    time_point since;
};

// Assigns routers to relays, through which a voter reaches them. In a large
// fleet some routers of each failure domain are relays: they forward documents
// and the fleet's loads to their group and sum up its loads. So the number of a
// voter's messages grows with the square root of the fleet, and documents cross
// failure domains once per group. Relays make no decisions and are optional: a
// router without one is served by the voters directly.
//
// Needed because a star topology saturates the network link of its centre: at
// 195 routers loads were two seconds old when they arrived. Has no clock of its
// own; all times are passed in.
class relay_planner
{
public:
    // Updates the plan for the given routers. Relays and groups are kept where
    // possible, also those that another voter planned.
    void update(std::span<const planned_router> routers, time_point now);

    // The relay of a router; its own id when it is a relay, zero for none.
    instance_id relay_of(instance_id router) const;

private:
    struct domain_plan
    {
        std::vector<const planned_router*> routers;
        std::set<instance_id> relays;
    };

    void
    update_demotions(std::span<const planned_router> routers, time_point now);
    void choose_relays(domain_plan& domain, std::size_t group, time_point now);
    void assign_relays(const domain_plan& domain, std::size_t group);
    bool is_demoted(instance_id relay, time_point now) const;

    // Relay of each router; a relay is mapped to itself.
    std::map<instance_id, instance_id> relays_;
    std::map<instance_id, time_point> demoted_until_;
};

} // namespace hickorygap

#endif
