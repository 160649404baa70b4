#include "request/overload/work_estimator.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace hickorygap;
using namespace std::chrono_literals;

TEST_CASE("requests of a size take the time that such requests took")
{
    work_estimator work;
    CHECK(work.estimate({100, 10}) == duration{0});
    for (int i = 0; i < 200; ++i)
    {
        work.on_answered({12000, 400}, 3s);
        work.on_answered({400, 30}, 200ms);
    }
    CHECK(work.estimate({11000, 390}) == 3s);
    CHECK(work.estimate({390, 25}) == 200ms);
    // A size that has not been seen lies between.
    CHECK(work.estimate({3000, 100}) > 200ms);
    CHECK(work.estimate({3000, 100}) < 3s);
    CHECK(work.error_share() < 0.01);
}

// Guards against an estimate that overflows, or a caller that shifts those of
// others by what it claims.
TEST_CASE("any claimed size has a bounded estimate")
{
    CHECK(rc::check(
        [](std::uint32_t prompt, std::uint32_t output)
        {
            work_estimator work;
            for (int i = 0; i < 10; ++i)
            {
                work.on_answered({1000, 100}, 1s);
            }
            RC_ASSERT(work.estimate({prompt, output}) >= duration{0});
            RC_ASSERT(work.estimate({prompt, output}) <= 8s);
            work.on_answered({prompt, output}, 1s);
            RC_ASSERT(work.mean() == 1s);
        }));
    constexpr auto most = std::numeric_limits<std::uint32_t>::max();
    work_estimator work;
    work.on_answered({most, most}, duration{-5});
    CHECK(work.estimate({0, 0}) == duration{0});
}
