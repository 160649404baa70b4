#include "process/fleet_process/transfer_queue.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

constexpr auto configuration = transfer_kind::configuration;
constexpr auto backend_list = transfer_kind::backend_list;

} // namespace

// Load: after a power failure one voter holds the configuration; all routers
// request it at once, and again every 600 ms while they wait. Guards against a
// link that is saturated by duplicate copies, which delays the heartbeats that
// are sent between them.
TEST_CASE("routers that ask again while they wait get one copy each")
{
    const auto [routers, copy_bytes, rate] =
        GENERATE(table<instance_id, std::size_t, double>({
            {77, 15'000, 187'500},
            {77, 60'000, 187'500},
            {300, 15'000, 187'500},
            {3, 15'000, 62'500'000},
        }));
    transfer_queue queue{rate};
    std::map<instance_id, int> copies;
    std::size_t sent_bytes = 0;
    time_point now;
    time_point next_request;
    while (copies.size() < routers)
    {
        if (now >= next_request)
        {
            next_request = now + 600ms;
            for (instance_id router = 1; router <= routers; ++router)
            {
                if (!copies.contains(router))
                {
                    queue.add({router, configuration});
                }
            }
        }
        while (const auto next = queue.take(now))
        {
            ++copies[next->receiver];
            sent_bytes += copy_bytes;
            queue.sent(copy_bytes);
        }
        // At most one copy more than the rate allows has been sent.
        const double allowed =
            rate * static_cast<double>(now.since_start.count()) / 1e6;
        REQUIRE(static_cast<double>(sent_bytes - copy_bytes) <= allowed + 1e-6);
        now = now + 10ms;
        REQUIRE(now.since_start < 120s);
    }
    for (const auto& [router, count] : copies)
    {
        CHECK(count == 1);
    }
    // The rate is used: the last copy starts at most 10% and 0.1 s later than
    // the rate allows.
    const double expected_start =
        static_cast<double>((routers - 1) * copy_bytes) / rate;
    CHECK(
        std::chrono::duration<double>(now.since_start).count() <=
        expected_start * 1.1 + 0.1);
}

// Guards against starvation of the routers that asked first.
TEST_CASE("transfers of one kind start in the order of their arrival")
{
    transfer_queue queue{1000};
    for (const instance_id router : {3U, 1U, 2U, 3U})
    {
        queue.add({router, configuration});
    }
    CHECK(queue.size() == 3);
    CHECK(queue.take({}) == transfer{3, configuration});
    queue.sent(500);
    CHECK_FALSE(queue.take({499ms}));
    CHECK(queue.wait({400ms}) == 100ms);
    CHECK(queue.take({500ms}) == transfer{1, configuration});
    queue.sent(100);
    CHECK(queue.take({700ms}) == transfer{2, configuration});
    CHECK_FALSE(queue.wait({700ms}));
}

// Load: a large configuration and a release at the same time, on narrow links.
// Guards against requests to servers that have left, which are sent when the
// list is queued behind the configuration.
TEST_CASE("lists of backend servers are sent before configurations")
{
    transfer_queue queue{187'500};
    for (instance_id router = 1; router <= 77; ++router)
    {
        queue.add({router, configuration});
    }
    REQUIRE(queue.take({}));
    queue.sent(20'000);
    for (instance_id router = 1; router <= 77; ++router)
    {
        queue.add({router, backend_list});
    }
    time_point now{200ms};
    for (instance_id router = 1; router <= 77; ++router)
    {
        CHECK(queue.take(now) == transfer{router, backend_list});
        queue.sent(800);
        now = now + *queue.wait(now);
    }
    CHECK(now.since_start < 600ms);
    CHECK(queue.take(now) == transfer{2, configuration});
}

// Guards against a burst after an idle period: unused rate must not accumulate.
TEST_CASE("an idle queue does not accumulate allowance")
{
    transfer_queue queue{1000};
    queue.add({1, configuration});
    queue.add({2, configuration});
    CHECK(queue.take({60s}));
    queue.sent(1000);
    CHECK_FALSE(queue.take({60s + 500ms}));
}

// Load: a start with some thousand backend servers. Guards against a list that
// is sent to all voters at once: it occupied the leader's link for longer than
// the voters wait for a heartbeat, and the fleet served only after a second
// election.
TEST_CASE("a long list leaves room for heartbeats on the leader's link")
{
    const auto [bytes, megabits, shortest] =
        GENERATE(table<std::size_t, double, duration>(
            {{58'000, 4.2, 440ms}, {58'000, 1000, 1ms}, {100, 4.2, 0ms}}));
    CAPTURE(bytes, megabits);
    const duration interval = voter_transfer_interval(bytes, megabits);
    CHECK(interval >= shortest);
    CHECK(interval < shortest + 10ms);
}
