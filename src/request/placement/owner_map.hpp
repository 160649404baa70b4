#ifndef HICKORYGAP_REQUEST_PLACEMENT_OWNER_MAP_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_OWNER_MAP_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace hickorygap
{

// Which instance owns each cell: bounded rendezvous hashing over the live
// members, so that none owns more than ceil(2 * cells / members). Without the
// bound one instance owned both cells of a site with 8 instances and sent
// twice the control traffic. Also remembers instances that did not answer or
// declined, so that an entry router goes on to the next one.
class owner_map
{
public:
    explicit owner_map(instance_id self);

    // No cell has an owner before the first call, so that an instance that
    // has just started does not consider itself the owner of everything.
    void set_members(std::span<const instance_id> live);
    void set_cells(std::span<const cell_id> cells);

    // An instance that is shutting down owns nothing any more.
    void set_departing(instance_id instance);
    void clear_departing(instance_id instance);

    // Owner by this instance's view; 0 when there is no member.
    instance_id owner_of(cell_id cell) const;

    // Owner that an entry router should ask now: the first in the order that
    // has not been skipped. 0 when all of the first candidates are skipped.
    instance_id candidate(cell_id cell, time_point now) const;

    // Leaves the instance out for the cell until the time.
    void skip(cell_id cell, instance_id instance, time_point until);

    // Ends the skipping of an instance that answered.
    void unskip(cell_id cell, instance_id instance);

    // The owner of the cell and its probable successors.
    std::span<const instance_id> order_of(cell_id cell) const;

    std::span<const instance_id> members() const
    {
        return members_;
    }
    bool is_departing(instance_id instance) const
    {
        return departing_.contains(instance);
    }

private:
    void rebuild();

    instance_id self_;
    std::vector<instance_id> members_;
    std::vector<cell_id> cells_;
    std::set<instance_id> departing_;
    std::map<cell_id, std::vector<instance_id>> order_;
    std::map<std::pair<cell_id, instance_id>, time_point> skipped_;
};

} // namespace hickorygap

#endif
