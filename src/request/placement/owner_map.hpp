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

// Assigns an owner instance to each cell by rendezvous hashing over the live
// members, with at most ceil(2 * cells / members) cells per member. Without
// this bound, one instance owned both cells of a site with 8 instances and sent
// twice the control traffic. Also remembers which instances did not answer or
// declined, so that an entry router tries the next candidate.
class owner_map
{
public:
    explicit owner_map(instance_id self);

    // No cell has an owner before the first call; otherwise an instance that
    // has just started would consider itself the owner of all cells.
    void set_members(std::span<const instance_id> live);
    void set_cells(std::span<const cell_id> cells);

    // Excludes an instance that is shutting down from ownership.
    void set_departing(instance_id instance);
    void clear_departing(instance_id instance);

    // Owner of the cell in this instance's membership view; 0 when there is no
    // member.
    instance_id owner_of(cell_id cell) const;

    // Instance that an entry router should contact now: the first candidate of
    // the cell that is not skipped. 0 when all are skipped.
    instance_id candidate(cell_id cell, time_point now) const;

    // Excludes the instance as a candidate for the cell until the given time.
    void skip(cell_id cell, instance_id instance, time_point until);

    // Makes an instance that answered a candidate for the cell again.
    void unskip(cell_id cell, instance_id instance);

    // The owner of the cell, followed by the members that probably take over
    // when it is lost. Empty when the cell is unknown or there is no member.
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
