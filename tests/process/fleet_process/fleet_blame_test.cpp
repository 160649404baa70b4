#include "process/fleet_process/fleet_blame.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

constexpr request_fingerprint poison = 666;

suspect_notice crash_of(
    request_fingerprint fingerprint, backend_server_id server, time_point now,
    bool midway = false)
{
    return {fingerprint, server, tracker_time(now), false, midway};
}

// Routers and their leader; reports arrive before the next request.
class blame_group
{
public:
    explicit blame_group(std::size_t routers)
        : routers_(routers)
    {
    }

    fleet_blame& router(std::size_t index)
    {
        return routers_.at(index);
    }
    const fleet_blame& leader() const
    {
        return leader_;
    }

    void report(std::size_t from, time_point now)
    {
        const auto report = routers_.at(from).take_report(now);
        if (report && leader_.receive(*report, now))
        {
            ++broadcasts_;
            advise(now);
        }
    }

    // A new leader, which all routers greet.
    void change_leader(time_point now)
    {
        leader_ = {};
        for (const fleet_blame& router : routers_)
        {
            if (const auto report = router.full_report(now))
            {
                leader_.receive(*report, now);
            }
        }
        advise(now);
    }

    std::size_t broadcasts() const
    {
        return broadcasts_;
    }

private:
    void advise(time_point now)
    {
        if (const auto advice = leader_.advice(now))
        {
            for (fleet_blame& router : routers_)
            {
                router.receive(*advice, now);
            }
        }
    }

    std::vector<fleet_blame> routers_;
    fleet_blame leader_;
    std::size_t broadcasts_ = 0;
};

} // namespace

// Failure: a request crashes each server that runs it and comes again through
// another router each time, while the leader changes. Guards against a fleet
// that lets it end more than three servers, and against sound requests that
// are refused because they were nearby.
TEST_CASE("the routers together stop a request that crashes servers")
{
    rc::prop(
        "any routers, any part of the answer, any change of leader",
        [](const std::vector<std::uint8_t>& steps)
        {
            constexpr std::size_t routers = 5;
            constexpr request_fingerprint bystanders = 20;
            blame_group group{routers};
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
                if (group.router(at).quarantine_left(poison, now))
                {
                    continue;
                }
                ++crashes;
                ++server;
                group.router(at).on_crash(
                    crash_of(poison, server, now, midway), now);
                for (request_fingerprint each = 1; each <= bystanders; ++each)
                {
                    // Two of them were at each server, and end elsewhere.
                    if ((each + server) % 10 == 0)
                    {
                        group.router(at).on_crash(
                            crash_of(each, server, now, midway), now);
                        group.router((at + 1) % routers).on_completed(each);
                    }
                }
                group.report(at, now);
            }
            RC_ASSERT(crashes <= 3U);
            for (request_fingerprint each = 1; each <= bystanders; ++each)
            {
                for (std::size_t i = 0; i < routers; ++i)
                {
                    RC_ASSERT(!group.router(i).quarantine_left(each, now));
                }
            }
        });
}

// Load: a server ends with many requests on it. Guards against each of them
// being told to all routers, which a voter's link can't bear in a large fleet.
TEST_CASE("requests that were at one crash only are told to the leader alone")
{
    blame_group group{3};
    const time_point now{1h};
    for (request_fingerprint each = 1; each <= 60; ++each)
    {
        group.router(0).on_crash(crash_of(each, 9, now), now);
    }
    group.report(0, now);
    CHECK(group.broadcasts() == 0);
    CHECK_FALSE(group.leader().advice(now));
    // Told once.
    CHECK_FALSE(group.router(0).take_report(now));
    group.router(1).on_crash(crash_of(7, 8, now + 1s), now + 1s);
    group.report(1, now + 1s);
    CHECK(group.broadcasts() == 1);
    CHECK(group.router(2).quarantine_left(7, now + 1s));
    CHECK_FALSE(group.router(2).quarantine_left(8, now + 1s));
}

// Guards against quarantines that are told again and again because each copy
// has lost some time on its way, and against ones that never end.
TEST_CASE("a quarantine is news once and ends")
{
    fleet_blame first;
    const time_point start{1h};
    first.on_crash(crash_of(poison, 1, start), start);
    first.on_crash(crash_of(poison, 2, start), start);
    fleet_blame second;
    CHECK(second.receive(*first.advice(start), start));
    CHECK_FALSE(second.receive(*first.advice(start), start + 1s));
    CHECK_FALSE(first.receive(*second.advice(start + 3s), start + 1s));
    CHECK(second.quarantine_left(poison, start + 9min));
    CHECK_FALSE(second.quarantine_left(poison, start + 11min));
    // It is a suspect still.
    CHECK(first.is_suspect(poison, start + 11min));
}

// Guards against reports that grow without bound.
TEST_CASE("a report is bounded")
{
    fleet_blame router;
    const time_point now{1h};
    for (request_fingerprint each = 1; each <= 5000; ++each)
    {
        router.on_crash(crash_of(each, each, now), now);
    }
    const auto all = router.full_report(now);
    REQUIRE(all);
    CHECK(all->suspects.size() == 512);
    CHECK(router.take_report(now)->suspects.size() == 512);
}
