#include "process/route_fleet/route_fleet_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view document =
    R"({"version":7,"routes":[{"name":"r1","host":"h.example",
    "path_prefix":"/a/","kind":"safe","timeout_ms":3000,
    "target_latency_ms":500,"service":"llm","max_attempts":2}],
    "services":[{"name":"llm","max_connections":500}],
    "tenants":[{"name":"t1","api_keys":["key-1"],"priority":1}]})";

constexpr double limit = 5;
constexpr std::size_t routers = 4;

// The platform's bound: from 3 s after a server first named its limit, at most
// one and a half times the limit and five requests in any 4 s.
constexpr duration settling_time = 3s;
constexpr duration window = 4s;
constexpr double max_requests = 1.5 * limit * 4 + 5;

// A server that answers at once, and records the arrivals of requests.
class recording_server
{
public:
    recording_server(route_fleet& fleet, bool is_limited)
        : loop_{fleet.loop()}
        , fields_{
              is_limited ? fmt::format("Server-Limit: {:.1f}\r\n", limit) : ""}
    {
        fleet.add_backend(
            [this](backend_double::connection& to, const received_request& got)
            {
                arrivals_.push_back(loop_.now());
                to.write(fmt::format(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n{}"
                    "Content-Length: 4\r\n\r\nfine",
                    got.head->get("Request-Id"), fields_));
            });
    }

    // Requests that arrived from `begin` up to `end`.
    std::ptrdiff_t arrivals(time_point begin, time_point end) const
    {
        return std::ranges::count_if(
            arrivals_, [&](time_point at) { return at >= begin && at < end; });
    }

    // Largest number of requests in one window that begins at `begin` or later.
    std::ptrdiff_t most_in_window(time_point begin) const
    {
        std::ptrdiff_t most = 0;
        for (const time_point at : arrivals_)
        {
            if (at >= begin)
            {
                most = std::max(most, arrivals(at, at + window));
            }
        }
        return most;
    }

private:
    event_loop& loop_;
    std::string fields_;
    std::vector<time_point> arrivals_;
};

} // namespace

// Guards against routers that ignore the limit of a backend server, or that
// each take it for their own: an overloaded server then gets several times what
// it accepts. What no server accepts must be refused at once.
TEST_CASE("all routers together keep within the limit of a backend server")
{
    struct row
    {
        std::string label;
        std::size_t limited;
        std::size_t unlimited;

        // Lower bound of what limited servers get, as a share of their limits.
        double min_use;
    };
    const auto tested = GENERATE(
        row{"others take the rest", 2, 1, 0},
        row{"all are limited", 3, 0, 0.8});
    CAPTURE(tested.label);
    route_fleet fleet{routers, std::string{document}};
    std::vector<std::unique_ptr<recording_server>> servers;
    for (std::size_t i = 0; i < tested.limited + tested.unlimited; ++i)
    {
        servers.push_back(
            std::make_unique<recording_server>(fleet, i < tested.limited));
    }
    fleet.await_readiness();
    // 80 requests a second, one in two of them at the first router.
    const time_point start = fleet.loop().now();
    const time_point steady = start + settling_time;
    std::vector<std::pair<time_point, const caller_double*>> calls;
    for (int i = 0; fleet.loop().now() < steady + window + 1s; ++i)
    {
        const std::size_t router =
            i % 2 == 0 ? 0 : static_cast<std::size_t>(i / 2) % routers;
        calls.emplace_back(
            fleet.loop().now(), &fleet.call(
                                    router, gateway_fixture::request_text(
                                                "Deadline-Ms: 3000\r\n", "",
                                                "GET", fmt::format("q{}", i))));
        fleet.run_for(12ms);
        // Refused or not, the answer is there at once.
        if (const std::size_t earlier = calls.size() / 2;
            calls[earlier].first + 500ms < fleet.loop().now())
        {
            REQUIRE(is_answered(*calls[earlier].second));
        }
    }
    std::ptrdiff_t used = 0;
    for (std::size_t i = 0; i < tested.limited; ++i)
    {
        CHECK(
            static_cast<double>(servers[i]->most_in_window(steady)) <=
            max_requests);
        used += servers[i]->arrivals(steady, steady + window);
    }
    CHECK(
        static_cast<double>(used) >=
        tested.min_use * static_cast<double>(tested.limited) * limit * 4);
    const auto refused = std::ranges::count_if(
        calls, [](const auto& each)
        { return each.second->received().find(" 503 ") != std::string::npos; });
    CHECK((refused > 0) == (tested.unlimited == 0));
}
