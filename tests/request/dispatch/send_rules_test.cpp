#include "request/dispatch/send_rules.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against a request that runs twice, or that is given up though another
// server could run it. Load: servers that crash, reject and fall silent.
TEST_CASE("what may be sent again follows from what has happened")
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
    CHECK(may_send_again(history) == expected);
}

// Guards against "not run" for a request that may have run.
TEST_CASE("the final answer tells what is known")
{
    const auto [name, history, last, expected] = GENERATE(
        table<std::string, send_history, dispatch_outcome, final_answer>({
            {"no server",
             {0, 2, false, false, false, 1s},
             dispatch_outcome::rejected,
             final_answer::not_run},
            {"rejected after a broken one",
             {2, 2, true, true, false, 1s},
             dispatch_outcome::rejected,
             final_answer::broke_off},
            {"silent",
             {1, 1, false, true, false, 0s},
             dispatch_outcome::silent,
             final_answer::timed_out},
            {"broken",
             {1, 1, false, true, false, 1s},
             dispatch_outcome::broken,
             final_answer::broke_off},
            {"cut stream",
             {1, 1, false, true, true, 1s},
             dispatch_outcome::broken,
             final_answer::cut},
            {"stream that is resumed in vain",
             {2, 2, true, true, true, 1s},
             dispatch_outcome::rejected,
             final_answer::cut},
        }));
    CAPTURE(name);
    CHECK(final_answer_for(history, last) == expected);
}
