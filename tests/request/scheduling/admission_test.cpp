#include "request/scheduling/admission.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const time_point start{seconds{100}};

// A cell with 10 slots whose requests of 100 tokens take 1 s.
struct measured_cell
{
    measured_cell()
    {
        queue.set_slots(10);
        for (int sample = 0; sample < 2000; ++sample)
        {
            rate.record_end(100, seconds{1});
        }
    }

    queued_request
    add(rank request_rank, organisation_id organisation, duration target)
    {
        queued_request item;
        item.key = {next++, 1};
        item.request_rank = request_rank;
        item.organisation = organisation;
        item.cost = 100;
        item.queued_at = start;
        item.first_byte_due = start + target;
        item.deadline = start + seconds{60};
        queue.push(item);
        return item;
    }

    rank_queue queue;
    service_rate rate;
    backlog_tracker backlogs;
    admission judge{queue, rate, backlogs};
    request_id next = 1;
};

} // namespace

// Guards against requests that are held although they can't be served in
// time, and against refusals of those that can.
TEST_CASE("a request is refused when the queue ahead takes too long")
{
    measured_cell cell;
    std::size_t accepted = 0;
    for (int request = 0; request < 100; ++request)
    {
        const auto item = cell.add(rank::normal, 1, seconds{4});
        if (cell.judge.refuse_new(item, start))
        {
            cell.queue.remove(item.key);
        }
        else
        {
            ++accepted;
        }
    }
    // 10 requests a second, of which the margin leaves 3 s.
    CHECK(accepted >= 25);
    CHECK(accepted <= 32);
}

// Guards against a small organisation that is refused because of the queue of
// a large one.
TEST_CASE("only the organisation's own share of the queue counts")
{
    measured_cell cell;
    for (int request = 0; request < 500; ++request)
    {
        cell.add(rank::normal, 1, seconds{4});
    }
    CHECK(cell.judge.refuse_new(cell.add(rank::normal, 1, seconds{4}), start));
    CHECK_FALSE(
        cell.judge.refuse_new(cell.add(rank::normal, 2, seconds{4}), start));
}

// Guards against a Retry-After that says nothing: it is the time in which the
// work ahead shrinks enough, within limits.
TEST_CASE("the time to come back grows with the work ahead")
{
    measured_cell cell;
    std::optional<duration> previous;
    for (int request = 0; request < 500; ++request)
    {
        const auto refused =
            cell.judge.refuse_new(cell.add(rank::normal, 1, seconds{4}), start);
        if (refused)
        {
            CHECK(*refused >= previous.value_or(seconds{1}));
            previous = refused;
        }
    }
    REQUIRE(previous);
    // 50 s of work ahead, of which 3 s would be allowed.
    CHECK(*previous > seconds{40});
    CHECK(*previous < seconds{55});
}

// Guards against requests that wait until their deadline after more urgent
// work has taken the slots.
TEST_CASE("a waiting request becomes hopeless when urgent work arrives")
{
    measured_cell cell;
    const auto waiting = cell.add(rank::background, 1, seconds{2});
    CHECK(cell.judge.find_hopeless(start).empty());
    for (int request = 0; request < 40; ++request)
    {
        cell.add(rank::urgent, 2, seconds{10});
    }
    const auto hopeless = cell.judge.find_hopeless(start);
    REQUIRE(hopeless.size() == 1);
    CHECK(hopeless.front().item.key == waiting.key);
    CHECK(hopeless.front().retry_after >= seconds{1});
}

// Guards against a queue whose last request dooms those before it.
TEST_CASE("hopeless requests do not count as work ahead of others")
{
    measured_cell cell;
    for (int request = 0; request < 100; ++request)
    {
        cell.add(rank::normal, 1, seconds{5});
    }
    const auto hopeless = cell.judge.find_hopeless(start);
    CHECK(hopeless.size() > 45);
    CHECK(hopeless.size() < 55);
}

// Guards against the time before the first byte being left out.
TEST_CASE("the time to the first byte reduces the time to wait")
{
    measured_cell cell;
    for (int sample = 0; sample < 200; ++sample)
    {
        cell.rate.record_first_byte(milliseconds{1500});
    }
    const auto item = cell.add(rank::urgent, 1, milliseconds{1500});
    CHECK(cell.judge.refuse_new(item, start));
    CHECK_FALSE(cell.judge.refuse_new(
        cell.add(rank::urgent, 2, milliseconds{4000}), start));
}
