#include "common/text.hpp"
#include "process/gateway/gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

void set_limits(
    gateway_fixture& fixture, configuration_version version,
    const caller_limits& limits)
{
    routed_service service;
    service.name = "reports";
    service.max_connections = 100;
    routing_configuration_builder builder{version};
    builder.add_service(service)
        .add_route(gateway_fixture::make_route(call_kind::repeatable))
        .add_organisation({"diarroi", {"key-1"}, {}})
        .set_limits(limits);
    fixture.context().set_configuration(*builder.build());
}

void set_idle_timeout(
    gateway_fixture& fixture, configuration_version version, duration limit)
{
    caller_limits limits;
    limits.idle_timeout = limit;
    set_limits(fixture, version, limits);
}

constexpr duration year = std::chrono::hours{24 * 365};

const std::string fine_answer =
    "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nReply-Seal: s\r\n"
    "Content-Length: 4\r\n\r\nfine";

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

// Failure: a configuration sets a limit to 0, 1 ms or the highest value while
// requests are handled, and is taken back. Guards against a router that hangs,
// also for good, and against new connections that are closed before their first
// request can arrive (review/7).
TEST_CASE("time limits at their edges do not stop a router")
{
    const auto [idle, header] = GENERATE(table<duration, duration>(
        {{0ms, 3s},
         {1ms, 3s},
         {year, 3s},
         {15s, 0ms},
         {15s, 1ms},
         {15s, year},
         {0ms, 0ms},
         {year, year}}));
    CAPTURE(idle.count(), header.count());
    gateway_fixture fixture{gateway_fixture::make_route(call_kind::repeatable)};
    backend_double::connection* open = nullptr;
    fixture.add_backend([&](backend_double::connection& to,
                            const received_request& /*got*/) { open = &to; });
    caller_limits limits;
    limits.idle_timeout = idle;
    limits.header_timeout = header;
    const auto check_request = [&](bool closes)
    {
        caller_double& caller = fixture.call("");
        // The request arrives some time after the connection.
        fixture.run_for(30ms);
        caller.send(gateway_fixture::request_text());
        REQUIRE(fixture.run_until([&] { return open != nullptr; }));
        fixture.run_for(30ms);
        std::exchange(open, nullptr)->write(fine_answer);
        REQUIRE(fixture.run_until(
            [&] { return caller.received().ends_with("fine"); }));
        const bool says_close =
            lower_case(caller.received()).find("connection: close") !=
            std::string::npos;
        CHECK(says_close == closes);
        CHECK(
            fixture.run_until([&] { return caller.ended(); }) ==
            (closes ||
             fixture.context().configuration()->limits().idle_timeout < 500ms));
    };
    check_request(false);
    set_limits(fixture, 6, limits);
    for (int i = 0; i < 3; ++i)
    {
        check_request(idle == 0ms);
    }
    set_limits(fixture, 7, {});
    check_request(false);
}
