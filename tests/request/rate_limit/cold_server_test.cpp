#include "common/random.hpp"
#include "request/rate_limit/rate_limit_allocator.hpp"
#include "request/rate_limit/router_limits.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <string>
#include <utility>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

constexpr backend_server_id cold_server = 7;
constexpr std::uint64_t service = 3;
constexpr std::size_t routers = 60;
constexpr duration step = 5ms;

// Requests per second that a cold server must not get more than: the
// platform's bound.
double bound_of(double rate)
{
    constexpr double overage = 1.5;
    constexpr double slack = 5;
    return rate * overage + slack;
}

// Most requests within any second.
class busiest_second
{
public:
    void add(time_point now)
    {
        sent_.push_back(now);
        while (now - sent_.front() >= 1s)
        {
            sent_.pop_front();
        }
        most_ = std::max(most_, sent_.size());
        ++total_;
    }

    std::size_t most() const
    {
        return most_;
    }
    std::size_t total() const
    {
        return total_;
    }

private:
    std::deque<time_point> sent_;
    std::size_t most_ = 0;
    std::size_t total_ = 0;
};

} // namespace

// Guards against a zone that comes back cold and is sent the load of a hot
// prompt by all routers at once: its servers would fail again. The leader is
// silent in the middle of the run, and another one follows.
TEST_CASE("a cold server gets no more than its rate from all routers together")
{
    const auto [rate, requests_per_second] =
        GENERATE(table<double, int>({{8.7, 400}, {8.7, 2000}, {1.0, 400}}));
    CAPTURE(rate, requests_per_second);
    std::vector<router_limits> fleet;
    for (std::size_t i = 0; i < routers; ++i)
    {
        fleet.emplace_back(i + 1);
        fleet.back().set_routers(routers);
        fleet.back().set_cold({{cold_server, rate}});
        CHECK(fleet.back().is_limited(cold_server));
    }
    rate_limit_allocator leader{1};
    leader.set_cold_rates({{service, rate}});
    random_engine random{5};
    busiest_second sent;
    double due = 0;
    for (time_point now{1h}; now < time_point{1h + 30s}; now = now + step)
    {
        const duration time = now - time_point{1h};
        if (time == 20s)
        {
            leader = rate_limit_allocator{2};
            leader.set_cold_rates({{service, rate}});
        }
        const bool has_leader = time < 10s || time >= 20s;
        due +=
            requests_per_second * std::chrono::duration<double>(step).count();
        for (; due >= 1; due -= 1)
        {
            router_limits& router = fleet[random_below(random, routers)];
            permit_request request;
            request.candidates = {cold_server};
            request.service = service;
            const bool permitted =
                has_leader
                    ? leader.answer(router.make_query(request), now).backend ==
                          cold_server
                    : router.take_own_permit(cold_server, now);
            if (permitted)
            {
                sent.add(now);
            }
        }
    }
    CHECK(static_cast<double>(sent.most()) <= bound_of(rate));
    // With a leader, a cold server is used at its rate.
    CHECK(static_cast<double>(sent.total()) >= 20 * rate * 0.9);
}

TEST_CASE("servers that are not cold, or of services without a rate, are free")
{
    router_limits router{1};
    router.set_cold({{cold_server, 2.0}});
    router.set_cold({});
    CHECK_FALSE(router.is_limited(cold_server));
    CHECK(router.take_own_permit(cold_server, time_point{1h}));
    rate_limit_allocator leader{1};
    leader.set_cold_rates({{service + 1, 1.0}});
    permit_request request;
    request.candidates = {cold_server};
    request.service = service;
    for (int i = 0; i < 100; ++i)
    {
        CHECK(
            leader.answer(router.make_query(request), time_point{1h}).backend ==
            cold_server);
    }
}

// Guards against a response without Server-Limit, which would end a cold
// server's rate as if it had been a limit that the server named.
TEST_CASE("a response does not make a cold server warm")
{
    router_limits router{1};
    router.set_cold({{cold_server, 2.0}});
    CHECK_FALSE(router.on_response({cold_server, {}}, time_point{1h}));
    limit_changes changes;
    changes.limits = {{cold_server, {}}};
    router.on_changes(changes, time_point{1h});
    CHECK(router.is_limited(cold_server));
}
