#include "process/fleet_process/load_exchange.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against requests that are counted after their router has ended.
TEST_CASE("the sum covers the routers that reported lately")
{
    load_aggregator loads;
    loads.set(1, {{7, 2}, {9, 1}}, {1s});
    loads.set(2, {{7, 3}}, {2s});
    CHECK(loads.sum({2s}) == std::vector<backend_load>{{7, 5}, {9, 1}});
    loads.set(2, {{9, 4}}, {3s});
    CHECK(loads.sum({3s}) == std::vector<backend_load>{{7, 2}, {9, 5}});
    CHECK(loads.sum({4s}) == std::vector<backend_load>{{9, 4}});
    CHECK(loads.sum({10s}).empty());
}

// Guards against a message with lists of different lengths.
TEST_CASE("loads are read as far as both lists go")
{
    const std::vector<std::uint32_t> backends{7, 9};
    const std::vector<std::uint16_t> counts{2};
    CHECK(to_loads(backends, counts) == std::vector<backend_load>{{7, 2}});
}
