#include "placement_fleet.hpp"
#include "request/placement/placement_service.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace hickorygap;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a path that loses a query, a grant or its end, on one
// instance and on several.
TEST_CASE("queries are granted, and ended grants free their places")
{
    const std::size_t instances = GENERATE(1, 3, 8);
    placement_fleet fleet{instances, make_test_topology(12, 8), 1};
    fleet.run(milliseconds{100});

    for (request_id request = 1; request <= 24; ++request)
    {
        fleet.submit(
            1 + request % instances,
            make_test_query(request, request + 1000, fleet.now));
    }
    fleet.run(milliseconds{100});

    CHECK(fleet.owned_grants() == 24);
    for (const instance_id id : fleet.live())
    {
        for (const decided_placement& decided : fleet.decisions(id))
        {
            const auto* grant = std::get_if<placement_grant>(&decided.decision);
            REQUIRE(grant != nullptr);
            fleet.finish(id, *grant);
        }
    }
    fleet.run(milliseconds{100});
    CHECK(fleet.owned_grants() == 0);
}

// Guards against a returning chat that loses its cached context because
// another instance receives its request.
TEST_CASE("a returning chat goes to the same backend server")
{
    placement_fleet fleet{4, make_test_topology(20, 8), 1};
    fleet.run(milliseconds{100});
    std::set<backend_server_id> used;

    for (request_id request = 1; request <= 8; ++request)
    {
        const instance_id id = 1 + request % 4;
        fleet.submit(id, make_test_query(request, 555, fleet.now));
        fleet.run(milliseconds{50});
        const auto decisions = fleet.decisions(id);
        REQUIRE(decisions.size() == 1);
        const auto& grant =
            std::get<placement_grant>(decisions.front().decision);
        CHECK(grant.reused == (request > 1));
        used.insert(grant.backend_server);
        fleet.finish(id, grant);
        fleet.run(milliseconds{50});
    }

    CHECK(used.size() == 1);
}
