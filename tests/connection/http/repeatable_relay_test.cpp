#include "connection/http/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <atomic>

using namespace hickorygap;
using namespace hickorygap::testing;
using outcome = wire::attempt_outcome;
using exchange = scripted_backend::exchange;

namespace
{

const std::string long_body =
    R"({"model":"report-7b","stream":true,"max_tokens":1000000})";

std::string calculator_request(std::string_view headers = {})
{
    return make_request(
        "POST", "/services/calculator/spokes",
        "Authorization: Bearer key-diarroi\r\n" + std::string{headers},
        "{\"holes\":32}");
}

// A second server, which answers "fine".
void add_sound_calculator(relay_fixture& fixture)
{
    fixture.add_scripted(
        "calc-2", "calculator",
        [](exchange& incoming)
        { incoming.answer(200, "fine", incoming.attempt()); });
}

bool body_contains(const raw_response& response, const std::string& text)
{
    return response.body.find(text) != std::string::npos;
}

std::string expected_stream(std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i)
    {
        text += engine_event(streamed_body, i);
    }
    return text + "data: [DONE]\n\n";
}

relay_options without_retries()
{
    relay_options options;
    options.retries.capacity = 0;
    options.retries.min_retries_per_second = 0;
    options.retries.retries_per_success = 0;
    return options;
}

} // namespace

// Guards against a response to another request or to an earlier attempt that
// reaches a caller.
TEST_CASE("a response to another request or attempt is discarded")
{
    const std::string wrong =
        GENERATE(as<std::string>{}, "00000000000000aa-1", "", "earlier");
    relay_fixture fixture;
    fixture.add_scripted(
        "calc-1", "calculator",
        [&](exchange& incoming)
        {
            std::string attempt = wrong;
            if (wrong == "earlier")
            {
                attempt = incoming.attempt();
                attempt.back() = '0';
            }
            incoming.answer(200, "{\"of\":\"another caller\"}", attempt);
        });
    fixture.add_scripted(
        "calc-2", "calculator",
        [](exchange& incoming) {
            incoming.answer(
                200, "{\"of\":\"this caller\"}", incoming.attempt());
        });
    fixture.start();

    const raw_response response = fixture.send_request(calculator_request());

    CHECK(response.status == 200);
    CHECK(response.body == "{\"of\":\"this caller\"}");
    CHECK(fixture.counters.late_answers_dropped == 1);
    CHECK(fixture.counters.retries == 1);
    REQUIRE(fixture.all_grants_returned());
    CHECK(
        fixture.outcomes() ==
        std::vector{outcome::failed_after_start, outcome::completed});
}

// Guards against a Content-Type that hides a second message, for the server or
// for the caller (review/2).
TEST_CASE("a Content-Type that a library could decode is relayed as it is")
{
    // "x\r\nContent-Length: 0\r\n\r\n"
    const std::string type = "=?utf-8?B?eA0KQ29udGVudC1MZW5ndGg6IDANCg0K?=";
    std::string received;
    relay_fixture fixture;
    fixture.add_scripted(
        "calc-1", "calculator",
        [&](exchange& incoming)
        {
            received = incoming.text;
            incoming.send(
                "HTTP/1.1 200 OK\r\nX-Attempt: " + incoming.attempt() +
                "\r\nContent-Type: " + type +
                "\r\nContent-Length: 4\r\n\r\ndone");
        });
    fixture.start();

    const raw_response response = fixture.send_request(
        calculator_request("Content-Type: " + type + "\r\n"));

    CHECK(response.status == 200);
    CHECK(response.headers.at("content-type") == type);
    CHECK(response.body == "done");
    REQUIRE(fixture.all_grants_returned());
    CHECK(received.find("Content-Type: " + type + "\r\n") != std::string::npos);
}

// Guards against a response with an empty or short body, framed as whole, whose
// backend server stopped in the middle of its head.
TEST_CASE("a response that is cut in its head is not relayed")
{
    const std::string end = GENERATE(
        as<std::string>{}, "", "Content-Le", "Content-Length: 4",
        "Content-Length: 4\r\n", "Content-Type: text/plain\r\n\r");
    CAPTURE(end);
    relay_fixture fixture;
    fixture.add_scripted(
        "calc-1", "calculator",
        [&](exchange& incoming)
        {
            incoming.send(
                "HTTP/1.1 200 OK\r\nX-Attempt: " + incoming.attempt() + "\r\n" +
                end);
        });
    add_sound_calculator(fixture);
    fixture.start();

    const raw_response response = fixture.send_request(calculator_request());

    CHECK(response.status == 200);
    CHECK(response.body == "fine");
    REQUIRE(fixture.all_grants_returned());
    CHECK(
        fixture.outcomes() ==
        std::vector{outcome::failed_after_start, outcome::completed});
}

// Guards against exhausted memory and against a caller that waits without limit
// when a backend server sends header fields without end.
TEST_CASE("an endless response header is cut off")
{
    constexpr std::size_t max_fields = 2'000'000;
    std::atomic<std::size_t> fields = 0;
    relay_fixture fixture;
    fixture.add_scripted(
        "calc-1", "calculator",
        [&](exchange& incoming)
        {
            incoming.send("HTTP/1.1 200 OK\r\n");
            try
            {
                for (; fields < max_fields; ++fields)
                {
                    incoming.send("X-Field: value\r\n");
                }
            }
            catch (const Poco::Exception&)
            {
                // The router has closed the connection.
                return;
            }
        });
    add_sound_calculator(fixture);
    fixture.start();

    const raw_response response = fixture.send_request(calculator_request());

    CHECK(response.status == 200);
    CHECK(response.body == "fine");
    REQUIRE(fixture.all_grants_returned());
    CHECK(fields < max_fields);
}

// Guards against lost or repeated events when the connection of a stream breaks
// while its engine stays alive.
TEST_CASE("a broken stream continues without lost or repeated events")
{
    const bool resumes = GENERATE(true, false);
    relay_fixture fixture;
    engine_options options;
    options.break_after = 3;
    options.resumes = resumes;
    fixture.add_engine("eng-1", options);
    fixture.start();

    const raw_response response =
        fixture.send_request(chat_request_text(streamed_body));

    CHECK(response.complete);
    CHECK(response.body == expected_stream(8));
    CHECK(fixture.counters.resumed == (resumes ? 1 : 0));
    CHECK(fixture.counters.restarted == (resumes ? 0 : 1));
    CHECK(fixture.all_grants_returned());
}

// Guards against lost or repeated events when the engine dies, and against
// continuations of started streams that consume the retry budget.
TEST_CASE("a stream continues on another engine when its engine dies")
{
    const bool resumes = GENERATE(true, false);
    relay_fixture fixture{{}, without_retries()};
    std::atomic<bool> received{false};
    fixture.add_scripted(
        "eng-1", "report-7b",
        [&](exchange& incoming)
        {
            incoming.start_stream();
            incoming.send_event(engine_event(incoming.body(), 0));
            incoming.send_event(engine_event(incoming.body(), 1));
            // A reset discards input that the router has not read yet.
            eventually([&] { return received.load(); });
            incoming.simulate_crash();
        });
    engine_options options;
    options.resumes = resumes;
    fixture.add_engine("eng-2", options);
    fixture.start();

    raw_client client{fixture.server.port()};
    client.send(chat_request_text(streamed_body));
    REQUIRE(client.read_until("t1-"));
    received = true;
    const raw_response response = client.read_response();

    CHECK(response.body == expected_stream(8));
    CHECK(fixture.counters.backend_servers_lost == 1);
    CHECK(fixture.counters.retries == 0);
    REQUIRE(fixture.all_grants_returned());
    CHECK(
        fixture.outcomes() ==
        std::vector{outcome::backend_server_lost, outcome::completed});
    const auto queries = fixture.control.queries();
    CHECK_FALSE(queries[0].isolated);
    CHECK(queries[1].isolated);
    CHECK(queries[1].excluded == std::vector{hash_name("eng-1")});
}

// Guards against a stream that is assembled from two different completions.
TEST_CASE("a restarted stream that differs ends with an error event")
{
    relay_fixture fixture;
    std::atomic<bool> received{false};
    fixture.add_scripted(
        "eng-1", "report-7b",
        [&](exchange& incoming)
        {
            incoming.start_stream();
            incoming.send_event("data: something else\n\n");
            eventually([&] { return received.load(); });
            incoming.simulate_crash();
        });
    engine_options options;
    options.resumes = false;
    fixture.add_engine("eng-2", options);
    fixture.start();

    raw_client client{fixture.server.port()};
    client.send(chat_request_text(streamed_body));
    REQUIRE(client.read_until("something else"));
    received = true;
    const raw_response response = client.read_response();

    CHECK(response.status == 200);
    CHECK(body_contains(response, "event: error"));
    CHECK(body_contains(response, "its repetition differs"));
    CHECK_FALSE(body_contains(response, engine_event(streamed_body, 1)));
    CHECK(body_contains(response, "\"not_run\":false"));
    CHECK_FALSE(body_contains(response, "[DONE]"));
    CHECK(fixture.all_grants_returned());
}

// Guards against a queue entry that is kept for a disconnected caller.
TEST_CASE("a queued request is withdrawn when its caller disconnects")
{
    relay_fixture fixture;
    engine_model& engine = fixture.add_engine("eng-1");
    fixture.start();
    fixture.control.hold_queries(true);

    raw_client client{fixture.server.port()};
    client.send(chat_request_text(streamed_body));
    REQUIRE(eventually([&] { return fixture.control.queries().size() == 1; }));
    client.close();

    REQUIRE(eventually([&] { return fixture.control.withdrawn() == 1; }));
    REQUIRE(eventually([&] { return fixture.counters.cancelled == 1; }));
    CHECK(engine.counts().requests == 0);
    CHECK(fixture.control.reports().empty());
}

// Guards against an engine that continues to generate for a disconnected
// caller.
TEST_CASE("a caller that disconnects during a stream cancels it at the engine")
{
    relay_fixture fixture;
    engine_model& engine = fixture.add_engine("eng-1");
    fixture.start();

    raw_client client{fixture.server.port()};
    client.send(chat_request_text(long_body));
    REQUIRE(client.read_until("t3-"));
    client.close();

    REQUIRE(eventually([&] { return engine.counts().cancelled == 1; }));
    REQUIRE(fixture.all_grants_returned());
    CHECK(fixture.outcomes() == std::vector{outcome::cancelled});
    CHECK(fixture.counters.cancelled == 1);
}

// Guards against "not_run": true for a request that may have run, and against
// a missing Retry-After.
TEST_CASE("a refusal reports correctly whether the request may have run")
{
    struct row
    {
        int status;
        std::string body;
        bool not_run;
    };
    const auto [status, body, not_run] = GENERATE(
        row{429, "{}", true}, row{503, R"({"not_run":true})", true},
        row{503, R"({"error":{"not_run":true}})", true},
        row{503, R"({"not_run":false})", false}, row{503, "busy", false},
        row{502, R"({"not_run":true})", false});
    relay_fixture fixture;
    const auto& backend = fixture.add_scripted(
        "calc-1", "calculator",
        [status = status, body = body](exchange& incoming)
        { incoming.answer(status, body, incoming.attempt()); });
    fixture.start();

    const raw_response response = fixture.send_request(calculator_request());

    CHECK(response.status == 503);
    CHECK(body_contains(
        response, not_run ? "\"not_run\":true" : "\"not_run\":false"));
    CHECK(response.headers.contains("retry-after"));
    CHECK(body_contains(response, "retry_after_s"));
    CHECK(backend.requests() == 1);
    CHECK(fixture.all_grants_returned());
}

// Guards against a request that fails although another backend server can
// serve it.
TEST_CASE("a refused connection is retried on another backend server")
{
    relay_fixture fixture;
    fixture.add_scripted("calc-1", "calculator", [](exchange&) {});
    fixture.scripted.clear();
    fixture.add_scripted(
        "calc-2", "calculator",
        [](exchange& incoming)
        { incoming.answer(200, "{}", incoming.attempt()); });
    fixture.start();

    CHECK(fixture.send_request(calculator_request()).status == 200);
    REQUIRE(fixture.all_grants_returned());
    CHECK(
        fixture.outcomes() ==
        std::vector{outcome::failed_before_start, outcome::completed});
}

// Guards against retries that multiply the load of a failing service or are
// made after the request's deadline.
TEST_CASE("no retry follows when the budget or the deadline is exhausted")
{
    const bool late = GENERATE(true, false);
    relay_fixture fixture{{}, late ? relay_options{} : without_retries()};
    const auto fail = [](exchange&)
    { std::this_thread::sleep_for(std::chrono::milliseconds{5}); };
    const auto& first = fixture.add_scripted("calc-1", "calculator", fail);
    const auto& second = fixture.add_scripted("calc-2", "calculator", fail);
    fixture.start();

    // The test configuration sets a target of 1 ms for the rank background.
    const raw_response response = fixture.send_request(
        calculator_request(late ? "X-Rank: background\r\n" : ""));

    CHECK(response.status == (late ? 504 : 503));
    CHECK(body_contains(
        response, late ? "deadline_exceeded" : "no_backend_server"));
    CHECK(body_contains(response, "\"not_run\":false"));
    CHECK(first.requests() + second.requests() == 1);
    CHECK(fixture.all_grants_returned());
}

// Guards against a request that crashes one backend server after another.
TEST_CASE("a request that crashes two backend servers is not sent to a third")
{
    relay_fixture fixture;
    const auto crash = [](exchange& incoming) { incoming.simulate_crash(); };
    for (const char* name : {"calc-1", "calc-2", "calc-3"})
    {
        fixture.add_scripted(name, "calculator", crash);
    }
    fixture.start();

    const raw_response first = fixture.send_request(calculator_request());
    const raw_response again = fixture.send_request(calculator_request());

    CHECK(first.status == 422);
    CHECK(body_contains(first, "\"kind\":\"quarantined\""));
    CHECK(body_contains(first, "\"not_run\":false"));
    CHECK(again.status == 422);
    CHECK(body_contains(again, "\"not_run\":true"));
    CHECK(again.headers.contains("retry-after"));
    CHECK(fixture.scripted[2]->requests() == 0);
    CHECK(fixture.control.queries().size() == 2);
    CHECK(fixture.control.queries()[1].isolated);
    CHECK(fixture.all_grants_returned());
    const auto reports = fixture.blame.with(
        [](blame_tracker& tracker) { return tracker.take_suspect_reports(); });
    REQUIRE(reports.size() == 2);
    CHECK_FALSE(reports[0].confirmed);
    CHECK(reports[1].confirmed);
}
