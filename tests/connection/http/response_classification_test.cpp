#include "connection/http/response_classification.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace hickorygap;

// Guards against a request that ran and is sent again, because a body that does
// not say "not_run": true was taken for one that does, and against a body that
// ends the process.
TEST_CASE("only a body that says so proves that a request did not run")
{
    const auto [body, not_run] = GENERATE(table<std::string, bool>({
        {R"({"not_run":true})", true},
        {R"({"error":{"not_run":true}})", true},
        {R"({"error":"full","not_run":true})", true},
        {R"({"not_run":false})", false},
        {R"({"not_run":[1,1]})", false},
        {R"({"not_run":{"a":1}})", false},
        {R"({"not_run":"maybe"})", false},
        {R"({"not_run":1})", false},
        {R"({"not_run":1e999})", false},
        {R"({"error":{"not_run":"no"}})", false},
        {R"({"not_run":null})", false},
        {std::string(120000, '[') + std::string(120000, ']'), false},
        {R"({"not_run":true)", false},
        {"[true]", false},
        {"", false},
    }));
    CAPTURE(body.substr(0, 100));
    CHECK(is_refused_before_start(503, body) == not_run);
}
