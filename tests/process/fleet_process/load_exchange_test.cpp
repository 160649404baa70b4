#include "common/hashing.hpp"
#include "process/fleet_process/load_exchange.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against requests that are counted after their router has ended, and
// against running requests that are dropped because their router is only slow
// to report: the engines that run them would be taken for idle.
TEST_CASE("the sum covers the routers whose requests may be running")
{
    load_aggregator loads;
    loads.set(1, {{7, 2}, {9, 1}}, {1s});
    loads.set(2, {{7, 3}}, {2s});
    CHECK(loads.take_sum({2s}) == std::vector<backend_load>{{7, 5}, {9, 1}});
    loads.set(2, {{9, 4}}, {3s});
    CHECK(loads.take_sum({3s}) == std::vector<backend_load>{{7, 2}, {9, 5}});
    // Router 1 has not reported for 4 s, but its link is open.
    loads.keep_only({1, 2});
    CHECK(loads.take_sum({5s}) == std::vector<backend_load>{{7, 2}, {9, 5}});
    // Its link has been closed.
    loads.keep_only({2});
    CHECK(loads.take_sum({5s}) == std::vector<backend_load>{{9, 4}});
    CHECK(loads.take_sum({20s}).empty());
}

namespace
{

std::vector<listed_backend> list_of(int servers)
{
    std::vector<listed_backend> list;
    for (int i = 0; i < servers; ++i)
    {
        list.push_back(
            {fmt::format("i-{}", i),
             "llm",
             "domain-a",
             {"10.0.0.1", 80},
             8,
             false});
    }
    return list;
}

std::uint32_t number_of(int server)
{
    return short_backend_id(hash_name(fmt::format("i-{}", server)));
}

} // namespace

// Guards against loads that are attributed to other servers because sender and
// receiver hold different lists, and against damaged or short messages.
TEST_CASE("loads are decoded with the same list only")
{
    backend_list_replica sender;
    backend_list_replica receiver;
    load_codec sender_codec{sender};
    load_codec receiver_codec{receiver};
    const std::vector<backend_load> loads{
        {number_of(2), 3}, {number_of(40), 300}, {number_of(7), 1}};
    CHECK_FALSE(sender_codec.encode(loads));

    sender.publish(4, list_of(50));
    REQUIRE(receiver.apply(*sender.changes_since({})));
    auto report = sender_codec.encode(loads);
    REQUIRE(report);
    // Small enough that some hundred servers fit into a packet.
    CHECK(report->figures.size() < 50);
    auto decoded = receiver_codec.decode(*report);
    REQUIRE(decoded);
    std::ranges::sort(*decoded, {}, &backend_load::backend);
    std::vector<backend_load> expected{
        {number_of(2), 3}, {number_of(40), 255}, {number_of(7), 1}};
    std::ranges::sort(expected, {}, &backend_load::backend);
    CHECK(*decoded == expected);

    auto damaged = *report;
    damaged.figures.resize(damaged.figures.size() / 2);
    CHECK_FALSE(receiver_codec.decode(damaged));

    sender.publish(4, list_of(49));
    CHECK_FALSE(receiver_codec.decode(*sender_codec.encode(loads)));
}

// Guards against a leader whose link is saturated by loads. The intervals
// follow from the share of a fifth of the link.
TEST_CASE("loads are sent less often where they take much of the link")
{
    const auto [peers, bytes, megabits, interval] =
        GENERATE(table<std::size_t, std::size_t, double, duration>({
            {5, 200, 1000, 200ms},
            {20, 200, 4.2, 200ms},
            {20, 1050, 4.2, 200ms},
            {20, 3150, 4.2, 600ms},
            {40, 10500, 4.2, 4s},
        }));
    CHECK(load_interval(peers, bytes, megabits) == interval);
}
