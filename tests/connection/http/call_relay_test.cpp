#include "connection/http/relay_fixture.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using namespace hickorygap::testing;
using outcome = wire::attempt_outcome;
using exchange = scripted_backend::exchange;

namespace
{

bool body_contains(const raw_response& response, const std::string& text)
{
    return response.body.find(text) != std::string::npos;
}

void answer_successfully(exchange& incoming)
{
    incoming.answer(200, "{\"van\":7}", incoming.attempt());
}

} // namespace

// Guards against a non-repeatable call that can't be distinguished from its
// resend.
TEST_CASE("a call without an idempotency key is refused before placement")
{
    relay_fixture fixture;
    fixture.add_scripted("book-1", "booking", answer_successfully);
    fixture.start();

    const raw_response response = fixture.send_request(make_request(
        "POST", "/services/booking/vans",
        "Authorization: Bearer key-diarroi\r\n", "van 7"));

    CHECK(response.status == 400);
    CHECK(body_contains(response, "Idempotency-Key"));
    CHECK(body_contains(response, "idempotency_key_required"));
    CHECK(body_contains(response, "\"not_run\":true"));
    CHECK(fixture.control.queries().empty());
}

// Guards against a wrong status, "not_run" or Retry-After for an error of the
// voters, and against a call that is sent without their permission.
TEST_CASE("errors of the voters are reported correctly to the caller")
{
    struct row
    {
        error_kind kind;
        int status;
        bool not_run;
        bool retryable;
    };
    const auto [kind, status, not_run, retryable] = GENERATE(
        row{error_kind::call_running, 409, false, true},
        row{error_kind::outcome_unknown, 409, false, false},
        row{error_kind::idempotency_key_reused, 409, true, false},
        row{error_kind::idempotency_key_expired, 410, false, false},
        row{error_kind::no_quorum, 503, true, true},
        row{error_kind::deadline_exceeded, 504, true, true});
    relay_fixture fixture;
    const auto& backend =
        fixture.add_scripted("book-1", "booking", answer_successfully);
    fixture.start();
    fixture.control.fail_calls_with(kind);

    const raw_response response =
        fixture.send_request(booking_request_text("van 7", "key-1"));

    CHECK(response.status == status);
    CHECK(body_contains(response, std::string{error_kind_name(kind)}));
    CHECK(body_contains(
        response, not_run ? "\"not_run\":true" : "\"not_run\":false"));
    CHECK(response.headers.contains("retry-after") == retryable);
    CHECK(backend.requests() == 0);
    REQUIRE(fixture.all_grants_returned());
    CHECK(fixture.outcomes() == std::vector{outcome::never_used});
}

// Guards against a second run after a failure that leaves the outcome unknown:
// a crash of the backend server, or a response to another attempt.
TEST_CASE("a call whose outcome is unknown is not sent again")
{
    const bool dies = GENERATE(true, false);
    relay_fixture fixture;
    const auto& backend = fixture.add_scripted(
        "book-1", "booking",
        [dies](exchange& incoming)
        {
            if (dies)
            {
                incoming.simulate_crash();
            }
            else
            {
                incoming.answer(200, "{}", "00000000000000aa-1");
            }
        });
    const auto& other =
        fixture.add_scripted("book-2", "booking", answer_successfully);
    fixture.start();

    const raw_response first =
        fixture.send_request(booking_request_text("van 7", "key-1"));
    CHECK(first.status == 409);
    CHECK(body_contains(first, "outcome_unknown"));
    CHECK(body_contains(first, "\"not_run\":false"));
    REQUIRE(fixture.all_grants_returned());
    CHECK(
        fixture.outcomes() ==
        std::vector{
            dies ? outcome::backend_server_lost : outcome::failed_after_start});
    CHECK(backend.requests() == 1);
    CHECK(other.requests() == 0);
    REQUIRE(fixture.control.outcomes().size() == 1);
    CHECK_FALSE(fixture.control.outcomes()[0].has_value());

    // The voters are only asked after a backend server was connected, so the
    // resend needs a live one.
    fixture.control.prefer({hash_name("book-2")});
    const raw_response again =
        fixture.send_request(booking_request_text("van 7", "key-1"));
    CHECK(again.status == 409);
    CHECK(again.body.find("outcome_unknown") != std::string::npos);
    CHECK(other.requests() == 0);
}

// Guards against different responses to resends of one Idempotency-Key.
TEST_CASE("a call refused by its backend server stays refused when resent")
{
    relay_fixture fixture;
    const auto& backend = fixture.add_scripted(
        "book-1", "booking",
        [](exchange& incoming)
        { incoming.answer(503, R"({"not_run":true})", incoming.attempt()); });
    fixture.start();

    const raw_response first =
        fixture.send_request(booking_request_text("van 7", "key-1"));
    const raw_response again =
        fixture.send_request(booking_request_text("van 7", "key-1"));

    CHECK(first.status == 503);
    CHECK(body_contains(first, "\"not_run\":true"));
    CHECK(body_contains(first, "new key"));
    CHECK(again.status == 503);
    CHECK(again.body == first.body);
    CHECK(backend.requests() == 1);
    CHECK(fixture.all_grants_returned());
}

// Guards against an Idempotency-Key that is used up although nothing was sent.
TEST_CASE("a failed connection does not use up the idempotency key")
{
    relay_fixture fixture;
    fixture.add_scripted("book-1", "booking", answer_successfully);
    fixture.scripted.clear();
    const auto& live =
        fixture.add_scripted("book-2", "booking", answer_successfully);
    fixture.start();

    const raw_response refused =
        fixture.send_request(booking_request_text("van 7", "key-1"));
    fixture.control.prefer({hash_name("book-2")});
    const raw_response served =
        fixture.send_request(booking_request_text("van 7", "key-1"));

    CHECK(refused.status == 503);
    CHECK(body_contains(refused, "\"not_run\":true"));
    CHECK(served.status == 200);
    CHECK(live.requests() == 1);
    REQUIRE(fixture.all_grants_returned());
    CHECK(
        fixture.outcomes() ==
        std::vector{outcome::failed_before_start, outcome::completed});
}

// Guards against an outcome that is lost because the caller disconnected before
// the response.
TEST_CASE("a call is completed and recorded when its caller disconnects")
{
    relay_fixture fixture;
    std::atomic<bool> caller_closed{false};
    fixture.add_scripted(
        "book-1", "booking",
        [&](exchange& incoming)
        {
            eventually([&] { return caller_closed.load(); });
            answer_successfully(incoming);
        });
    fixture.start();

    raw_client client{fixture.server.port()};
    client.send(booking_request_text("van 7", "key-1"));
    REQUIRE(eventually([&] { return fixture.scripted[0]->requests() == 1; }));
    client.close();
    caller_closed = true;

    REQUIRE(eventually([&] { return fixture.control.outcomes().size() == 1; }));
    REQUIRE(fixture.control.outcomes()[0].has_value());
    CHECK(fixture.control.outcomes()[0]->body == "{\"van\":7}");
    const raw_response again =
        fixture.send_request(booking_request_text("van 7", "key-1"));
    CHECK(again.status == 200);
    CHECK(again.body == "{\"van\":7}");
    CHECK(fixture.scripted[0]->requests() == 1);
}

// Guards against a response that doesn't fit into the voters' log.
TEST_CASE("a call with a response over the limit is recorded as run")
{
    relay_options options;
    options.call_response_limit_bytes = 16;
    relay_fixture fixture{{}, options};
    fixture.add_scripted(
        "book-1", "booking",
        [](exchange& incoming)
        { incoming.answer(200, std::string(100, ' '), incoming.attempt()); });
    fixture.start();

    const raw_response first =
        fixture.send_request(booking_request_text("van 7", "key-1"));
    const raw_response again =
        fixture.send_request(booking_request_text("van 7", "key-1"));

    CHECK(first.status == 500);
    CHECK(body_contains(first, "\"not_run\":false"));
    CHECK(again.body == first.body);
    CHECK(fixture.scripted[0]->requests() == 1);
}
