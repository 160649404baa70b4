#include "request/rate_limit/observed_limit.hpp"
#include "request/rate_limit/router_limits.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against a brittle server that is taken for one with a limit of
// requests, against rejections that are not counted, and against a state that
// ends because a field can't be read.
TEST_CASE("a response names a limit, a tolerance, neither or nothing readable")
{
    struct row
    {
        std::string label;
        backend_response_info response;
        std::optional<backend_limit> observed;
    };
    backend_response_info limited;
    limited.names_request_limit = true;
    backend_response_info brittle;
    brittle.names_rejections_tolerated = true;
    const backend_response_info unreadable = brittle;
    brittle.rejections_tolerated = 5;
    backend_response_info rejection = brittle;
    rejection.not_run = true;
    backend_response_info both = brittle;
    both.names_request_limit = true;
    both.request_limit = 2;
    const auto tested = GENERATE_COPY(
        row{"neither", {}, backend_limit{1, {}}},
        row{"unreadable limit", limited, {}},
        row{"unreadable tolerance", unreadable, {}},
        row{"brittle", brittle, backend_limit{1, 5, false, true}},
        row{"rejected", rejection, backend_limit{1, 5, false, true, 1}},
        row{"both", both, backend_limit{1, 2}});
    CAPTURE(tested.label);
    CHECK(observed_limit(1, tested.response) == tested.observed);
}

// Guards against a router that returns at once to a brittle server that has
// rejected a request, against rejections that are not reported, and against a
// state that one response without the field ends for good.
TEST_CASE("a router avoids a brittle server that has rejected a request")
{
    router_limits router{1};
    const backend_limit brittle{1, 5.0, false, true};
    const backend_limit rejecting{1, 5.0, false, true, 1};
    CHECK(router.on_response(brittle, {0s}));
    CHECK_FALSE(router.is_avoided(1, {0s}));
    router.on_reported();
    CHECK_FALSE(router.on_response(rejecting, {1s}));
    CHECK_FALSE(router.on_response(rejecting, {1s}));
    CHECK(
        router.make_query({}).observed ==
        std::vector<backend_limit>{{1, 5.0, false, true, 2}});
    CHECK(router.is_avoided(1, {1050ms}));
    CHECK_FALSE(router.is_avoided(1, {1400ms}));
    CHECK(router.on_response({1, {}}, {2s}));
    CHECK(router.is_limited(1));
    CHECK(router.on_response(brittle, {2100ms}));
    CHECK(
        router.make_query({std::vector<backend_server_id>{1}}).candidates ==
        std::vector<backend_limit>{brittle});
}
