#include "process/route_fleet/route_fleet_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view document =
    R"({"version":7,"routes":[{"name":"r1","host":"h.example",
    "path_prefix":"/a/","kind":"streaming","resumable":true,"timeout_ms":5000,
    "target_latency_ms":500,"gap_target_ms":300,"service":"llm",
    "max_attempts":2},{"name":"r2","host":"h.example","path_prefix":"/b/",
    "kind":"unsafe","timeout_ms":600,"target_latency_ms":100,
    "service":"booking","max_attempts":1}],
    "services":[{"name":"llm","max_connections":500},
    {"name":"booking","max_connections":500}],
    "tenants":[{"name":"t1","api_keys":["key-1"],"priority":1}]})";

constexpr std::size_t routers = 4;

// Requests to the stand-ins by identifier, and what they asked for.
struct run_log
{
    std::map<std::string, int> runs;
    bool exceeds_deadline = false;

    void add(const received_request& got, int limit_ms)
    {
        ++runs[got.head->get("Request-Id")];
        exceeds_deadline =
            exceeds_deadline ||
            std::stoi(got.head->get("Deadline-Ms", "100000")) > limit_ms;
    }
};

backend_double::script booking_script(run_log& log)
{
    return [&log](backend_double::connection& to, const received_request& got)
    {
        log.add(got, 600);
        to.write(fmt::format(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n"
            "Content-Length: 4\r\n\r\nfine",
            got.head->get("Request-Id")));
    };
}

backend_double::script stream_script(run_log& log)
{
    return [&log](backend_double::connection& to, const received_request& got)
    {
        log.add(got, 5000);
        const std::string event = "id: 1\ndata: x\n\n";
        to.write(fmt::format(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
            got.head->get("Request-Id"), event.size(), event));
    };
}

std::string request(std::string_view path, std::string_view id, int limit_ms)
{
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
        "Authorization: Bearer key-1\r\nDeadline-Ms: {}\r\n"
        "Content-Length: 0\r\n\r\n",
        path, id, limit_ms);
}

// First attempts of callers at one router.
struct attempts
{
    std::vector<const caller_double*> callers;

    std::size_t served() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            callers, [](const caller_double* caller)
            { return caller->received().starts_with("HTTP/1.1 200"); }));
    }
};

// Sends requests to all routers for some time, 40 a second to each, and waits
// for their responses.
std::vector<attempts>
send_requests(route_fleet& fleet, duration time, std::string_view label)
{
    std::vector<attempts> result(routers);
    constexpr duration interval = 50ms;
    for (int round = 0; round < time / interval; ++round)
    {
        for (std::size_t router = 0; router < routers; ++router)
        {
            const std::string id =
                fmt::format("{}-{}-{}", label, router, round);
            result[router].callers.push_back(
                &fleet.call(router, request("/a/x", id + "s", 5000)));
            result[router].callers.push_back(
                &fleet.call(router, request("/b/x", id + "b", 600)));
        }
        fleet.run_for(interval);
    }
    fleet.run_for(700ms);
    return result;
}

} // namespace

// Guards against callers that are not served because their router has lost its
// own paths to the backend servers, while other routers reach them; and against
// requests that run twice or for longer on the way through another router.
TEST_CASE("routers that are cut off from backend servers go on serving")
{
    struct row
    {
        std::size_t cut_routers;
        cut_mode mode;
        std::string service;
    };
    const row tested = GENERATE(
        row{1, cut_mode::hang, ""}, row{1, cut_mode::reset, "booking"},
        row{1, cut_mode::refuse_new, ""}, row{3, cut_mode::hang, ""},
        row{3, cut_mode::reset, ""}, row{3, cut_mode::hang, "llm"});
    CAPTURE(tested.cut_routers, static_cast<int>(tested.mode), tested.service);
    run_log log;
    route_fleet fleet{routers, std::string{document}};
    for (int i = 0; i < 3; ++i)
    {
        fleet.add_backend(booking_script(log), "v1", "booking");
        fleet.add_backend(stream_script(log), "v1", "llm");
    }
    fleet.await_readiness();
    // The first notices of the leader name the routers.
    fleet.run_for(1500ms);
    send_requests(fleet, 500ms, "before");

    for (std::size_t router = 0; router < tested.cut_routers; ++router)
    {
        fleet.cut(router, tested.mode, tested.service);
    }
    // Time that the users grant to notice the cut.
    send_requests(fleet, 2300ms, "settling");
    const auto during = send_requests(fleet, 2s, "during");
    std::size_t served = 0;
    std::size_t sent = 0;
    for (std::size_t router = 0; router < routers; ++router)
    {
        if (router < tested.cut_routers)
        {
            served += during[router].served();
            sent += during[router].callers.size();
        }
        else
        {
            CHECK(during[router].served() + 1 >= during[router].callers.size());
        }
    }
    // The users' bounds: a failed share of 1 in 50.
    CHECK(served + sent / 50 >= sent);

    for (std::size_t router = 0; router < tested.cut_routers; ++router)
    {
        fleet.cut(router, cut_mode::none);
    }
    send_requests(fleet, 2s, "healed");
    for (std::size_t router = 0; router < routers; ++router)
    {
        CHECK(
            fleet.router(router).metrics_text().find("lost_services 0\n") !=
            std::string::npos);
        CHECK(
            fleet.router(router).metrics_text().find("hosted_tunnels 0\n") !=
            std::string::npos);
    }
    for (const auto& [id, runs] : log.runs)
    {
        CAPTURE(id);
        CHECK((runs == 1 || id.ends_with('s')));
    }
    CHECK_FALSE(log.exceeds_deadline);
}
