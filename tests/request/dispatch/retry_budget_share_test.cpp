#include "request/dispatch/retry_budget_share.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against retries of the whole fleet above its limit in any window, when
// the backend servers of many routers all fail.
TEST_CASE("the routers together keep the fleet's retry limit")
{
    const bool holds = rc::check(
        [](std::vector<std::uint16_t> gaps)
        {
            constexpr std::uint32_t routers = 4;
            const retry_limits limits{0.2, 56, 10s};
            std::vector<retry_budget_share> fleet(
                routers, retry_budget_share{limits});
            for (retry_budget_share& share : fleet)
            {
                share.set_routers(routers);
            }
            std::deque<time_point> requests;
            std::deque<time_point> retries;
            time_point now{0s};
            std::size_t turn = 0;
            for (const std::uint16_t gap : gaps)
            {
                now = now + std::chrono::milliseconds{gap % 300};
                retry_budget_share& share = fleet[turn++ % routers];
                share.on_request(now);
                requests.push_back(now);
                while (share.try_take(now))
                {
                    retries.push_back(now);
                }
                const auto recent = [&](const std::deque<time_point>& times)
                {
                    return std::ranges::count_if(
                        times, [&](time_point time)
                        { return time > now - limits.window; });
                };
                RC_ASSERT(
                    static_cast<double>(recent(retries)) <=
                    0.2 * static_cast<double>(recent(requests)) + 56);
            }
        });
    CHECK(holds);
}

// Guards against a budget that never recovers.
TEST_CASE("retries are allowed again when the window has passed")
{
    retry_budget_share budget{{0, 5, 10s}};
    int granted = 0;
    while (budget.try_take({1s}))
    {
        ++granted;
    }
    CHECK(granted == 4);
    CHECK_FALSE(budget.try_take({10s}));
    CHECK(budget.try_take({12s}));
}
