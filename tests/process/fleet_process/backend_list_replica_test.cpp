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

// Random lost messages, changes of leader and reads by the router itself.
// Guards against a router whose list then differs from the leader's.
TEST_CASE("a replica that asks after each gap converges to the leader's list")
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
                const auto previous = leader.version();
                if (!leader.publish(epoch, list))
                {
                    continue;
                }
                const auto change = leader.changes_since(previous);
                if (step % 7 != 0 && !next_leader.apply(*change))
                {
                    next_leader.apply(
                        *leader.changes_since(next_leader.version()));
                }
                if (!lost && !router.apply(*change))
                {
                    RC_ASSERT(
                        router.apply(*leader.changes_since(router.version())));
                }
            }
            leader.publish(++epoch, list);
            RC_ASSERT(router.apply(*leader.changes_since(router.version())));
            auto expected = list;
            std::ranges::sort(expected, {}, &listed_backend::id);
            RC_ASSERT(router.list() == expected);
        });
    CHECK(holds);
}

// Load: a change of leader in a fleet of many routers. Guards against the
// whole list being sent to all of them, which saturates the leader's link.
TEST_CASE("a new leader continues from the list that it holds")
{
    backend_list_replica first;
    backend_list_replica second;
    backend_list_replica router;
    std::vector<listed_backend> list{entry(1), entry(2)};
    REQUIRE(first.publish(1, list));
    REQUIRE(second.apply(*first.changes_since({})));
    REQUIRE(router.apply(*first.changes_since({})));
    list.push_back(entry(3));
    const auto change = second.publish(2, list);
    REQUIRE(change);
    CHECK(change->changed == 1);
    const auto message = second.changes_since(router.version());
    CHECK(message->base_epoch == 1);
    CHECK(router.apply(*message));
    CHECK(router.list() == list);
    CHECK(router.version() == backend_list_version{2, 1});
}

// Guards against a former leader that comes back and reverts a change, and
// against a damaged message that empties the list.
TEST_CASE("older and damaged lists are not applied")
{
    backend_list_replica old_leader;
    backend_list_replica leader;
    backend_list_replica router;
    const std::vector<listed_backend> list{entry(1)};
    REQUIRE(leader.publish(2, list));
    REQUIRE(router.apply(*leader.changes_since({})));
    REQUIRE(old_leader.publish(1, {}));
    CHECK_FALSE(router.apply(*old_leader.changes_since({})));
    wire::backends_push_msg damaged = *leader.changes_since({});
    damaged.sequence = 9;
    damaged.changes.resize(damaged.changes.size() / 2);
    CHECK_FALSE(router.apply(damaged));
    CHECK(router.list() == list);
    // The same after the router has read the list itself.
    router.replace(list);
    CHECK_FALSE(router.apply(*old_leader.changes_since({})));
    CHECK(router.apply(*leader.changes_since(router.version())));
    // Nothing changed, so nothing is sent.
    CHECK_FALSE(leader.publish(2, list));
}

// Load: a release in a fleet of many routers, one of which misses some
// versions. Guards against the whole list being sent after each missed version.
TEST_CASE("a follower gets only the changes since the version that it holds")
{
    backend_list_replica leader;
    std::vector<listed_backend> list;
    for (int i = 0; i < 1000; ++i)
    {
        list.push_back(entry(i));
    }
    REQUIRE(leader.publish(1, list));
    const auto complete = leader.changes_since({});
    backend_list_replica router;
    REQUIRE(router.apply(*complete));
    for (int i = 0; i < 10; ++i)
    {
        list.erase(list.begin());
        list.push_back(entry(2000 + i));
        list.front().leaving = true;
        REQUIRE(leader.publish(1, list));
    }
    const auto missed = leader.changes_since(router.version());
    CHECK(missed->changes.size() * 10 < complete->changes.size());
    REQUIRE(router.apply(*missed));
    CHECK(router.list() == leader.list());

    // A version that the leader no longer knows.
    for (int i = 0; i < 100; ++i)
    {
        list.front().leaving = i % 2 != 0;
        REQUIRE(leader.publish(1, list));
    }
    const auto late = leader.changes_since(router.version());
    CHECK(late->base_epoch == 0);
    REQUIRE(router.apply(*late));
    CHECK(router.list() == leader.list());
}
