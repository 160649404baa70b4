#include "process/fleet_process/backend_list_replica.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

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
            backend_list_publisher publisher;
            std::uint64_t epoch = 1;
            publisher.start_epoch(epoch);
            backend_list_replica replica;
            std::vector<listed_backend> list;
            for (const std::uint8_t step : steps)
            {
                const int number = step % 16;
                const bool lost = step % 3 == 0;
                if (step % 31 == 0)
                {
                    publisher.start_epoch(++epoch);
                }
                if (step % 29 == 0)
                {
                    replica.replace(list);
                }
                std::erase_if(
                    list, [&](const listed_backend& item)
                    { return item.id == entry(number).id; });
                if (step % 2 == 0)
                {
                    list.push_back(entry(number, step % 5 == 0));
                }
                const auto change = publisher.publish(list);
                if (change && !lost && !replica.apply(*change))
                {
                    RC_ASSERT(replica.apply(*publisher.complete()));
                }
            }
            publisher.publish(list);
            if (publisher.version() > replica.version())
            {
                RC_ASSERT(replica.apply(*publisher.complete()));
            }
            auto expected = list;
            std::ranges::sort(expected, {}, &listed_backend::id);
            RC_ASSERT(replica.list() == expected);
        });
    CHECK(holds);
}

// Guards against an old leader that comes back and undoes a change.
TEST_CASE("a list of an older epoch is not applied")
{
    backend_list_publisher old_leader;
    old_leader.start_epoch(1);
    backend_list_publisher leader;
    leader.start_epoch(2);
    backend_list_replica replica;
    const std::vector<listed_backend> list{entry(1)};
    REQUIRE(replica.apply(*leader.publish(list)));
    CHECK_FALSE(replica.apply(*old_leader.publish({})));
    CHECK(replica.list() == list);
    // Nothing changed, so nothing is sent.
    CHECK_FALSE(leader.publish(list));
}
