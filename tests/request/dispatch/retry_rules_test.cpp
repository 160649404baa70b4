#include "request/dispatch/retry_rules.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against a non-repeatable request that runs twice, and against giving
// up although another server could run the request, when servers crash, reject
// or stop responding.
TEST_CASE("a request is retried only if that is safe and in time")
{
    const auto [name, history, expected] =
        GENERATE(table<std::string, send_history, bool>({
            {"rejected, not run", {1, 2, false, false, false, 1s}, true},
            {"rejected, no sends left", {2, 2, false, false, false, 1s}, false},
            {"broken, may have run", {1, 2, false, true, false, 1s}, false},
            {"broken, repeatable", {1, 2, true, true, false, 1s}, true},
            {"broken stream that can be resumed",
             {1, 2, true, true, true, 1s},
             true},
            {"broken stream that can't", {1, 2, false, true, true, 1s}, false},
            {"no time left", {1, 2, true, false, false, 20ms}, false},
            {"nothing was sent", {0, 1, false, false, false, 1s}, true},
        }));
    CAPTURE(name);
    CHECK(may_retry(history) == expected);
}

// Guards against reporting "not run" for a request that may have run.
TEST_CASE("the failure response says whether the request may have run")
{
    const auto [name, history, last, expected] = GENERATE(
        table<std::string, send_history, dispatch_outcome, failure_response>({
            {"no server",
             {0, 2, false, false, false, 1s},
             dispatch_outcome::rejected,
             failure_response::not_run},
            {"rejected after a broken one",
             {2, 2, true, true, false, 1s},
             dispatch_outcome::rejected,
             failure_response::broke_off},
            {"no response in time",
             {1, 1, false, true, false, 0s},
             dispatch_outcome::silent,
             failure_response::timed_out},
            {"broken",
             {1, 1, false, true, false, 1s},
             dispatch_outcome::broken,
             failure_response::broke_off},
            {"cut stream",
             {1, 1, false, true, true, 1s},
             dispatch_outcome::broken,
             failure_response::cut},
            {"stream whose resumption was rejected",
             {2, 2, true, true, true, 1s},
             dispatch_outcome::rejected,
             failure_response::cut},
        }));
    CAPTURE(name);
    CHECK(failure_response_for(history, last) == expected);
}
