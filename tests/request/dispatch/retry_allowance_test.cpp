#include "request/dispatch/retry_allowance.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

// Load: many routers whose backend servers all fail. Guards against repeats of
// the whole fleet above its limit in any window.
TEST_CASE("the routers together keep the fleet's limit on repeats")
{
    const bool holds = rc::check(
        [](std::vector<std::uint16_t> gaps)
        {
            constexpr std::uint32_t routers = 4;
            const retry_limits limits{0.2, 56, 10s};
            std::vector<retry_allowance> fleet(
                routers, retry_allowance{limits});
            for (retry_allowance& part : fleet)
            {
                part.set_routers(routers);
            }
            std::deque<time_point> requests;
            std::deque<time_point> repeats;
            time_point now{0s};
            std::size_t turn = 0;
            for (const std::uint16_t gap : gaps)
            {
                now = now + std::chrono::milliseconds{gap % 300};
                retry_allowance& part = fleet[turn++ % routers];
                part.on_request(now);
                requests.push_back(now);
                while (part.try_take(now))
                {
                    repeats.push_back(now);
                }
                const auto recent = [&](const std::deque<time_point>& times)
                {
                    return std::ranges::count_if(
                        times, [&](time_point time)
                        { return time > now - limits.window; });
                };
                RC_ASSERT(
                    static_cast<double>(recent(repeats)) <=
                    0.2 * static_cast<double>(recent(requests)) + 56);
            }
        });
    CHECK(holds);
}

// Guards against an allowance that never comes back.
TEST_CASE("repeats are allowed again when the window has passed")
{
    retry_allowance allowance{{0, 5, 10s}};
    int taken = 0;
    while (allowance.try_take({1s}))
    {
        ++taken;
    }
    CHECK(taken == 4);
    CHECK_FALSE(allowance.try_take({10s}));
    CHECK(allowance.try_take({12s}));
}
