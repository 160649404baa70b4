#include "request/blame/blame_tracker.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <string>
#include <vector>

using namespace hickorygap;

namespace
{

constexpr unix_millis minute = 60'000;
constexpr request_fingerprint poison = 666;

} // namespace

// Guards against a poison request that is not detected, and against other
// requests on the same server that are quarantined with it.
TEST_CASE("isolation tells the poison request from others on the same server")
{
    blame_tracker tracker;
    for (const request_fingerprint each : {poison, request_fingerprint{1}})
    {
        CHECK(tracker.on_sent(9, each, false, 0));
    }
    tracker.on_backend_server_died(9, 1, false, 10);
    // The other request detects the same crash.
    tracker.on_backend_server_died(9, poison, false, 20);

    CHECK(tracker.must_isolate(1, 30));
    CHECK(tracker.must_isolate(poison, 30));
    CHECK_FALSE(tracker.is_quarantined(1, 30));
    CHECK_FALSE(tracker.on_sent(8, 1, false, 30));
    CHECK(tracker.on_sent(8, 1, true, 30));
    tracker.on_ended(8, 1, true, true);
    CHECK_FALSE(tracker.must_isolate(1, 40));

    CHECK(tracker.on_sent(8, poison, true, 50));
    CHECK_FALSE(tracker.on_sent(7, poison, true, 50));
    tracker.on_backend_server_died(8, poison, true, 60);
    CHECK(tracker.is_quarantined(poison, 60));
    tracker.on_ended(8, poison, true, false);
    // Placed as a suspect, and quarantined in the meantime.
    CHECK_FALSE(tracker.on_sent(7, poison, true, 70));
    CHECK(tracker.is_quarantined(poison, 10 * minute));
    CHECK_FALSE(tracker.is_quarantined(poison, 10 * minute + 60));
    CHECK(tracker.must_isolate(poison, 10 * minute + 60));
    REQUIRE(tracker.quarantines(60).size() == 1);
    const auto reports = tracker.take_suspect_reports();
    REQUIRE(reports.size() == 3);
    CHECK(reports[2].confirmed);
    CHECK(tracker.take_suspect_reports().empty());
}

// Guards against suspecting a request that ended before the crash, and against
// a suspicion that never expires.
TEST_CASE("only requests in flight are suspected and only for a limited time")
{
    blame_tracker tracker;
    CHECK(tracker.on_sent(9, 1, false, 0));
    tracker.on_ended(9, 1, false, true);
    CHECK(tracker.on_sent(9, 2, false, 0));
    tracker.on_backend_server_died(9, 2, false, 10);
    CHECK_FALSE(tracker.must_isolate(1, 20));
    CHECK(tracker.must_isolate(2, 20));
    CHECK_FALSE(tracker.must_isolate(2, 10 * minute + 10));
}

// Guards against long streams that are quarantined because they ran on two
// servers that crashed for other reasons, and against a poison request that is
// never quarantined because part of its response arrives before the crash.
TEST_CASE("crashes midway through a response count less")
{
    struct row
    {
        std::string label;
        std::vector<bool> midway;
        bool quarantined;
    };
    const auto tested = GENERATE(
        row{"one early", {false}, false},
        row{"two early", {false, false}, true},
        row{"two midway", {true, true}, false},
        row{"one of each", {false, true}, false},
        row{"three midway", {true, true, true}, true},
        row{"two early among three", {true, false, false}, true});
    CAPTURE(tested.label);
    blame_tracker tracker;
    unix_millis now = 0;
    for (std::size_t i = 0; i < tested.midway.size(); ++i)
    {
        now += 100;
        tracker.on_crash({poison, i + 1, now, false, tested.midway[i]}, now);
    }
    CHECK(tracker.is_quarantined(poison, now) == tested.quarantined);
    CHECK(tracker.suspects(now).size() == tested.midway.size());
    CHECK(
        tracker.repeated_crashes(now).empty() ==
        (tested.quarantined || tested.midway.size() == 1));
}

// Guards against healthy requests that are refused because requests with the
// same fingerprint ran on servers that crashed: a fingerprint that completes in
// between is not the cause.
TEST_CASE("a request that completes is not a suspect")
{
    blame_options options;
    options.completed_capacity = 2;
    blame_tracker tracker{options};
    unix_millis now = 0;
    for (backend_server_id server = 1; server <= 10; ++server)
    {
        now += 3000;
        tracker.on_completed(1);
        tracker.on_crash({1, server, now, false, false}, now);
        CHECK_FALSE(tracker.must_isolate(1, now));
    }
    // A crash clears the completion.
    tracker.on_crash({1, 20, now, false, false}, now);
    CHECK(tracker.must_isolate(1, now));
    tracker.on_completed(1);
    CHECK_FALSE(tracker.must_isolate(1, now));
    // The number of remembered completions is bounded.
    tracker.on_completed(2);
    tracker.on_completed(3);
    tracker.on_crash({1, 30, now, false, false}, now);
    CHECK(tracker.must_isolate(1, now));
}

// Guards against counting one crash twice because two instances detected it,
// and against counting two crashes as one.
TEST_CASE("notices of other instances are merged")
{
    struct row
    {
        backend_server_id other;
        unix_millis crashed;
        bool quarantined;
    };
    const auto [other, crashed, quarantined] =
        GENERATE(row{9, 500, false}, row{9, 5000, true}, row{8, 500, true});
    blame_tracker tracker;
    REQUIRE(tracker.on_sent(9, poison, false, 0));
    tracker.on_backend_server_died(9, poison, false, 10);
    const suspect_notice notice{poison, other, crashed, false};
    tracker.merge(notice, 6000);
    tracker.merge(notice, 6000);
    CHECK(tracker.is_quarantined(poison, 6000) == quarantined);
    CHECK(tracker.take_suspect_reports().size() == 1);
}

// Guards against a quarantine that holds on one instance only, or that is
// extended each time it is received again.
TEST_CASE("quarantines spread and end together")
{
    blame_tracker tracker;
    tracker.merge(quarantine{poison, 5000}, 0);
    tracker.merge(quarantine{poison, 4000}, 10);
    CHECK(tracker.is_quarantined(poison, 4999));
    CHECK_FALSE(tracker.is_quarantined(poison, 5000));
    tracker.merge(quarantine{7, 100}, 200);
    CHECK(tracker.size() == 1);
}

// Guards against memory that grows with the number of crashing requests, and
// against quarantines that are evicted in favour of suspects.
TEST_CASE("memory is bounded and quarantines are kept longest")
{
    blame_options options;
    options.capacity = 10;
    blame_tracker tracker{options};
    tracker.merge(quarantine{poison, 1'000'000}, 0);
    for (request_fingerprint each = 1; each <= 100; ++each)
    {
        tracker.merge(suspect_notice{each, each, each, false}, each);
    }
    CHECK(tracker.size() <= 10);
    CHECK(tracker.is_quarantined(poison, 200));
    CHECK(tracker.must_isolate(100, 200));
}

// Guards against a third crash by one request, whichever instances its caller
// uses, as long as the instances exchange their reports.
TEST_CASE("no request crashes a third backend server")
{
    rc::prop(
        "any order of requests over three instances",
        [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps)
        {
            std::vector<blame_tracker> instances(3);
            std::map<request_fingerprint, int> crashes;
            unix_millis now = 0;
            backend_server_id server = 100;
            for (const auto& [choice, raw] : steps)
            {
                now += 3000;
                blame_tracker& entry = instances[choice % 3U];
                const request_fingerprint fingerprint = raw % 4U + 1;
                // Even fingerprints crash their backend server.
                const bool crashes_server = fingerprint % 2 == 0;
                const bool isolated = entry.must_isolate(fingerprint, now);
                if (entry.is_quarantined(fingerprint, now) ||
                    !entry.on_sent(++server, fingerprint, isolated, now))
                {
                    RC_ASSERT(crashes_server);
                    continue;
                }
                if (crashes_server)
                {
                    ++crashes[fingerprint];
                    entry.on_backend_server_died(
                        server, fingerprint, isolated, now);
                }
                entry.on_ended(server, fingerprint, isolated, !crashes_server);
                for (const suspect_notice& notice :
                     entry.take_suspect_reports())
                {
                    for (blame_tracker& other : instances)
                    {
                        if (&other != &entry)
                        {
                            other.merge(notice, now);
                        }
                    }
                }
            }
            for (const auto& [fingerprint, count] : crashes)
            {
                RC_ASSERT(count <= 2);
            }
        });
}
