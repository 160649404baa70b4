#include "process/gateway/gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

using connection = backend_double::connection;

bool is_answered(const caller_double& caller)
{
    return !caller.received().empty() || caller.ended();
}

std::size_t sends_to(const std::vector<backend_double*>& servers)
{
    std::size_t sends = 0;
    for (const backend_double* server : servers)
    {
        sends += server->requests().size();
    }
    return sends;
}

} // namespace

// Guards against healthy requests that are refused because servers dropped
// their connections, lost responses or sent malformed bytes, and such a failure
// was taken for a crash.
TEST_CASE("a broken connection is not counted as a crash of the server")
{
    const auto [label, bytes] = GENERATE(table<std::string, std::string>({
        {"lost response", ""},
        {"cut short", "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nReply-Seal: s\r\n"
                      "Content-Length: 9\r\n\r\nhel"},
        {"malformed response", "garbage\r\n\r\n"},
        {"cut in the head", "HTTP/1.1 200"},
    }));
    CAPTURE(label);
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable, 1)};
    std::vector<backend_double*> servers;
    for (int i = 0; i < 3; ++i)
    {
        servers.push_back(&fixture.add_backend(
            [text = bytes](connection& to, const received_request&)
            {
                to.write(text);
                to.close();
            }));
    }
    constexpr std::size_t calls = 6;
    for (std::size_t i = 0; i < calls; ++i)
    {
        const caller_double& caller =
            fixture.call(gateway_fixture::request_text("", "same"));
        REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
        CHECK(caller.received().starts_with("HTTP/1.1 502"));
        fixture.run_for(10ms);
    }
    CHECK(sends_to(servers) == calls);
}

// Guards against requests that become suspects because a server was shut down
// as planned.
TEST_CASE("a planned shutdown of a server is not counted as a crash")
{
    const bool is_leaving = GENERATE(true, false);
    CAPTURE(is_leaving);
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable, 1)};
    backend_double* server = nullptr;
    server = &fixture.add_backend(
        [is_leaving](connection& to, const received_request& got)
        {
            if (got.body == "answered")
            {
                to.write(fmt::format(
                    "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nReply-Seal: s\r\n"
                    "{}Content-Length: 0\r\n\r\n",
                    is_leaving ? "Server-Leaving: 1\r\n" : ""));
            }
        });
    const caller_double& held =
        fixture.call(gateway_fixture::request_text("", "held"));
    REQUIRE(fixture.run_until([&] { return server->requests().size() == 1; }));
    const caller_double& answered =
        fixture.call(gateway_fixture::request_text("", "answered"));
    REQUIRE(fixture.run_until([&] { return is_answered(answered); }));
    server->crash();
    REQUIRE(fixture.run_until([&] { return is_answered(held); }));
    fixture.run_for(20ms);
    CHECK(
        fixture.context().blame().is_suspect(
            fixture.fingerprint("held"), fixture.context().loop().now()) !=
        is_leaving);
}

// Guards against taking refused connections for a crash: servers at their
// connection limit refuse new connections and drop some of the existing ones.
TEST_CASE("a server at its connection limit is not counted as crashed")
{
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable, 1)};
    std::vector<backend_double*> servers(3, nullptr);
    for (backend_double*& server : servers)
    {
        server = &fixture.add_backend(
            [&server](connection& to, const received_request& got)
            {
                if (got.body == "dropped")
                {
                    to.close();
                    server->refuse_connections();
                }
            });
    }
    // Keep at least one request in progress at each server.
    for (int held = 0; std::ranges::any_of(
             servers,
             [](const auto* each) { return each->requests().empty(); });
         ++held)
    {
        const std::size_t before = sends_to(servers);
        fixture.call(
            gateway_fixture::request_text("", fmt::format("held {}", held)));
        REQUIRE(fixture.run_until([&] { return sends_to(servers) > before; }));
    }
    std::size_t dropped = 0;
    for (int i = 0; i < 3; ++i)
    {
        const caller_double& caller =
            fixture.call(gateway_fixture::request_text("", "dropped"));
        REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
        dropped += caller.received().starts_with("HTTP/1.1 502") ? 1 : 0;
        fixture.run_for(10ms);
    }
    CHECK_FALSE(fixture.context().blame().is_suspect(
        fixture.fingerprint("dropped"), fixture.context().loop().now()));
    CHECK(dropped > 0);
}

// Guards against healthy parts that stay suspected, because an answer was not
// counted whose end came after its last event, and against a crashing part that
// is cleared by a response without an answer.
TEST_CASE("only a complete or settled answer clears the parts of its prompt")
{
    struct row
    {
        std::string label;
        std::string status;
        std::vector<std::string> pieces;
        bool is_cleared;
    };
    const std::string event = "f\r\nid: 1\ndata: x\n\n\r\n";
    const std::string end = "0\r\n\r\n";
    const auto tested = GENERATE_COPY(
        row{"end with the last event", "200 OK", {event + end}, true},
        row{"end after the last event", "200 OK", {event, end}, true},
        row{"no end yet", "200 OK", {event}, false},
        row{"no events", "200 OK", {end}, false},
        row{"rejected as malformed", "404 Not Found", {end}, false},
        row{"failed", "500 Internal Server Error", {end}, false});
    CAPTURE(tested.label);
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::streaming, 1)};
    fixture.add_backend(
        [&](connection& to, const received_request&)
        {
            to.write(fmt::format(
                "HTTP/1.1 {}\r\nRequest-Id: a1\r\nReply-Seal: s\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                tested.status));
            duration wait{0};
            for (const std::string& piece : tested.pieces)
            {
                fixture.context().loop().after(
                    wait, [&to, &piece] { to.write(piece); });
                wait += 20ms;
            }
        });
    fleet_crash_tracker& blame = fixture.context().blame();
    const time_point now = fixture.context().loop().now();
    blame.on_crash({1, 2, tracker_time(now)}, {{0xb}, now}, now);
    REQUIRE(blame.take_report(now));
    fixture.run_for(5ms);
    fixture.call(gateway_fixture::request_text(
        "Model: m\r\nToken-Count: 9,9\r\nPrompt-Prefix: b:5,c:4\r\n"));
    fixture.run_for(100ms);
    CHECK(blame.has_news() == tested.is_cleared);
}
