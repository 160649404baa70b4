#include "process/gateway/gateway_fixture.hpp"
#include "process/gateway/startup_queue.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

std::string request_with(int deadline_ms)
{
    return gateway_fixture::request_text(
        deadline_ms == 0 ? std::string{}
                         : fmt::format("Deadline-Ms: {}\r\n", deadline_ms));
}

backend_double::script fine_script()
{
    return [](backend_double::connection& to, const received_request&)
    {
        to.write("HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nReply-Seal: s\r\n"
                 "Content-Length: 4\r\n\r\nfine");
    };
}

} // namespace

// Answers the surge after a loss of power: callers come back while all routers
// start. Guards against their refusal a moment before they could be served.
TEST_CASE("requests wait for a router that has just started")
{
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::repeatable), false};
    const caller_double& patient = fixture.call(request_with(5000));
    const caller_double& hurried = fixture.call(request_with(200));
    const caller_double& unknown = fixture.call(request_with(0));
    // Half of the time that the caller waits is left for another router.
    REQUIRE(fixture.run_until([&] { return !hurried.received().empty(); }));
    CHECK(hurried.received().find(" 503 ") != std::string::npos);
    CHECK(hurried.received().find("Retry-After") != std::string::npos);
    CHECK(unknown.received().find(" 503 ") != std::string::npos);
    CHECK(patient.received().empty());
    fixture.add_backend(fine_script());
    CHECK(patient.received().empty());
    fixture.set_configuration();
    REQUIRE(fixture.run_until([&] { return !patient.received().empty(); }));
    CHECK(patient.received().find(" 200 ") != std::string::npos);
    CHECK(fixture.context().startup().size() == 0);
}

// Guards against work for callers that have left, and against an entry that
// outlives its request.
TEST_CASE("a caller that leaves does not wait for the start")
{
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable), false};
    caller_double& caller = fixture.call(request_with(5000));
    REQUIRE(fixture.run_until(
        [&] { return fixture.context().startup().size() == 1; }));
    caller.leave();
    REQUIRE(fixture.run_until(
        [&] { return fixture.context().startup().size() == 0; }));
    backend_double& backend = fixture.add_backend(fine_script());
    fixture.set_configuration();
    fixture.run_for(300ms);
    CHECK(backend.requests().empty());
}

// Guards against requests that wait for a router that gets no configuration,
// because the voters are down.
TEST_CASE("nothing waits for a router that has been starting for long")
{
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::repeatable), false};
    const caller_double& early = fixture.call(request_with(60000));
    REQUIRE(run_until(
        fixture.context().loop(), [&] { return !early.received().empty(); },
        3s));
    CHECK(early.received().find(" 503 ") != std::string::npos);
    CHECK(fixture.context().startup().longest_wait(60s) == duration{0});
}

TEST_CASE("requests go on in the order of their deadlines")
{
    event_loop loop;
    REQUIRE(loop.open().ok());
    startup_queue queue{loop};
    std::vector<int> order;
    for (const int deadline_s : {5, 1, 3, 2})
    {
        queue.add(
            loop.now() + std::chrono::seconds{deadline_s}, 1s,
            [&order, deadline_s](bool is_ready)
            {
                CHECK(is_ready);
                order.push_back(deadline_s);
            });
    }
    queue.release();
    run_for(loop, 300ms);
    CHECK(order == std::vector<int>{1, 2, 3, 5});
}
