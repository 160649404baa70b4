#include "request/placement/owner_map.hpp"

#include "common/hashing.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

// Members of each cell's order that are kept: the owner and those that may
// follow it. A third one covers the loss of two instances at once.
constexpr std::size_t candidates_kept = 3;

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
    // An instance that left the list and returns has restarted.
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

void owner_map::rebuild()
{
    order_.clear();
    std::vector<std::pair<std::uint64_t, instance_id>> scored;
    for (const cell_id cell : cells_)
    {
        scored.clear();
        for (const instance_id member : members_)
        {
            if (!departing_.contains(member))
            {
                scored.emplace_back(rendezvous_score(cell, member), member);
            }
        }
        const std::size_t kept = std::min(candidates_kept, scored.size());
        std::partial_sort(
            scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
            scored.end(), std::greater<>{});
        std::vector<instance_id>& order = order_[cell];
        for (std::size_t position = 0; position < kept; ++position)
        {
            order.push_back(scored[position].second);
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
