#include "platform/configuration_document.hpp"
#include "platform/replica_list.hpp"
#include "process/gateway/gateway.hpp"
#include "process/gateway/gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

const std::string document = R"({"version":3,"routes":[
    {"name":"r","host":"h.example","path_prefix":"/a/","kind":"unsafe",
     "timeout_ms":5000,"service":"reports","public":true}],
    "services":[{"name":"reports","max_connections":100}]})";

// A complete router on loopback, without voters.
struct router_fixture
{
    router_fixture()
    {
        REQUIRE(loop.open().ok());
        do
        {
            const auto base =
                static_cast<std::uint16_t>(20000 + random_seed() % 10000);
            settings.instance.host = "127.0.0.1";
            settings.callers = {"127.0.0.1", base};
            settings.readiness = {
                "127.0.0.1", static_cast<std::uint16_t>(base + 1)};
            settings.shutdown.limit = 6s;
            router = std::make_unique<gateway>(
                loop, settings,
                gateway_dialects{&requests, &configurations, &backend_list});
        } while (!router->open().ok());
    }

    bool run_until(const std::function<bool()>& condition, duration limit)
    {
        const time_point end = boot_now() + limit;
        while (!condition() && boot_now() < end)
        {
            loop.run_once(5ms);
        }
        return condition();
    }

    std::uint16_t backend_port() const
    {
        return static_cast<std::uint16_t>(settings.callers.port + 2);
    }

    // Lists the backend server at backend_port.
    void list_backend()
    {
        const std::vector<listed_backend> list{
            {"i-1",
             "reports",
             "domain-a",
             {"127.0.0.1", backend_port()},
             8,
             false}};
        router->on_backend_list(list);
    }

    std::string ready()
    {
        caller_double probe{loop, settings.readiness.port};
        probe.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        run_until([&] { return !probe.received().empty(); }, 1s);
        return probe.received().substr(9, 3);
    }

    event_loop loop;
    fleet_settings settings;
    platform::request_fields requests;
    platform::configuration_document configurations;
    platform::replica_list backend_list;
    std::unique_ptr<gateway> router;
};

std::string request(std::string_view id)
{
    return fmt::format(
        "POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
        "Content-Length: 0\r\n\r\n",
        id);
}

std::string fine_response(std::string_view id)
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n"
        "Content-Length: 4\r\n\r\nfine",
        id);
}

} // namespace

// Guards against a router that is ready without a configuration or a backend
// list, and against an invalid document that discards the current
// configuration.
TEST_CASE("a router without a configuration is not ready and responds with 503")
{
    router_fixture f;
    CHECK(f.ready() == "503");
    caller_double caller{f.loop, f.settings.callers.port};
    caller.send(request("a1"));
    REQUIRE(f.run_until([&] { return !caller.received().empty(); }, 1s));
    CHECK(caller.received().substr(9, 3) == "503");
    // Not earlier than the voters can have elected a leader.
    CHECK_THAT(caller.received(), Catch::Contains("Retry-After: 1."));
    CHECK(f.router->on_configuration(3, document));
    // Without a backend list every request would be refused.
    CHECK(f.ready() == "503");
    f.router->on_backend_list({});
    CHECK(f.ready() == "200");
    for (const std::string& invalid :
         {std::string{"{\"version\":"}, std::string{"{\"version\":1e999}"},
          std::string(120000, '[') + std::string(120000, ']')})
    {
        CHECK_FALSE(f.router->on_configuration(4, invalid));
        CHECK(f.ready() == "200");
    }
}

// Guards against requests that are cut during a planned shutdown because they
// arrive on the last connections before the port closes, or are still waiting
// for a server when the process must exit.
TEST_CASE("a planned shutdown completes the requests that arrived last")
{
    router_fixture f;
    std::vector<std::pair<backend_double::connection*, std::string>> open;
    backend_double backend{
        f.loop, f.backend_port(),
        [&](backend_double::connection& to, const received_request& got)
        { open.emplace_back(&to, got.head->get("Request-Id")); }};
    REQUIRE(backend.opened());
    REQUIRE(f.router->on_configuration(3, document));
    f.list_backend();
    // Sets the connection limit high enough for all requests.
    f.router->on_router_count(1);
    f.router->shut_down();
    const time_point shutdown_start = boot_now();

    // Callers connect until the port closes, and each sends its request a
    // little later.
    std::vector<std::unique_ptr<caller_double>> callers;
    std::size_t sent = 0;
    while (boot_now() - shutdown_start < 2750ms)
    {
        if (boot_now() - shutdown_start > 2400ms)
        {
            callers.push_back(std::make_unique<caller_double>(
                f.loop, f.settings.callers.port));
        }
        f.run_until([] { return false; }, 10ms);
        if (callers.size() > sent + 5)
        {
            callers[sent]->send(request(fmt::format("c{}", sent)));
            ++sent;
        }
    }
    for (; sent < callers.size(); ++sent)
    {
        callers[sent]->send(request(fmt::format("c{}", sent)));
    }
    f.run_until([] { return false; }, 300ms);
    const auto accepted = open.size();
    CHECK(accepted > 15);
    // The server responds to all requests but one, and the router to that one.
    for (std::size_t i = 1; i < accepted; ++i)
    {
        open[i].first->write(fine_response(open[i].second));
    }
    const auto count = [&](std::string_view end)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            callers, [&](const auto& caller)
            { return caller->received().find(end) != std::string::npos; }));
    };
    REQUIRE(f.run_until([&] { return count("fine") == accepted - 1; }, 1s));
    REQUIRE(f.run_until([&] { return count("504") == 1; }, 4s));
    // Every caller that connected before the port closed has a response.
    CHECK(
        std::ranges::count_if(
            callers, [](const auto& caller)
            { return caller->ended() && caller->received().empty(); }) ==
        static_cast<std::ptrdiff_t>(callers.size() - accepted));
    CHECK(callers.size() - accepted <= 20);
}

// Guards against a response that is cut because its caller reads it late: the
// connection counts as idle once the response is complete here, and is closed
// in a planned shutdown or after the idle timeout.
TEST_CASE("a response that is read late is sent to its end")
{
    const bool shuts_down = GENERATE(true, false);
    CAPTURE(shuts_down);
    router_fixture f;
    const std::string body(max_buffered_body_bytes - 1000, 'x');
    backend_double backend{
        f.loop, f.backend_port(),
        [&](backend_double::connection& to, const received_request& got)
        {
            to.write(fmt::format(
                "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n"
                "Content-Length: {}\r\n\r\n",
                got.head->get("Request-Id"), body.size()));
            to.write(body);
        }};
    REQUIRE(backend.opened());
    std::string limited = document;
    limited.insert(1, R"("limits":{"idle_timeout_ms":300},)");
    REQUIRE(f.router->on_configuration(3, shuts_down ? document : limited));
    f.list_backend();
    f.router->on_router_count(1);
    std::vector<std::unique_ptr<caller_double>> callers;
    for (int i = 0; i < 3; ++i)
    {
        callers.push_back(
            std::make_unique<caller_double>(f.loop, f.settings.callers.port));
        callers.back()->set_reading(false);
        callers.back()->send(request(fmt::format("a{}", i)));
    }
    f.run_until([] { return false; }, 700ms);
    if (shuts_down)
    {
        f.router->shut_down();
        f.run_until([] { return false; }, 3500ms);
    }
    for (const auto& caller : callers)
    {
        caller->set_reading(true);
    }
    for (const auto& caller : callers)
    {
        CHECK(f.run_until(
            [&]
            {
                return caller->received().find("\r\n\r\n") + 4 + body.size() ==
                       caller->received().size();
            },
            2s));
    }
}

// Guards against requests that come late in a planned shutdown and are passed
// on, though the process may exit before their response: their callers are told
// that they have not run. Requests that end in time are served.
TEST_CASE("a request that may outlast a planned shutdown is refused")
{
    const auto [fields, sent_after, status] =
        GENERATE(table<std::string, duration, std::string>({
            {"", 2300ms, "200"},
            {"", 3500ms, "503"},
            {"Deadline-Ms: 1000\r\n", 3500ms, "200"},
            {"Deadline-Ms: 100000\r\n", 3500ms, "503"},
            {"Deadline-Ms: 1000\r\n", 5000ms, "503"},
        }));
    CAPTURE(fields, sent_after.count());
    router_fixture f;
    int runs = 0;
    backend_double backend{
        f.loop, f.backend_port(),
        [&](backend_double::connection& to, const received_request& got)
        {
            ++runs;
            to.write(fine_response(got.head->get("Request-Id")));
        }};
    REQUIRE(backend.opened());
    REQUIRE(f.router->on_configuration(3, document));
    f.list_backend();
    f.router->on_router_count(1);
    f.router->shut_down();
    f.run_until([] { return false; }, 2200ms);
    // The last bytes of the request are sent late.
    caller_double caller{f.loop, f.settings.callers.port};
    const std::string text = fmt::format(
        "POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a1\r\n{}"
        "Content-Length: 5\r\n\r\nvisit",
        fields);
    caller.send(text.substr(0, text.size() - 1));
    f.run_until([] { return false; }, sent_after - 2200ms);
    caller.send(text.substr(text.size() - 1));
    REQUIRE(f.run_until([&] { return caller.ended(); }, 2s));
    CHECK(caller.received().substr(9, 3) == status);
    CHECK(runs == (status == "200" ? 1 : 0));
    CHECK(
        (caller.received().find("Retry-After: 0.00") != std::string::npos) ==
        (status == "503"));
}

// Guards against requests that are cut, or connections that are refused, before
// the load balancer has noticed that the process is shutting down.
TEST_CASE(
    "a router that shuts down finishes its requests and accepts late callers")
{
    router_fixture f;
    std::vector<std::pair<backend_double::connection*, std::string>> open;
    backend_double backend{
        f.loop, f.backend_port(),
        [&](backend_double::connection& to, const received_request& got)
        { open.emplace_back(&to, got.head->get("Request-Id")); }};
    REQUIRE(backend.opened());
    REQUIRE(f.router->on_configuration(3, document));
    f.list_backend();

    const auto respond = [&](std::size_t number)
    { open[number].first->write(fine_response(open[number].second)); };
    caller_double running{f.loop, f.settings.callers.port};
    running.send(request("a1"));
    REQUIRE(f.run_until([&] { return open.size() == 1; }, 1s));
    caller_double idle{f.loop, f.settings.callers.port};
    f.run_until([] { return false; }, 20ms);

    f.router->shut_down();
    CHECK(f.ready() == "503");
    f.run_until([] { return false; }, 1s);
    caller_double late{f.loop, f.settings.callers.port};
    late.send(request("a2"));
    REQUIRE(f.run_until([&] { return open.size() == 2; }, 1s));
    respond(0);
    respond(1);
    REQUIRE(f.run_until([&] { return late.ended() && running.ended(); }, 1s));
    for (const caller_double* caller : {&running, &late})
    {
        CHECK_THAT(caller->received(), Catch::Contains("Connection: close"));
        CHECK(caller->received().ends_with("fine"));
    }
    CHECK_FALSE(idle.ended());
    CHECK(f.run_until([&] { return idle.ended(); }, 3s));
}
