#include "request/dispatch/path_tracker.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

constexpr service_id service = 7;
const time_point start{1h};

enum class step
{
    fails,
    connects,
    reached_by_router,
    unreached_by_router
};

struct event
{
    step what;
    backend_server_id server;
};

void apply(path_tracker& paths, const event& happened, time_point now)
{
    switch (happened.what)
    {
    case step::fails:
        paths.on_unreachable(happened.server, service, now);
        break;
    case step::connects:
        paths.on_connected(happened.server, service, now);
        break;
    case step::reached_by_router:
        paths.on_reached_by_router(happened.server);
        break;
    case step::unreached_by_router:
        paths.on_unreached_by_router(happened.server, now);
        break;
    }
}

} // namespace

// Guards against dead servers that are taken for blocked paths, against blocked
// paths that are taken for dead servers, and against a router that offers a
// path that it does not have.
TEST_CASE("paths follow from the outcome of connections")
{
    struct row
    {
        std::vector<event> events;
        backend_path to_first;
        backend_path to_other;
        bool is_lost;
    };
    using enum step;
    const row tested = GENERATE(
        row{{}, backend_path::direct_first, backend_path::direct_first, false},
        row{{{fails, 1}},
            backend_path::direct_first,
            backend_path::direct_first,
            false},
        row{{{fails, 1}, {unreached_by_router, 1}},
            backend_path::direct_only,
            backend_path::direct_first,
            false},
        row{{{fails, 1}, {reached_by_router, 1}},
            backend_path::through_router,
            backend_path::direct_first,
            false},
        row{{{fails, 1}, {fails, 2}},
            backend_path::direct_first,
            backend_path::direct_first,
            true},
        row{{{fails, 1}, {fails, 2}, {reached_by_router, 2}},
            backend_path::through_router,
            backend_path::through_router,
            true},
        // A host that is cut off itself changes nothing.
        row{{{fails, 1}, {reached_by_router, 1}, {unreached_by_router, 1}},
            backend_path::through_router,
            backend_path::direct_first,
            false},
        // Another server is reached directly: only single paths are blocked.
        row{{{fails, 1}, {fails, 2}, {reached_by_router, 1}, {connects, 3}},
            backend_path::through_router,
            backend_path::direct_first,
            false},
        // A blocked server of a lost service is reached again.
        row{{{fails, 1},
             {fails, 2},
             {reached_by_router, 1},
             {reached_by_router, 2},
             {connects, 2}},
            backend_path::direct_first,
            backend_path::direct_first,
            false});
    path_tracker paths;
    time_point now = start;
    for (const event& happened : tested.events)
    {
        now = now + 10ms;
        apply(paths, happened, now);
    }
    CHECK(paths.path_to(1, service, now) == tested.to_first);
    CHECK(paths.path_to(9, service, now) == tested.to_other);
    CHECK(paths.is_lost(service) == tested.is_lost);
    CHECK(paths.lost_services().empty() != tested.is_lost);
    CHECK_FALSE(paths.is_lost(service + 1));
}

// Guards against a router that goes on with tunnels, or with doubts about a
// server, after their reason has gone.
TEST_CASE("blocked paths are checked a few at a time, and doubts expire")
{
    path_tracker paths;
    for (backend_server_id server = 1; server <= 5; ++server)
    {
        paths.on_unreachable(server, service, start);
        paths.on_reached_by_router(server);
    }
    paths.on_unreachable(6, service, start);
    paths.on_unreached_by_router(6, start);
    CHECK(paths.blocked_since(9, service) == start);
    CHECK(paths.take_due_checks(start).empty());
    CHECK(paths.take_due_checks(start + 600ms).size() == 2);
    CHECK(paths.take_due_checks(start + 600ms).size() == 2);
    CHECK(paths.take_due_checks(start + 600ms).size() == 1);
    CHECK(paths.path_to(6, service, start) == backend_path::direct_only);
    CHECK(
        paths.path_to(6, service, start + 600ms) != backend_path::direct_only);
    paths.keep_only({});
    CHECK(paths.lost_services().empty());
}
