#include "request/dispatch/retry_advisor.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

// Mean advice to callers of a service of which this share of requests is
// refused.
duration mean_advice(double share, const refused_caller& caller)
{
    retry_advisor advisor{1};
    constexpr int requests = 200;
    time_point now{1h};
    for (int i = 0; i < requests; ++i)
    {
        now = now + 10ms;
        advisor.on_end(i % 100 < share * 100, now);
    }
    duration sum{0};
    for (int i = 0; i < requests; ++i)
    {
        sum += advisor.advice(caller, now);
    }
    return sum / requests;
}

} // namespace

// Pattern: a surge whose callers all come back at once. Guards against callers
// that are sent back into the surge, or that wait although one server only was
// full, and against less urgent ones that come back first.
TEST_CASE("callers come back when they can be served")
{
    const auto [share, time_left, priority, least, most] =
        GENERATE(table<double, duration, std::uint32_t, duration, duration>({
            {0.0, 10s, 0, 140ms, 200ms},
            {0.05, 10s, 0, 140ms, 450ms},
            {0.9, 10s, 0, 1800ms, 3s},
            {0.9, 1500ms, 0, 280ms, 450ms},
            // Never more than callers wait.
            {0.0, 300ms, 0, 50ms, 90ms},
            {1.0, 2500ms, 2, 500ms, 750ms},
        }));
    CAPTURE(share, time_left.count(), priority);
    const duration advice = mean_advice(share, {time_left, priority});
    CHECK(advice >= least);
    CHECK(advice <= most);
}

// Load: all servers are full and have said for how long. Guards against callers
// who come back before, or all at that time, or the least urgent first.
TEST_CASE("callers come back when servers take requests again")
{
    const std::uint32_t rank = GENERATE(0, 1, 2, 9);
    CAPTURE(rank);
    retry_advisor advisor{7};
    const double later = 0.2 * std::min(rank, 2U);
    std::vector<duration> waits;
    for (int i = 0; i < 50; ++i)
    {
        waits.push_back(advisor.advice({1s, rank, 2s}, {1h}));
    }
    const auto [first, last] = std::ranges::minmax(waits);
    CHECK(first >= 2s * (1 + later) - 1us);
    CHECK(last <= 2s * (1.2 + later));
    CHECK(last - first > 200ms);
}

TEST_CASE("urgent callers come back first")
{
    const double share = GENERATE(0.0, 0.3);
    const duration urgent = mean_advice(share, {10s, 0});
    const duration normal = mean_advice(share, {10s, 1});
    const duration background = mean_advice(share, {10s, 2});
    CHECK(urgent < normal);
    CHECK(normal < background);
}

// Guards against callers that were refused at the same moment and come back at
// the same moment.
TEST_CASE("callers who were refused together come back apart")
{
    retry_advisor advisor{7};
    std::vector<duration> waits;
    for (int i = 0; i < 50; ++i)
    {
        waits.push_back(advisor.advice({10s, 0}, {1h}));
    }
    const auto [first, last] = std::ranges::minmax(waits);
    CHECK(last - first > 40ms);
}

// Guards against advice that outlives the surge.
TEST_CASE("the advice follows the end of a surge")
{
    retry_advisor advisor{1};
    for (int i = 0; i < 100; ++i)
    {
        advisor.on_end(true, {1h});
    }
    CHECK(advisor.advice({10s, 0}, {1h}) > 1500ms);
    CHECK(advisor.advice({10s, 0}, {1h + 10s}) < 400ms);
}
