#include "process/route_fleet/route_fleet_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view document =
    R"({"version":7,"routes":[{"name":"r1","host":"h.example",
    "path_prefix":"/a/","kind":"safe","timeout_ms":3000,"service":"llm",
    "max_attempts":2}],"services":[{"name":"llm","max_connections":500,
    "cold_start_s":3.0,"cold_per_s":4.0}]})";

constexpr std::size_t routers = 3;

class evacuated_fleet
{
public:
    // Two servers in each of two failure domains.
    evacuated_fleet()
        : fleet{routers, std::string{document}}
    {
        for (int i = 0; i < 4; ++i)
        {
            fleet.add_backend(
                [this,
                 i](backend_double::connection& to, const received_request& got)
                {
                    ++runs.at(static_cast<std::size_t>(i));
                    to.write(fmt::format(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n"
                        "Content-Length: 4\r\n\r\nfine",
                        got.head->get("Request-Id")));
                },
                "v1", "llm", i < 2 ? "domain-a" : "domain-b");
        }
        fleet.await_readiness();
    }

    // Sends requests at all routers for some time and returns how many of them
    // each failure domain got.
    std::pair<int, int> send(duration time)
    {
        runs.assign(4, 0);
        for (duration sent{0}; sent < time; sent += 20ms)
        {
            fleet.call(
                static_cast<std::size_t>(next_) % routers,
                fmt::format(
                    "GET /a/x HTTP/1.1\r\nHost: h.example\r\n"
                    "Request-Id: q{}\r\n\r\n",
                    next_));
            ++next_;
            fleet.run_for(20ms);
        }
        fleet.run_for(100ms);
        return {runs[0] + runs[1], runs[2] + runs[3]};
    }

    std::vector<int> runs = std::vector<int>(4);
    route_fleet fleet;

private:
    int next_ = 0;
};

} // namespace

// Guards against requests to the servers of an evacuated failure domain, and
// against too many at once to those that are cold when it returns.
TEST_CASE("an evacuated failure domain gets no requests until it returns")
{
    evacuated_fleet tested;
    const auto before = tested.send(500ms);
    CHECK(before.first > 0);
    CHECK(before.second > 0);
    REQUIRE(
        tested.fleet.order("POST", "/evacuation/domain-a") ==
        "HTTP/1.1 200 OK");
    // Resent after a lost answer.
    CHECK(
        tested.fleet.order("POST", "/evacuation/domain-a") ==
        "HTTP/1.1 200 OK");
    tested.fleet.run_for(500ms);
    const auto evacuated = tested.send(1s);
    CHECK(evacuated.first == 0);
    CHECK(evacuated.second >= 45);
    tested.fleet.set_cold(0, true);
    tested.fleet.set_cold(1, true);
    REQUIRE(
        tested.fleet.order("DELETE", "/evacuation/domain-a") ==
        "HTTP/1.1 200 OK");
    // The list lags, so its servers count as cold when they return.
    tested.fleet.run_for(3s);
    const auto cold = tested.send(1s);
    // Two servers at 4 requests a second, with a bucket of 2 each. Most permits
    // are used.
    CHECK(cold.first >= 4);
    CHECK(cold.first <= 12);
    CHECK(cold.first + cold.second >= 45);
    tested.fleet.set_cold(0, false);
    tested.fleet.set_cold(1, false);
    tested.fleet.run_for(2500ms);
    CHECK(tested.send(1s).first > 12);
}

// Guards against orders whose names end up in the state, the logs or a header
// without a bound.
TEST_CASE("an evacuation needs a name that can be a failure domain")
{
    evacuated_fleet tested;
    const auto [path, status] = GENERATE(table<std::string, std::string>({
        {"/evacuation/", "HTTP/1.1 404 Not Found"},
        {"/evacuation/a%0d%0ab", "HTTP/1.1 400 Bad Request"},
        {"/evacuation/" + std::string(200, 'a'), "HTTP/1.1 400 Bad Request"},
        {"/evacuation/unknown-zone", "HTTP/1.1 200 OK"},
    }));
    CHECK(tested.fleet.order("POST", path) == status);
}
