#include "request/dispatch/retry_after_estimator.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

// Mean Retry-After for callers of a service of which this share of requests is
// refused.
duration mean_retry_after(double share, const retry_after_query& caller)
{
    retry_after_estimator estimator{1};
    constexpr int requests = 200;
    time_point now{1h};
    for (int i = 0; i < requests; ++i)
    {
        now = now + 10ms;
        estimator.on_end(i % 100 < share * 100, now);
    }
    duration sum{0};
    for (int i = 0; i < requests; ++i)
    {
        sum += estimator.retry_after(caller, now);
    }
    return sum / requests;
}

} // namespace

// Guards against callers that retry while the surge still lasts, that wait long
// although only one server was full, or that retry too late for their own
// timeout. All callers refused in a surge would otherwise retry at once.
TEST_CASE("Retry-After grows with the share of refused requests")
{
    const auto [share, time_left, priority, least, most] =
        GENERATE(table<double, duration, std::uint32_t, duration, duration>({
            {0.0, 10s, 0, 140ms, 200ms},
            {0.05, 10s, 0, 140ms, 450ms},
            {0.9, 10s, 0, 1800ms, 3s},
            {0.9, 1500ms, 0, 280ms, 450ms},
            // Never longer than the caller itself waits.
            {0.0, 300ms, 0, 50ms, 90ms},
            {1.0, 2500ms, 2, 500ms, 750ms},
        }));
    CAPTURE(share, time_left.count(), priority);
    const duration retry_after = mean_retry_after(share, {time_left, priority});
    CHECK(retry_after >= least);
    CHECK(retry_after <= most);
}

// Guards against callers that retry before the time at which the servers accept
// requests again, that all retry at that time, or of which the least urgent
// retry first. All servers are full and have said for how long.
TEST_CASE("callers retry after the servers accept requests again")
{
    const std::uint32_t rank = GENERATE(0, 1, 2, 9);
    CAPTURE(rank);
    retry_after_estimator estimator{7};
    const double later = 0.2 * std::min(rank, 2U);
    std::vector<duration> waits;
    for (int i = 0; i < 50; ++i)
    {
        waits.push_back(estimator.retry_after({1s, rank, 2s}, {1h}));
    }
    const auto [first, last] = std::ranges::minmax(waits);
    CHECK(first >= 2s * (1 + later) - 1us);
    CHECK(last <= 2s * (1.2 + later));
    CHECK(last - first > 200ms);
}

// Guards against less urgent callers that retry before urgent ones and take
// their places.
TEST_CASE("urgent callers get a shorter Retry-After")
{
    const double share = GENERATE(0.0, 0.3);
    const duration urgent = mean_retry_after(share, {10s, 0});
    const duration normal = mean_retry_after(share, {10s, 1});
    const duration background = mean_retry_after(share, {10s, 2});
    CHECK(urgent < normal);
    CHECK(normal < background);
}

// Guards against callers that were refused at the same moment and all retry at
// the same moment.
TEST_CASE("callers refused together retry at different times")
{
    retry_after_estimator estimator{7};
    std::vector<duration> waits;
    for (int i = 0; i < 50; ++i)
    {
        waits.push_back(estimator.retry_after({10s, 0}, {1h}));
    }
    const auto [first, last] = std::ranges::minmax(waits);
    CHECK(last - first > 40ms);
}

// Guards against long waits after the surge has ended.
TEST_CASE("Retry-After gets short again after a surge")
{
    retry_after_estimator estimator{1};
    for (int i = 0; i < 100; ++i)
    {
        estimator.on_end(true, {1h});
    }
    CHECK(estimator.retry_after({10s, 0}, {1h}) > 1500ms);
    CHECK(estimator.retry_after({10s, 0}, {1h + 10s}) < 400ms);
}
