#include "process/metrics/burn_windows.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

#include <tuple>
#include <vector>

using namespace hickorygap;

namespace
{

constexpr std::array<duration, burn_window_count> intervals{
    std::chrono::seconds{30}, std::chrono::minutes{5},
    std::chrono::minutes{30}};
constexpr std::array<std::int64_t, burn_window_count> interval_counts{
    10, 12, 12};

struct event
{
    time_point time;
    organisation_id organisation;
    rank request_rank;
    service_level level;
};

std::string name_of(organisation_id id)
{
    return fmt::format("o{}", id);
}

// Expected content of a window, counted from the list of all events.
burn_counts expected_counts(
    const std::vector<event>& events, const burn_row& row, std::size_t window,
    time_point now)
{
    const duration interval = intervals.at(window);
    const std::int64_t oldest =
        now.since_start / interval - interval_counts.at(window) + 1;
    burn_counts result;
    for (const event& entry : events)
    {
        if (entry.organisation != row.organisation ||
            entry.request_rank != row.request_rank ||
            entry.time.since_start / interval < oldest)
        {
            continue;
        }
        switch (entry.level)
        {
        case service_level::good:
            ++result.good;
            break;
        case service_level::late:
            ++result.late;
            break;
        case service_level::refused:
            ++result.refused;
            break;
        case service_level::failed:
            ++result.failed;
            break;
        }
    }
    return result;
}

} // namespace

// Guards against intervals of the ring buffers that are cleared too early, too
// late or twice.
TEST_CASE("windows contain exactly the requests of their intervals")
{
    rc::prop(
        "events at any rate give the sums counted from the list of events",
        []()
        {
            burn_windows windows;
            std::vector<event> events;
            time_point now{std::chrono::seconds{*rc::gen::inRange(0, 10'000)}};
            const auto count = *rc::gen::inRange(1, 120);
            const auto longest_step = *rc::gen::element(5, 400, 9000);
            for (int i = 0; i < count; ++i)
            {
                now = now +
                      std::chrono::seconds{*rc::gen::inRange(0, longest_step)};
                const event entry{
                    now, static_cast<organisation_id>(*rc::gen::inRange(1, 4)),
                    static_cast<rank>(*rc::gen::inRange(0, 3)),
                    static_cast<service_level>(*rc::gen::inRange(0, 4))};
                events.push_back(entry);
                windows.record(
                    entry.organisation, entry.request_rank, entry.level, now);
            }
            now =
                now + std::chrono::seconds{*rc::gen::inRange(0, longest_step)};
            std::uint64_t total = 0;
            for (const burn_row& row : windows.report(0.05, name_of, now).rows)
            {
                for (std::size_t i = 0; i < burn_window_count; ++i)
                {
                    RC_ASSERT(
                        row.windows.at(i) ==
                        expected_counts(events, row, i, now));
                }
                total += row.windows.back().total();
            }
            const duration half_hour = intervals.back();
            const auto oldest = now.since_start / half_hour - 11;
            const auto expected = std::count_if(
                events.begin(), events.end(),
                [&](const event& entry)
                { return entry.time.since_start / half_hour >= oldest; });
            RC_ASSERT(total == static_cast<std::uint64_t>(expected));
        });
}

// Guards against requests that are lost or counted twice when one instance
// reports its counts to another in several reports.
TEST_CASE("reports carry every request to another instance exactly once")
{
    burn_windows source;
    burn_windows target;
    const time_point now{std::chrono::hours{9}};
    for (organisation_id id = 1; id <= 20; ++id)
    {
        for (organisation_id i = 0; i < id; ++i)
        {
            source.record(id, rank::normal, service_level::late, now);
        }
    }
    const auto first = source.take_report(7, 5, now);
    CHECK(first.instance == 7);
    REQUIRE(first.rows.size() == 5);
    CHECK(first.rows.front()->organisation == 20);
    CHECK(first.rows.front()->late == 20);
    target.merge(first, now);
    target.merge(source.take_report(7, 100, now), now);
    CHECK(source.take_report(7, 100, now).rows.empty());
    const auto expected = source.report(0.05, name_of, now);
    const auto merged = target.report(0.05, name_of, now);
    REQUIRE(merged.rows.size() == 20);
    for (std::size_t i = 0; i < merged.rows.size(); ++i)
    {
        CHECK(merged.rows[i].organisation == expected.rows[i].organisation);
        CHECK(merged.rows[i].windows == expected.rows[i].windows);
    }
    CHECK(target.take_report(8, 100, now).rows.empty());
}

// Guards against memory that grows with the number of organisations that ever
// sent a request.
TEST_CASE("the number of rows is limited and idle rows are evicted")
{
    burn_windows windows{2};
    const time_point start{std::chrono::hours{1}};
    windows.record(1, rank::urgent, service_level::good, start);
    windows.record(2, rank::urgent, service_level::good, start);
    windows.record(3, rank::urgent, service_level::good, start);
    CHECK(windows.uncounted_requests() == 1);
    windows.take_report(1, 10, start);
    const time_point later = start + std::chrono::hours{7};
    windows.record(3, rank::urgent, service_level::good, later);
    CHECK(windows.uncounted_requests() == 1);
    const auto report = windows.report(0.05, name_of, later);
    REQUIRE(report.rows.size() == 1);
    CHECK(report.rows.front().name == "o3");
}

// Guards against a burn rate that is not relative to the error budget, leaves
// out a kind of request that was not good, or divides by zero.
TEST_CASE("the burn rate is the fraction not good over the error budget")
{
    const auto [counts, budget, expected] =
        GENERATE(table<burn_counts, double, double>(
            {{{0, 0, 0, 0}, 0.05, 0.0},
             {{95, 5, 0, 0}, 0.05, 1.0},
             {{80, 10, 5, 5}, 0.05, 4.0},
             {{0, 0, 1, 0}, 0.5, 2.0}}));
    CHECK(burn_rate(counts, budget) == Approx(expected));
}
