#include "process/gateway/gateway_fixture.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

void set_idle_timeout(
    gateway_fixture& fixture, configuration_version version, duration limit)
{
    routed_service service;
    service.name = "reports";
    service.max_connections = 100;
    caller_limits limits;
    limits.idle_timeout = limit;
    routing_configuration_builder builder{version};
    builder.add_service(service)
        .add_route(gateway_fixture::make_route(call_kind::repeatable))
        .add_organisation({"diarroi", {"key-1"}, {}})
        .set_limits(limits);
    fixture.context().set_configuration(*builder.build());
}

} // namespace

// Guards against connections that are closed under a request because a new
// configuration has lowered the idle timeout: callers rely on the timeout that
// was in force when the connection became idle.
TEST_CASE("a shorter idle timeout does not end a wait that has begun")
{
    const duration timeout = GENERATE(duration{50ms}, duration{5s});
    gateway_fixture fixture{gateway_fixture::make_route(call_kind::repeatable)};
    fixture.add_backend(
        [](backend_double::connection& to, const received_request& /*got*/)
        {
            to.write("HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nReply-Seal: s\r\n"
                     "Content-Length: 4\r\n\r\nfine");
        });
    set_idle_timeout(fixture, 6, 400ms);
    caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return !caller.received().empty(); }));
    const std::size_t length = caller.received().size();
    // The wait starts when the timer of the connection has run for a while.
    fixture.run_for(300ms);
    caller.send(gateway_fixture::request_text());
    REQUIRE(fixture.run_until(
        [&] { return caller.received().size() == 2 * length; }));
    set_idle_timeout(fixture, 7, timeout);
    fixture.run_for(200ms);
    caller.send(gateway_fixture::request_text());
    CHECK(fixture.run_until(
        [&] { return caller.received().size() == 3 * length; }));
    // The new timeout holds for the next wait.
    CHECK(fixture.run_until([&] { return caller.ended(); }) == (timeout < 1s));
}
