#include "process/fleet_process/tunnel_hosts.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <vector>

using namespace hickorygap;

// Guards against routers that are sent to hosts which are cut off as well, and
// against hosts that all lie in one failure domain.
TEST_CASE("hosts of tunnels reach all services and lie in several domains")
{
    struct row
    {
        std::vector<tunnel_host> routers;
        std::size_t hosts;
        std::set<instance_id> possible;
    };
    const row tested = GENERATE(
        row{{}, 0, {}},
        row{{{1, "a", false},
             {2, "a", false},
             {3, "a", false},
             {4, "b", false},
             {5, "c", false},
             {6, "c", false}},
            4,
            {1, 2, 3, 4, 5, 6}},
        // Most of the fleet is cut off.
        row{{{1, "a", true}, {2, "a", true}, {3, "b", true}, {4, "b", false}},
            1,
            {4}},
        // All are; each may still reach what another one has lost.
        row{{{1, "a", true}, {2, "b", true}}, 2, {1, 2}});
    random_engine random{1};
    for (int round = 0; round < 20; ++round)
    {
        const auto hosts = choose_tunnel_hosts(tested.routers, "a", random);
        CHECK(hosts.size() == tested.hosts);
        CHECK(
            std::set<instance_id>(hosts.begin(), hosts.end()).size() ==
            hosts.size());
        for (const instance_id host : hosts)
        {
            CHECK(tested.possible.contains(host));
        }
    }
}
