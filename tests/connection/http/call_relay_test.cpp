#include "connection/http/relay_fixture.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using namespace hickorygap::testing;
using outcome = wire::attempt_outcome;
using exchange = scripted_backend::exchange;

namespace
{

bool says(const raw_response& response, const std::string& text)
{
    return response.body.find(text) != std::string::npos;
}

void answer_well(exchange& got)
{
    got.answer(200, "{\"van\":7}", got.attempt());
}

} // namespace

// Guards against a booking that can't be told apart from its repetition.
TEST_CASE("a call without a key is refused before anything happens")
{
    relay_fixture fixture;
    fixture.add_scripted("book-1", "booking", answer_well);
    fixture.start();

    const raw_response response = fixture.ask(make_request(
        "POST", "/services/booking/vans",
        "Authorization: Bearer key-diarroi\r\n", "van 7"));

    CHECK(response.status == 400);
    CHECK(says(response, "Idempotency-Key"));
    CHECK(says(response, "idempotency_key_required"));
    CHECK(says(response, "\"not_run\":true"));
    CHECK(fixture.control.queries().empty());
}

// Guards against a wrong status or a false "not run" for what the voters say,
// and against a call that is sent without their permission.
TEST_CASE("errors of the voters are told truthfully")
{
    struct row
    {
        error_kind kind;
        int status;
        bool not_run;
        bool repeat_pays;
    };
    const auto [kind, status, not_run, repeat_pays] = GENERATE(
        row{error_kind::call_running, 409, false, true},
        row{error_kind::outcome_unknown, 409, false, false},
        row{error_kind::idempotency_key_reused, 409, true, false},
        row{error_kind::idempotency_key_expired, 410, false, false},
        row{error_kind::no_quorum, 503, true, true},
        row{error_kind::deadline_exceeded, 504, true, true});
    relay_fixture fixture;
    const auto& backend =
        fixture.add_scripted("book-1", "booking", answer_well);
    fixture.start();
    fixture.control.fail_calls_with(kind);

    const raw_response response =
        fixture.ask(booking_request_text("van 7", "key-1"));

    CHECK(response.status == status);
    CHECK(says(response, std::string{error_kind_name(kind)}));
    CHECK(says(response, not_run ? "\"not_run\":true" : "\"not_run\":false"));
    CHECK(response.headers.contains("retry-after") == repeat_pays);
    CHECK(backend.requests() == 0);
    REQUIRE(fixture.all_finished());
    CHECK(fixture.outcomes() == std::vector{outcome::never_used});
}

// Guards against a second run after a failure that leaves the outcome open.
TEST_CASE("a call whose outcome is unknown is not sent again")
{
    const bool dies = GENERATE(true, false);
    relay_fixture fixture;
    const auto& backend = fixture.add_scripted(
        "book-1", "booking",
        [dies](exchange& got)
        {
            if (dies)
            {
                got.die();
            }
            else
            {
                got.answer(200, "{}", "00000000000000aa-1");
            }
        });
    const auto& other = fixture.add_scripted("book-2", "booking", answer_well);
    fixture.start();

    const raw_response first =
        fixture.ask(booking_request_text("van 7", "key-1"));
    CHECK(first.status == 409);
    CHECK(says(first, "outcome_unknown"));
    CHECK(says(first, "\"not_run\":false"));
    REQUIRE(fixture.all_finished());
    CHECK(
        fixture.outcomes() ==
        std::vector{
            dies ? outcome::backend_server_lost : outcome::failed_after_start});
    CHECK(backend.requests() == 1);
    CHECK(other.requests() == 0);
    REQUIRE(fixture.control.outcomes().size() == 1);
    CHECK_FALSE(fixture.control.outcomes()[0].has_value());

    // The resend reaches the voters only through a live backend server.
    fixture.control.prefer({hash_name("book-2")});
    const raw_response again =
        fixture.ask(booking_request_text("van 7", "key-1"));
    CHECK(again.status == 409);
    CHECK(again.body.find("outcome_unknown") != std::string::npos);
    CHECK(other.requests() == 0);
}

// Guards against an answer that changes between resends of one key.
TEST_CASE("a call that its backend server refused stays refused")
{
    relay_fixture fixture;
    const auto& backend = fixture.add_scripted(
        "book-1", "booking",
        [](exchange& got)
        { got.answer(503, R"({"not_run":true})", got.attempt()); });
    fixture.start();

    const raw_response first =
        fixture.ask(booking_request_text("van 7", "key-1"));
    const raw_response again =
        fixture.ask(booking_request_text("van 7", "key-1"));

    CHECK(first.status == 503);
    CHECK(says(first, "\"not_run\":true"));
    CHECK(says(first, "new key"));
    CHECK(again.status == 503);
    CHECK(again.body == first.body);
    CHECK(backend.requests() == 1);
    CHECK(fixture.all_finished());
}

// Guards against a key that is used up although nothing could be sent.
TEST_CASE("a call that can't be connected uses up no key")
{
    relay_fixture fixture;
    fixture.add_scripted("book-1", "booking", answer_well);
    fixture.scripted.clear();
    const auto& live = fixture.add_scripted("book-2", "booking", answer_well);
    fixture.start();

    const raw_response refused =
        fixture.ask(booking_request_text("van 7", "key-1"));
    fixture.control.prefer({hash_name("book-2")});
    const raw_response served =
        fixture.ask(booking_request_text("van 7", "key-1"));

    CHECK(refused.status == 503);
    CHECK(says(refused, "\"not_run\":true"));
    CHECK(served.status == 200);
    CHECK(live.requests() == 1);
    REQUIRE(fixture.all_finished());
    CHECK(
        fixture.outcomes() ==
        std::vector{outcome::failed_before_start, outcome::completed});
}

// Guards against an outcome that is lost because the caller didn't wait.
TEST_CASE("a call is completed and recorded when its caller leaves")
{
    relay_fixture fixture;
    std::atomic<bool> left{false};
    fixture.add_scripted(
        "book-1", "booking",
        [&](exchange& got)
        {
            eventually([&] { return left.load(); });
            answer_well(got);
        });
    fixture.start();

    raw_client client{fixture.server.port()};
    client.send(booking_request_text("van 7", "key-1"));
    REQUIRE(eventually([&] { return fixture.scripted[0]->requests() == 1; }));
    client.close();
    left = true;

    REQUIRE(eventually([&] { return fixture.control.outcomes().size() == 1; }));
    REQUIRE(fixture.control.outcomes()[0].has_value());
    CHECK(fixture.control.outcomes()[0]->body == "{\"van\":7}");
    const raw_response again =
        fixture.ask(booking_request_text("van 7", "key-1"));
    CHECK(again.status == 200);
    CHECK(again.body == "{\"van\":7}");
    CHECK(fixture.scripted[0]->requests() == 1);
}

// Guards against an answer that doesn't fit into the voters' log.
TEST_CASE("an answer over the limit is recorded as having run")
{
    relay_options options;
    options.call_response_limit = 16;
    relay_fixture fixture{{}, options};
    fixture.add_scripted(
        "book-1", "booking",
        [](exchange& got)
        { got.answer(200, std::string(100, ' '), got.attempt()); });
    fixture.start();

    const raw_response first =
        fixture.ask(booking_request_text("van 7", "key-1"));
    const raw_response again =
        fixture.ask(booking_request_text("van 7", "key-1"));

    CHECK(first.status == 500);
    CHECK(says(first, "\"not_run\":false"));
    CHECK(again.body == first.body);
    CHECK(fixture.scripted[0]->requests() == 1);
}
