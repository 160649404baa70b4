#include "request/placement/owner_map.hpp"

#include "common/hashing.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace hickorygap
{

namespace
{

// Candidates kept for each cell: the owner and its probable successors. The
// third covers the loss of two instances at once.
constexpr std::size_t candidates_per_cell = 3;

} // namespace

owner_map::owner_map(instance_id self)
    : self_(self)
{
}

void owner_map::set_members(std::span<const instance_id> live)
{
    members_.assign(live.begin(), live.end());
    if (std::find(members_.begin(), members_.end(), self_) == members_.end())
    {
        members_.push_back(self_);
    }
    std::sort(members_.begin(), members_.end());
    members_.erase(
        std::unique(members_.begin(), members_.end()), members_.end());
    // A departing instance that is no longer a member has stopped; if it
    // returns, it has restarted and may own cells again.
    std::erase_if(
        departing_,
        [&](instance_id instance) {
            return !std::binary_search(
                members_.begin(), members_.end(), instance);
        });
    skipped_.clear();
    rebuild();
}

void owner_map::set_cells(std::span<const cell_id> cells)
{
    cells_.assign(cells.begin(), cells.end());
    rebuild();
}

void owner_map::set_departing(instance_id instance)
{
    if (departing_.insert(instance).second)
    {
        rebuild();
    }
}

void owner_map::clear_departing(instance_id instance)
{
    if (departing_.erase(instance) > 0)
    {
        rebuild();
    }
}

// Visits all pairs of cell and member in descending order of rendezvous score,
// so that each cell gets its best member that is below the bound.
void owner_map::rebuild()
{
    order_.clear();
    std::vector<instance_id> eligible;
    std::copy_if(
        members_.begin(), members_.end(), std::back_inserter(eligible),
        [&](instance_id member) { return !departing_.contains(member); });
    if (eligible.empty() || cells_.empty())
    {
        return;
    }
    struct scored_pair
    {
        std::uint64_t score;
        cell_id cell;
        instance_id member;
    };
    std::vector<scored_pair> pairs;
    pairs.reserve(cells_.size() * eligible.size());
    for (const cell_id cell : cells_)
    {
        for (const instance_id member : eligible)
        {
            pairs.push_back({rendezvous_score(cell, member), cell, member});
        }
    }
    std::sort(
        pairs.begin(), pairs.end(),
        [](const scored_pair& left, const scored_pair& right)
        {
            return std::tuple{left.score, left.cell, left.member} >
                   std::tuple{right.score, right.cell, right.member};
        });
    // Twice the mean number of cells: a tighter bound would move many cells
    // whenever a member joins or leaves.
    const std::size_t max_cells_per_member =
        (2 * cells_.size() + eligible.size() - 1) / eligible.size();
    std::map<instance_id, std::size_t> owned;
    for (const scored_pair& pair : pairs)
    {
        std::vector<instance_id>& order = order_[pair.cell];
        if (order.empty() && owned[pair.member] < max_cells_per_member)
        {
            order.push_back(pair.member);
            ++owned[pair.member];
        }
    }
    // The successors: members that probably take the cell over when its owner
    // is lost. Members below the bound come first.
    for (const bool below_limit : {true, false})
    {
        for (const scored_pair& pair : pairs)
        {
            std::vector<instance_id>& order = order_[pair.cell];
            const bool is_below_limit =
                owned[pair.member] < max_cells_per_member;
            if (order.size() < candidates_per_cell &&
                is_below_limit == below_limit &&
                std::find(order.begin(), order.end(), pair.member) ==
                    order.end())
            {
                order.push_back(pair.member);
            }
        }
    }
}

instance_id owner_map::owner_of(cell_id cell) const
{
    const auto order = order_of(cell);
    return order.empty() ? 0 : order.front();
}

std::span<const instance_id> owner_map::order_of(cell_id cell) const
{
    const auto found = order_.find(cell);
    return found == order_.end() ? std::span<const instance_id>{}
                                 : std::span<const instance_id>{found->second};
}

instance_id owner_map::candidate(cell_id cell, time_point now) const
{
    for (const instance_id instance : order_of(cell))
    {
        const auto found = skipped_.find({cell, instance});
        if (found == skipped_.end() || found->second <= now)
        {
            return instance;
        }
    }
    return 0;
}

void owner_map::skip(cell_id cell, instance_id instance, time_point until)
{
    skipped_[{cell, instance}] = until;
}

void owner_map::unskip(cell_id cell, instance_id instance)
{
    skipped_.erase({cell, instance});
}

} // namespace hickorygap
