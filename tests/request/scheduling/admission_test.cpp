#include "request/scheduling/admission.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const time_point start{seconds{100}};

// A cell with 10 slots that serves a request of 100 tokens in 1 s per slot.
struct admission_fixture
{
    admission_fixture()
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
    admission control{queue, rate, backlogs};
    request_id next = 1;
};

} // namespace

// Guards against requests that wait although they cannot be served in time, and
// against refusing those that can.
TEST_CASE("a request is refused when the queue ahead takes too long")
{
    admission_fixture cell;
    std::size_t accepted = 0;
    for (int request = 0; request < 100; ++request)
    {
        const auto item = cell.add(rank::normal, 1, seconds{4});
        if (cell.control.refuse_new(item, start))
        {
            cell.queue.remove(item.key);
        }
        else
        {
            ++accepted;
        }
    }
    // The cell serves 10 requests a second, and the wait share for new requests
    // allows 3 s.
    CHECK(accepted >= 25);
    CHECK(accepted <= 32);
}

// Guards against refusing a small organisation because of the queue of a large
// one.
TEST_CASE("a long queue of one organisation does not refuse others")
{
    admission_fixture cell;
    for (int request = 0; request < 500; ++request)
    {
        cell.add(rank::normal, 1, seconds{4});
    }
    CHECK(
        cell.control.refuse_new(cell.add(rank::normal, 1, seconds{4}), start));
    CHECK_FALSE(
        cell.control.refuse_new(cell.add(rank::normal, 2, seconds{4}), start));
}

// Guards against a Retry-After that does not fit the queue: it must be the time
// in which the cost ahead shrinks enough, within limits.
TEST_CASE("Retry-After grows with the cost ahead in the queue")
{
    admission_fixture cell;
    std::optional<duration> previous;
    for (int request = 0; request < 500; ++request)
    {
        const auto refused = cell.control.refuse_new(
            cell.add(rank::normal, 1, seconds{4}), start);
        if (refused)
        {
            CHECK(*refused >= previous.value_or(seconds{1}));
            previous = refused;
        }
    }
    REQUIRE(previous);
    // The cost ahead takes 50 s, of which 3 s would be allowed.
    CHECK(*previous > seconds{40});
    CHECK(*previous < seconds{55});
}

// Guards against requests that wait until their deadline after more urgent
// requests took the slots.
TEST_CASE("a waiting request becomes infeasible when urgent requests arrive")
{
    admission_fixture cell;
    const auto waiting = cell.add(rank::background, 1, seconds{2});
    CHECK(cell.control.find_infeasible(start).empty());
    for (int request = 0; request < 40; ++request)
    {
        cell.add(rank::urgent, 2, seconds{10});
    }
    const auto infeasible = cell.control.find_infeasible(start);
    REQUIRE(infeasible.size() == 1);
    CHECK(infeasible.front().item.key == waiting.key);
    CHECK(infeasible.front().retry_after >= seconds{1});
}

// Guards against refusing requests at the front of the queue because of the
// cost of infeasible requests, which will be refused.
TEST_CASE("infeasible requests do not count as cost ahead of others")
{
    admission_fixture cell;
    for (int request = 0; request < 100; ++request)
    {
        cell.add(rank::normal, 1, seconds{5});
    }
    const auto infeasible = cell.control.find_infeasible(start);
    CHECK(infeasible.size() > 45);
    CHECK(infeasible.size() < 55);
}

// Guards against a prediction that leaves out the time from the start of a
// request to its first byte.
TEST_CASE("the time to the first byte reduces the allowed wait")
{
    admission_fixture cell;
    for (int sample = 0; sample < 200; ++sample)
    {
        cell.rate.record_first_byte(milliseconds{1500});
    }
    const auto item = cell.add(rank::urgent, 1, milliseconds{1500});
    CHECK(cell.control.refuse_new(item, start));
    CHECK_FALSE(cell.control.refuse_new(
        cell.add(rank::urgent, 2, milliseconds{4000}), start));
}
