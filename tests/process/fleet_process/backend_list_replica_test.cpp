#include "process/fleet_process/backend_list_replica.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <utility>

using namespace hickorygap;

namespace
{

listed_backend entry(int number, bool leaving = false)
{
    return {
        fmt::format("b{}", number),
        "reports",
        "domain-a",
        {"10.0.0.1", static_cast<std::uint16_t>(number)},
        8,
        leaving};
}

} // namespace

// Guards against a router whose list differs from the leader's after lost
// changes, changes of leader and reads of its own.
TEST_CASE("a replica that asks after each gap ends with the leader's list")
{
    const bool holds = rc::check(
        [](std::vector<std::uint8_t> steps)
        {
            backend_list_replica leader;
            backend_list_replica next_leader;
            backend_list_replica router;
            std::uint64_t epoch = 1;
            std::vector<listed_backend> list;
            for (const std::uint8_t step : steps)
            {
                const int number = step % 16;
                const bool lost = step % 3 == 0;
                if (step % 31 == 0)
                {
                    // The new leader may have missed the last changes.
                    std::swap(leader, next_leader);
                    ++epoch;
                }
                if (step % 29 == 0)
                {
                    router.replace(list);
                }
                std::erase_if(
                    list, [&](const listed_backend& item)
                    { return item.id == entry(number).id; });
                if (step % 2 == 0)
                {
                    list.push_back(entry(number, step % 5 == 0));
                }
                const auto change = leader.publish(epoch, list);
                if (!change)
                {
                    continue;
                }
                if (step % 7 != 0)
                {
                    next_leader.apply(*change);
                }
                if (!lost && !router.apply(*change))
                {
                    RC_ASSERT(router.apply(*leader.complete()));
                }
            }
            leader.publish(++epoch, list);
            RC_ASSERT(router.apply(*leader.complete()));
            auto expected = list;
            std::ranges::sort(expected, {}, &listed_backend::id);
            RC_ASSERT(router.list() == expected);
        });
    CHECK(holds);
}

// Load: a change of leader in a fleet of many routers. Guards against the
// whole list being sent to all of them, which fills the leader's link.
TEST_CASE("a new leader goes on from the list that it holds")
{
    backend_list_replica first;
    backend_list_replica second;
    backend_list_replica router;
    std::vector<listed_backend> list{entry(1), entry(2)};
    const auto published = first.publish(1, list);
    REQUIRE(published);
    REQUIRE(second.apply(*published));
    REQUIRE(router.apply(*published));
    list.push_back(entry(3));
    const auto change = second.publish(2, list);
    REQUIRE(change);
    CHECK(change->complete.empty());
    CHECK(change->changed.size() == 1);
    CHECK(router.apply(*change));
    CHECK(router.list() == list);
    CHECK(router.version() == backend_list_version{2, 1});
}

// Guards against an old leader that comes back and undoes a change, and
// against a damaged list that empties the table.
TEST_CASE("older and damaged lists are not applied")
{
    backend_list_replica old_leader;
    backend_list_replica leader;
    backend_list_replica router;
    const std::vector<listed_backend> list{entry(1)};
    REQUIRE(router.apply(*leader.publish(2, list)));
    CHECK_FALSE(router.apply(*old_leader.publish(1, {})));
    wire::backends_push_msg damaged = *leader.complete();
    damaged.sequence = 9;
    damaged.complete.resize(damaged.complete.size() / 2);
    CHECK_FALSE(router.apply(damaged));
    CHECK(router.list() == list);
    // Nothing changed, so nothing is sent.
    CHECK_FALSE(leader.publish(2, list));
}
