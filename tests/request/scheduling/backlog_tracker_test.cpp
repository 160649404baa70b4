#include "request/scheduling/backlog_tracker.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr organisation_id small = 1;
constexpr organisation_id large = 2;

// Two organisations that use 40 slots each; the large one has one request
// waiting.
struct tracker_fixture
{
    explicit tracker_fixture(rank large_rank)
    {
        queue.set_slots(100);
        queue.set_floors({0.0, 0.0, 0.1});
        queued_request item;
        item.key = {1, 1};
        item.request_rank = large_rank;
        item.organisation = large;
        item.queued_at = now;
        queue.push(item);
        for (int slot = 0; slot < 40; ++slot)
        {
            tracker.started(rank::normal, small, 10, now);
            tracker.started(large_rank, large, 10, now);
        }
    }

    void run(duration length)
    {
        for (const time_point end = now + length; now < end;)
        {
            now = now + milliseconds{50};
            tracker.update(queue, now);
        }
    }

    rank_queue queue;
    backlog_tracker tracker;
    time_point now{seconds{100}};
};

} // namespace

// Guards against a backlog that is detected for short waits, never detected, or
// never ends.
TEST_CASE("a long wait indicates a backlog for some seconds")
{
    tracker_fixture cell{rank::normal};
    cell.run(milliseconds{250});
    CHECK_FALSE(cell.tracker.has_backlog());
    cell.run(milliseconds{250});
    CHECK(cell.tracker.is_backlogged(rank::normal, large));
    CHECK_FALSE(cell.tracker.is_backlogged(rank::normal, small));
    cell.queue.remove({1, 1});
    cell.run(seconds{3});
    CHECK_FALSE(cell.tracker.has_backlog());
}

// Guards against reserving slots for requests that the backlog outranks, so
// that backlogged requests would get less than their fair share or their rank
// allows.
TEST_CASE("reserved slots follow use, rank and fair share")
{
    // 40 slots in use and twice their square root. A backlog of urgent requests
    // leaves normal requests only their floor, which is 0.
    const auto [large_rank, expected] = GENERATE(table<rank, double>(
        {{rank::normal, 52.6}, {rank::background, 52.6}, {rank::urgent, 0.0}}));
    tracker_fixture cell{large_rank};
    cell.run(seconds{40});
    CHECK(
        cell.tracker.reserved_slots(cell.queue) ==
        Approx(expected).margin(0.5));

    for (int slot = 0; slot < 30; ++slot)
    {
        cell.tracker.started(rank::normal, small, 10, cell.now);
    }
    cell.run(seconds{40});
    const double reserved = cell.tracker.reserved_slots(cell.queue);
    // Of 70 slots in use, the fair share beside the large organisation in the
    // same rank is 50.
    const double limit = large_rank == rank::normal       ? 64.1
                         : large_rank == rank::background ? 86.7
                                                          : 0.0;
    CHECK(reserved == Approx(limit).margin(0.5));
}

// Guards against memory that grows with each organisation ever seen.
TEST_CASE("idle organisations are forgotten")
{
    tracker_fixture cell{rank::normal};
    for (int slot = 0; slot < 40; ++slot)
    {
        cell.tracker.ended(rank::normal, small);
        cell.tracker.ended(rank::normal, large);
    }
    cell.queue.remove({1, 1});
    cell.run(seconds{120});
    CHECK(
        cell.tracker.started_cost_per_second(rank::normal, large, cell.now) ==
        0.0);
}
