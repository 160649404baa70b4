#include "request/attempt/attempt.hpp"
#include "request/attempt/stream_progress.hpp"
#include "support/fake_control_client.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hickorygap;
using namespace hickorygap::testing;
using outcome = wire::attempt_outcome;

// Guards against a grant that is reported twice or never.
TEST_CASE("an attempt is reported exactly once")
{
    struct row
    {
        bool sent;
        std::optional<outcome> ended;
        outcome reported;
    };
    const auto [sent, ended, reported] = GENERATE(
        row{false, std::nullopt, outcome::never_used},
        row{true, std::nullopt, outcome::failed_after_start},
        row{true, outcome::completed, outcome::completed},
        row{true, outcome::cancelled, outcome::cancelled},
        row{false, outcome::failed_before_start, outcome::failed_before_start});
    fake_control_client control;
    placement_query query;
    query.request = 0xab;
    query.attempt = 2;
    {
        attempt tested{control, query, {0xab, 2, 5, 9, false, {}}, {}};
        CHECK(tested.state() == attempt_state::not_sent);
        CHECK(tested.name() == "00000000000000ab-2");
        if (sent)
        {
            tested.mark_sent();
            CHECK(tested.state() == attempt_state::sent_outcome_unknown);
        }
        tested.add_cost(3);
        if (ended)
        {
            tested.end(*ended);
            tested.end(outcome::backend_server_lost);
            tested.mark_sent();
            CHECK(tested.state() == attempt_state::ended);
        }
    }
    REQUIRE(control.reports().size() == 1);
    const attempt_report report = control.reports()[0];
    CHECK(report.outcome == reported);
    CHECK(report.granting_cell == 5);
    CHECK(report.backend_server == 9);
    CHECK(report.actual_cost == 3);
}

// Guards against events that are lost, duplicated or reordered when a stream
// continues in another attempt.
TEST_CASE("a stream over several attempts forwards each event once")
{
    rc::prop(
        "any breaks and resume positions",
        [](const std::vector<std::string>& events,
           std::vector<std::pair<std::uint8_t, std::uint8_t>> attempts)
        {
            stream_progress progress;
            std::vector<std::string> forwarded;
            // The last attempt completes.
            attempts.emplace_back(0, 255);
            for (const auto& [from, length] : attempts)
            {
                const auto start = from % (forwarded.size() + 1);
                const auto end = std::min(events.size(), start + length);
                progress.begin_attempt(start);
                for (std::size_t i = start; i < end; ++i)
                {
                    const auto step = progress.on_event(events[i]);
                    RC_ASSERT(step != stream_progress::step::mismatch);
                    if (step == stream_progress::step::forward)
                    {
                        forwarded.push_back(events[i]);
                    }
                }
                RC_ASSERT(progress.forwarded() == forwarded.size());
            }
            RC_ASSERT(forwarded == events);
        });
}

// Guards against joining two attempts whose events differ.
TEST_CASE("a repeated event that differs is detected")
{
    stream_progress progress;
    progress.begin_attempt(0);
    progress.on_event("a");
    progress.on_event("b");
    progress.begin_attempt(1);
    CHECK(progress.on_event("c") == stream_progress::step::mismatch);
    CHECK(progress.forwarded() == 2);
}
