#include "request/rate_limit/rate_limit_allocator.hpp"
#include "request/rate_limit/router_limits.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

// The platform's bound for requests in any 4 s.
constexpr duration window = 4s;

double max_requests(double limit)
{
    return 1.5 * limit * 4 + 5;
}

// Largest number of the times within one window.
std::size_t most_in_window(const std::vector<time_point>& times)
{
    std::size_t most = 0;
    for (auto begin = times.begin(); begin != times.end(); ++begin)
    {
        const auto end = std::lower_bound(begin, times.end(), *begin + window);
        most = std::max(most, static_cast<std::size_t>(end - begin));
    }
    return most;
}

} // namespace

// Guards against a leader that permits more requests than a server accepts, or
// wastes what it accepts. The demand is many times the limit; it stops for some
// seconds, the limit changes, and another leader takes over.
TEST_CASE("the permits of leaders keep within a limit and use it")
{
    const double limit = GENERATE(0.0, 0.3, 1.0, 4.2, 30.0);
    CAPTURE(limit);
    constexpr backend_server_id server = 7;
    rate_limit_allocator leader{1};
    std::vector<time_point> permitted;
    CHECK(leader.observe(std::vector<backend_limit>{{server, limit}}, {0s}));
    for (time_point now{1ms}; now < time_point{60s}; now = now + 5ms)
    {
        if (now == time_point{20001ms})
        {
            leader = rate_limit_allocator{2};
            leader.observe(std::vector<backend_limit>{{server, limit}}, now);
        }
        const bool is_idle = now > time_point{10s} && now < time_point{16s};
        if (!is_idle && leader.take(std::vector{server}, now) == server)
        {
            permitted.push_back(now);
        }
    }
    CHECK(
        static_cast<double>(most_in_window(permitted)) <= max_requests(limit));
    CHECK(static_cast<double>(permitted.size()) >= 0.8 * 54 * limit);
    // A server without capacity is still asked from time to time.
    CHECK(permitted.size() >= 8);
}

// Guards against a permit for a server that accepts nothing more while the next
// in the order of preference would, and against a limit that stays after it has
// been lifted or its server has gone.
TEST_CASE("a permit is for the first server that accepts the request")
{
    rate_limit_allocator leader{5};
    leader.observe(std::vector<backend_limit>{{1, 2.0}, {2, 2.0}}, {0s});
    const std::vector<backend_server_id> both{1, 2};
    CHECK(leader.take(both, {500ms}) == 1);
    CHECK(leader.take(both, {510ms}) == 2);
    CHECK(leader.take(both, {520ms}) == std::nullopt);
    CHECK(
        leader.table().limits ==
        std::vector<backend_limit>{{1, 2.0}, {2, 2.0}});
    const auto version = leader.version();
    CHECK(leader.observe(std::vector<backend_limit>{{2, {}}}, {530ms}));
    CHECK(leader.version() != version);
    CHECK(leader.take(both, {540ms}) == 2);
    CHECK(leader.keep_only(std::vector<backend_server_id>{2}));
    CHECK(leader.take(both, {550ms}) == 1);
    CHECK(leader.size() == 0);
}

// Guards against routers without a leader that exceed a limit together, also
// after a pause in which none had a request, and against routers that then send
// nothing at all.
TEST_CASE("routers without a leader keep within a limit together")
{
    struct row
    {
        std::uint32_t routers;
        double limit;
    };
    const auto tested = GENERATE(
        row{1, 4.0}, row{8, 4.0}, row{8, 0.5}, row{195, 3.0}, row{195, 30.0});
    CAPTURE(tested.routers, tested.limit);
    constexpr backend_server_id server = 7;
    std::vector<std::unique_ptr<router_limits>> routers;
    for (std::uint32_t i = 0; i < tested.routers; ++i)
    {
        routers.push_back(std::make_unique<router_limits>(i));
        routers.back()->set_routers(tested.routers);
        routers.back()->on_response({server, tested.limit});
    }
    std::vector<time_point> sent;
    for (time_point now{0s}; now < time_point{60s}; now = now + 20ms)
    {
        const bool is_idle = now > time_point{20s} && now < time_point{30s};
        for (const auto& router : routers)
        {
            if (!is_idle && router->take_own_permit(server, now))
            {
                sent.push_back(now);
            }
        }
    }
    CHECK(
        static_cast<double>(most_in_window(sent)) <=
        max_requests(tested.limit));
    CHECK(static_cast<double>(sent.size()) >= 0.25 * 50 * tested.limit);
}

// Guards against a table of the leader that hides what a response has just
// shown, and against a limit that is reported again and again.
TEST_CASE("a router reports what responses show and takes the leader's table")
{
    router_limits router{1};
    CHECK(router.on_response({1, 2.0}));
    CHECK_FALSE(router.on_response({1, 2.0}));
    CHECK_FALSE(router.on_response({2, {}}));
    router.on_table({9, {{3, 1.0}}});
    CHECK(router.table_version() == 9);
    // The leader does not know of this one yet.
    CHECK(router.is_limited(1));
    CHECK(router.is_limited(3));
    CHECK(router.take_observed() == std::vector<backend_limit>{{1, 2.0}});
    router.on_table({10, {{3, 1.0}}});
    CHECK_FALSE(router.is_limited(1));
    CHECK(router.on_response({3, {}}));
    CHECK(router.take_all() == std::vector<backend_limit>{{3, {}}});
    CHECK(router.size() == 0);
}
