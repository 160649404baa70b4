#include "process/fleet_process/fleet_crash_tracker.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <optional>
#include <set>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

constexpr request_fingerprint crashing_request = 666;

suspect_notice crash_of(
    request_fingerprint fingerprint, backend_server_id server, time_point now,
    bool midway = false)
{
    return {fingerprint, server, tracker_time(now), false, midway};
}

// Routers and their leader. Reports arrive before the next request.
class router_group
{
public:
    explicit router_group(std::size_t routers)
        : routers_(routers)
    {
    }

    fleet_crash_tracker& router(std::size_t index)
    {
        return routers_.at(index);
    }
    fleet_crash_tracker& leader()
    {
        return leader_;
    }

    void report(std::size_t from, time_point now)
    {
        const auto report = routers_.at(from).take_report(now);
        if (report && leader_.receive(*report, now))
        {
            ++broadcasts_;
            broadcast(leader_.take_router_news(now), now);
        }
    }

    // Starts a new leader, to which all routers send their full reports.
    void change_leader(time_point now)
    {
        leader_ = {};
        for (const fleet_crash_tracker& router : routers_)
        {
            if (const auto report = router.full_report(now))
            {
                leader_.receive(*report, now);
            }
        }
        broadcast(leader_.router_report(now), now);
    }

    // Starts a router anew, to which the leader sends its report.
    void restart_router(std::size_t index, time_point now)
    {
        routers_.at(index) = {};
        if (const auto report = leader_.router_report(now))
        {
            routers_.at(index).receive(*report, now);
        }
    }

    std::size_t broadcasts() const
    {
        return broadcasts_;
    }

private:
    void broadcast(
        const std::optional<wire::blame_report_msg>& report, time_point now)
    {
        if (report)
        {
            for (fleet_crash_tracker& router : routers_)
            {
                router.receive(*report, now);
            }
        }
    }

    std::vector<fleet_crash_tracker> routers_;
    fleet_crash_tracker leader_;
    std::size_t broadcasts_ = 0;
};

} // namespace

// Failure: a request crashes each server that runs it and is retried through
// another router each time, while the leader changes. Guards against a fleet
// that lets it crash more than three servers, and against other requests being
// quarantined because they were in flight on the same servers.
TEST_CASE("a request that crashes servers is stopped across all routers")
{
    rc::prop(
        "any routers, any part of the answer, any change of leader",
        [](const std::vector<std::uint8_t>& steps)
        {
            constexpr std::size_t routers = 5;
            constexpr request_fingerprint other_requests = 20;
            router_group group{routers};
            time_point now{1h};
            std::size_t crashes = 0;
            backend_server_id server = 0;
            for (const std::uint8_t step : steps)
            {
                now = now + 3s;
                const std::size_t at = step % routers;
                const bool midway = step % 2 == 1;
                if (step % 7 == 0)
                {
                    group.change_leader(now);
                }
                if (group.router(at).quarantine_left(crashing_request, {}, now))
                {
                    continue;
                }
                ++crashes;
                ++server;
                group.router(at).on_crash(
                    crash_of(crashing_request, server, now, midway), {}, now);
                for (request_fingerprint each = 1; each <= other_requests;
                     ++each)
                {
                    // Two of them were in flight on each server; they
                    // complete on another one.
                    if ((each + server) % 10 == 0)
                    {
                        group.router(at).on_crash(
                            crash_of(each, server, now, midway), {}, now);
                        group.router((at + 1) % routers).on_completed(each);
                    }
                }
                group.report(at, now);
            }
            RC_ASSERT(crashes <= 3U);
            for (request_fingerprint each = 1; each <= other_requests; ++each)
            {
                for (std::size_t i = 0; i < routers; ++i)
                {
                    RC_ASSERT(!group.router(i).quarantine_left(each, {}, now));
                }
            }
        });
}

// Load: a server crashes with many requests in flight. Guards against each of
// them being broadcast to all routers, which saturates a voter's link in a
// large fleet.
TEST_CASE("requests with a single crash are reported to the leader only")
{
    router_group group{3};
    const time_point now{1h};
    for (request_fingerprint each = 1; each <= 60; ++each)
    {
        group.router(0).on_crash(crash_of(each, 9, now), {}, now);
    }
    group.report(0, now);
    CHECK(group.broadcasts() == 0);
    CHECK_FALSE(group.leader().router_report(now));
    // Each crash is reported once.
    CHECK_FALSE(group.router(0).take_report(now));
    group.router(1).on_crash(crash_of(7, 8, now + 1s), {}, now + 1s);
    group.report(1, now + 1s);
    CHECK(group.broadcasts() == 1);
    CHECK(group.router(2).quarantine_left(7, {}, now + 1s));
    CHECK_FALSE(group.router(2).quarantine_left(8, {}, now + 1s));
}

// Guards against quarantines that are broadcast again and again because the
// remaining time of each copy differs by the time in transit, and against
// quarantines that never end.
TEST_CASE("a quarantine is broadcast once and ends")
{
    fleet_crash_tracker first;
    const time_point start{1h};
    first.on_crash(crash_of(crashing_request, 1, start), {}, start);
    first.on_crash(crash_of(crashing_request, 2, start), {}, start);
    fleet_crash_tracker second;
    CHECK(second.receive(*first.router_report(start), start));
    CHECK_FALSE(second.receive(*first.router_report(start), start + 1s));
    CHECK_FALSE(first.receive(*second.router_report(start + 3s), start + 1s));
    CHECK(second.quarantine_left(crashing_request, {}, start + 9min));
    CHECK_FALSE(second.quarantine_left(crashing_request, {}, start + 11min));
    // The request is still a suspect.
    CHECK(first.is_suspect(crashing_request, start + 11min));
}

// Guards against reports that grow without bound after many crashes.
TEST_CASE("a crash report is bounded")
{
    fleet_crash_tracker router;
    const time_point now{1h};
    for (request_fingerprint each = 1; each <= 5000; ++each)
    {
        router.on_crash(crash_of(each, each, now), {}, now);
    }
    const auto all = router.full_report(now);
    REQUIRE(all);
    CHECK(all->suspects.size() == 512);
    CHECK(router.take_report(now)->suspects.size() == 512);
}

// Failure: different requests with a crashing part come to any router, while
// the leader changes and routers start without any knowledge. Guards against
// evidence that is kept at one process and lost with it, and against healthy
// requests that are refused elsewhere.
TEST_CASE("a crashing part is stopped across all routers")
{
    rc::prop(
        "any routers, any change of leader, any restart",
        [](const std::vector<std::uint8_t>& steps)
        {
            constexpr std::size_t routers = 5;
            constexpr std::size_t max_crashes = 5;
            const std::vector<prompt_part_id> crashing = {0xa, 0xb, 0xdead};
            const std::vector<prompt_part_id> healthy = {0xa, 0xb};
            router_group group{routers};
            time_point now{1h};
            std::size_t crashes = 0;
            for (const std::uint8_t step : steps)
            {
                now = now + 3s;
                const std::size_t at = step % routers;
                if (step % 7 == 0)
                {
                    group.change_leader(now);
                }
                if (step % 11 == 0)
                {
                    group.restart_router((at + 1) % routers, now);
                }
                fleet_crash_tracker& router = group.router(at);
                if (!router.quarantine_left(++crashes, crashing, now))
                {
                    router.on_crash(
                        crash_of(crashes, crashes, now),
                        {crashing, now - 100ms}, now);
                }
                else
                {
                    --crashes;
                }
                group.report(at, now);
                if (step % 3 == 0 && !group.router((at + 2) % routers)
                                          .quarantine_left(1, healthy, now))
                {
                    group.router((at + 2) % routers)
                        .on_answered(healthy, now + 1ms);
                    group.report((at + 2) % routers, now + 1ms);
                }
            }
            RC_ASSERT(crashes <= max_crashes);
            for (std::size_t i = 0; i < routers; ++i)
            {
                RC_ASSERT(!group.router(i).quarantine_left(99, healthy, now));
            }
        });
}

// Guards against a part that stays quarantined at some routers: an answer at
// one router clears it at all of them, also when it was seen before the crashes
// became known there.
TEST_CASE("an answer at one router clears the part at all routers")
{
    const bool is_early = GENERATE(true, false);
    CAPTURE(is_early);
    router_group group{3};
    const time_point start{1h};
    const std::vector<prompt_part_id> parts = {0xb};
    const auto crash = [&](std::size_t at, request_fingerprint number)
    {
        const time_point now = start + std::chrono::seconds{number};
        group.router(at).on_crash(
            crash_of(number, number, now), {parts, now - 100ms}, now);
        if (is_early && number == 3)
        {
            group.router(2).on_answered(parts, now + 1ms);
        }
        group.report(at, now + 5ms);
    };
    crash(0, 1);
    crash(1, 2);
    crash(0, 3);
    const time_point end = start + 4s;
    if (!is_early)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            CHECK(group.router(i).quarantine_left(9, parts, end));
        }
        group.router(2).on_answered(parts, end);
    }
    CHECK(group.router(2).has_news());
    group.report(2, end);
    for (std::size_t i = 0; i < 3; ++i)
    {
        CHECK_FALSE(group.router(i).quarantine_left(9, parts, end));
    }
    CHECK_FALSE(group.router(2).has_news());
}

// Load: servers with many requests crash one after the other in a large fleet,
// where the leader repeats each report for every router. Guards against reports
// that saturate its link: with all crashes of all suspected parts in them, 200
// routers lost their leader.
TEST_CASE("routers get a short proof for quarantined parts only")
{
    constexpr std::size_t requests_per_server = 30;
    constexpr std::size_t max_proof = 6;
    fleet_crash_tracker router;
    fleet_crash_tracker leader;
    time_point now{1h};
    for (request_fingerprint server = 1; server <= 8; ++server)
    {
        now = now + 1s;
        for (std::size_t i = 0; i < requests_per_server; ++i)
        {
            // All have the part 0xa, one of them 0xdead; the others have a part
            // that is in no other crash.
            const prompt_part_id other = server * 1000 + i;
            router.on_crash(
                crash_of(other, server, now),
                {{0xa, i == 0 ? prompt_part_id{0xdead} : other}, now - 100ms},
                now);
        }
        router.on_answered(std::vector<prompt_part_id>{0xa}, now + 1ms);
        const bool has_news = leader.receive(*router.take_report(now), now);
        CHECK(has_news == (server >= 3));
        const auto news = leader.take_router_news(now);
        REQUIRE(news.has_value() == has_news);
        if (news)
        {
            CHECK(
                news->part_suspects.size() ==
                std::min<std::size_t>(server, max_proof));
            CHECK(news->suspects.empty());
        }
        CHECK_FALSE(leader.take_router_news(now));
    }
    fleet_crash_tracker other_router;
    other_router.receive(*leader.router_report(now), now);
    CHECK(other_router.quarantine_left(
        9, std::vector<prompt_part_id>{0xa, 0xdead}, now));
    CHECK_FALSE(
        other_router.quarantine_left(9, std::vector<prompt_part_id>{0xa}, now));
}

// Guards against proofs that repeat each crash for each part that is
// quarantined by it: prompts often have several parts in common.
TEST_CASE("routers get each crash once whatever parts it is proof against")
{
    constexpr std::size_t crashes = 3;
    const std::vector<prompt_part_id> parts{0xa, 0xb, 0xc, 0xd};
    fleet_crash_tracker router;
    fleet_crash_tracker leader;
    time_point now{1h};
    for (request_fingerprint server = 1; server <= crashes; ++server)
    {
        now = now + 10s;
        router.on_crash(
            crash_of(server, server, now), {parts, now - 100ms}, now);
    }
    leader.receive(*router.take_report(now), now);
    REQUIRE(leader.quarantined_parts() == parts.size());
    const auto news = leader.take_router_news(now);
    REQUIRE(news);
    CHECK(news->part_suspects.size() == crashes);
    CHECK(leader.router_report(now)->part_suspects.size() == crashes);
    fleet_crash_tracker other_router;
    other_router.receive(*news, now);
    CHECK(other_router.quarantined_parts() == parts.size());
}
