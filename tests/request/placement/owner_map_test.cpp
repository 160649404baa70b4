#include "common/hashing.hpp"
#include "request/placement/owner_map.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace hickorygap;

namespace
{

std::vector<cell_id> make_cells(std::size_t count, std::uint64_t seed)
{
    std::vector<cell_id> cells;
    for (std::size_t number = 1; number <= count; ++number)
    {
        cells.push_back(rendezvous_score(seed, number));
    }
    return cells;
}

std::vector<instance_id> make_members(std::size_t count)
{
    std::vector<instance_id> members;
    for (instance_id id = 1; id <= count; ++id)
    {
        members.push_back(id);
    }
    return members;
}

} // namespace

// Guards against instances that choose different owners although they see the
// same members, against a member that owns far more cells than others, and
// against the loss of a member that moves many cells of other owners.
TEST_CASE("each cell has one owner and few cells move when a member is lost")
{
    rc::prop(
        "owners are balanced and stable",
        [](std::uint64_t seed)
        {
            const auto cells =
                make_cells(*rc::gen::inRange<std::size_t>(1, 60), seed);
            const auto count = *rc::gen::inRange<std::size_t>(2, 40);
            owner_map first{1};
            owner_map second{2};
            first.set_cells(cells);
            first.set_members(make_members(count));
            second.set_members(make_members(count));
            second.set_cells(cells);
            std::map<instance_id, std::size_t> owned;
            for (const cell_id cell : cells)
            {
                RC_ASSERT(first.owner_of(cell) == second.owner_of(cell));
                ++owned[first.owner_of(cell)];
            }
            const std::size_t max_cells_per_member =
                (2 * cells.size() + count - 1) / count;
            for (const auto& [owner, number] : owned)
            {
                RC_ASSERT(number <= max_cells_per_member);
            }
            auto members = make_members(count);
            members.pop_back();
            first.set_members(members);
            std::size_t moved = 0;
            for (const cell_id cell : cells)
            {
                moved += first.owner_of(cell) != second.owner_of(cell) ? 1 : 0;
            }
            // The cells of the lost member, and cells that move because members
            // reach the bound or because the bound itself changes.
            RC_ASSERT(moved <= max_cells_per_member + 2 + cells.size() / 3);
            if (4 * cells.size() < count)
            {
                // As in the deployed sites and at the design size of the fleet.
                RC_ASSERT(moved <= 3U);
            }
        });
}

// Guards against an instance that owns all cells before it knows the other
// members, and against an entry router that keeps contacting an owner that does
// not answer.
TEST_CASE("skipped owners are retried later and departing ones own nothing")
{
    const auto cells = make_cells(1, 7);
    owner_map owners{1};
    owners.set_cells(cells);
    CHECK(owners.owner_of(cells[0]) == 0);
    owners.set_members(make_members(5));
    const instance_id owner = owners.owner_of(cells[0]);
    const time_point now{std::chrono::seconds{1}};
    owners.skip(cells[0], owner, now + std::chrono::seconds{1});
    CHECK(owners.candidate(cells[0], now) == owners.order_of(cells[0])[1]);
    CHECK(owners.owner_of(cells[0]) == owner);
    CHECK(owners.candidate(cells[0], now + std::chrono::seconds{1}) == owner);
    const instance_id next = owners.order_of(cells[0])[1];
    owners.set_departing(owner);
    CHECK(owners.owner_of(cells[0]) == next);
    owners.clear_departing(owner);
    CHECK(owners.owner_of(cells[0]) == owner);
}
