#include "process/route_fleet/route_fleet_fixture.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace hickorygap;
using namespace hickorygap::test;

namespace
{

std::string document(int version, std::string_view tenants)
{
    return fmt::format(
        R"({{"version":{},"routes":[{{"name":"r1","host":"h.example",
"path_prefix":"/a/","kind":"unsafe","timeout_ms":3000,"service":"llm",
"max_attempts":1}}],"services":[{{"name":"llm","max_connections":500}}],
"tenants":{}}})",
        version, tenants);
}

constexpr std::string_view one_tenant =
    R"([{"name":"t1","api_keys":["key-1"],"priority":1}])";

// The status line of the response to a request with the key.
std::string status_for(route_fleet& fleet, std::size_t router, const char* key)
{
    const caller_double& caller = fleet.call(
        router, fmt::format(
                    "POST /a/x HTTP/1.1\r\nHost: h.example\r\n"
                    "Request-Id: q1\r\nAuthorization: Bearer {}\r\n"
                    "Content-Length: 0\r\n\r\n",
                    key));
    REQUIRE(run_until(fleet.loop(), [&] { return is_answered(caller); }));
    return caller.received().substr(0, caller.received().find("\r\n"));
}

void add_server(route_fleet& fleet, int& runs)
{
    fleet.add_backend(
        [&runs](backend_double::connection& to, const received_request&)
        {
            ++runs;
            to.write("HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nReply-Seal: s\r\n"
                     "Content-Length: 4\r\n\r\nfine");
        });
}

// How a router gets to the version that takes the last key away.
enum class way
{
    pushed,
    router_started_later,
    all_processes_restarted
};

} // namespace

// Guards against a version without any key that opens the routes to every key,
// whichever way a router learns it (review/4).
TEST_CASE("no key is served after the last one was taken away")
{
    const auto by = GENERATE(
        way::pushed, way::router_started_later, way::all_processes_restarted);
    const auto left = GENERATE(
        as<std::string>{}, "[]", "null", R"({"columns":["name"],"rows":[]})",
        R"([{"name":"t1","api_keys":[]}])");
    CAPTURE(static_cast<int>(by), left);
    const temporary_folder data;
    int runs = 0;
    auto fleet =
        std::make_unique<route_fleet>(1, document(7, one_tenant), data.path());
    add_server(*fleet, runs);
    fleet->await_readiness();
    CHECK(status_for(*fleet, 0, "key-1") == "HTTP/1.1 200 OK");
    CHECK(runs == 1);
    fleet->submit_document(document(9, left));
    if (by == way::all_processes_restarted)
    {
        fleet.reset();
        // A resend of the version that holds already is acknowledged.
        fleet =
            std::make_unique<route_fleet>(1, document(9, left), data.path());
        add_server(*fleet, runs);
    }
    const std::size_t router = by == way::router_started_later ? 1 : 0;
    if (router > 0)
    {
        fleet->add_router();
    }
    REQUIRE(run_until(
        fleet->loop(),
        [&]
        {
            return fleet->router(router).metrics_text().find(
                       "configuration_version 9\n") != std::string::npos;
        },
        std::chrono::seconds{5}));
    fleet->await_readiness();
    CHECK(status_for(*fleet, router, "key-1").starts_with("HTTP/1.1 401"));
    CHECK(status_for(*fleet, router, "key-2").starts_with("HTTP/1.1 401"));
    CHECK(runs == 1);
}
