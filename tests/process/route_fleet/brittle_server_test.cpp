#include "process/route_fleet/brittle_server.hpp"

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

constexpr std::string_view document =
    R"({"version":7,"routes":[{"name":"r1","host":"h.example",
    "path_prefix":"/a/","kind":"unsafe","timeout_ms":3000,
    "target_latency_ms":800,"service":"llm","max_attempts":2}],
    "services":[{"name":"llm","max_connections":500}],
    "tenants":[{"name":"t1","api_keys":["key-1"],"priority":1}]})";

constexpr std::size_t routers = 6;
constexpr std::size_t servers = 3;

// The servers complete 80 requests a second together.
constexpr double capacity = 80;
constexpr brittle_server::traits behaviour{300ms, 16, 8};

// Sends this many requests per second, evenly to all routers; one in eight has
// the first router in addition.
class caller_load
{
public:
    explicit caller_load(route_fleet& fleet)
        : fleet_{fleet}
    {
    }

    void run(double requests_per_second, duration time)
    {
        const time_point begin = fleet_.loop().now();
        const double before = static_cast<double>(calls_.size());
        while (fleet_.loop().now() < begin + time)
        {
            const double age =
                std::chrono::duration<double>(fleet_.loop().now() - begin)
                    .count();
            while (static_cast<double>(calls_.size()) <
                   before + requests_per_second * age)
            {
                const std::size_t i = calls_.size();
                calls_.push_back(&fleet_.call(
                    i % 8 == 0 ? 0 : i % routers,
                    gateway_fixture::request_text(
                        "Deadline-Ms: 3000\r\n", fmt::format("body {}", i),
                        "POST", fmt::format("q{}", i))));
            }
            fleet_.run_for(5ms);
        }
    }

    std::ptrdiff_t count(std::string_view status) const
    {
        return std::ranges::count_if(
            calls_, [&](const caller_double* each)
            { return each->received().find(status) != std::string::npos; });
    }
    std::size_t size() const
    {
        return calls_.size();
    }

private:
    route_fleet& fleet_;
    std::vector<const caller_double*> calls_;
};

} // namespace

// Guards against routers that push brittle servers over in a surge: each of
// them has room for some requests, and together they turn more away than a
// server tolerates. What finds no room must be refused at once, as not run, and
// the room must be used.
TEST_CASE("a burst does not push brittle servers over")
{
    route_fleet fleet{routers, std::string{document}};
    std::vector<std::unique_ptr<brittle_server>> all;
    for (std::size_t i = 0; i < servers; ++i)
    {
        all.push_back(std::make_unique<brittle_server>(fleet, behaviour));
    }
    fleet.await_readiness();
    caller_load load{fleet};
    load.run(0.5 * capacity, 3s);
    for (const auto& each : all)
    {
        each->set_queue_limit(1);
    }
    const auto completed = [&]
    {
        std::size_t sum = 0;
        for (const auto& each : all)
        {
            sum += each->completed();
        }
        return static_cast<double>(sum);
    };
    const double before = completed();
    constexpr duration burst = 6s;
    load.run(4 * capacity, burst);
    CHECK(
        completed() - before >=
        0.5 * capacity * std::chrono::duration<double>(burst).count());
    for (const auto& each : all)
    {
        CAPTURE(each->rejected());
        CHECK(each->falls() == 0);
    }
    fleet.run_for(1s);
    const std::ptrdiff_t ended =
        load.count("HTTP/1.1 200") + load.count("HTTP/1.1 503");
    CHECK(ended == static_cast<std::ptrdiff_t>(load.size()));
}
