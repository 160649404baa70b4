#include "connection/http/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace hickorygap;
using namespace hickorygap::testing;

namespace
{

const std::string auth = "Authorization: Bearer key-diarroi\r\n";

caller_request_limits small_limits()
{
    caller_request_limits limits;
    limits.body = 512;
    limits.chat_id_bytes = 16;
    limits.idempotency_key_bytes = 16;
    limits.json_depth = 4;
    return limits;
}

std::string chat(std::string_view body)
{
    return chat_request_text(body);
}

std::string chunked(std::string_view body)
{
    return fmt::format(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\n{}"
        "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
        auth, body.size(), body);
}

bool body_contains(const raw_response& response, const std::string& text)
{
    return response.body.find(text) != std::string::npos;
}

} // namespace

// Guards against invalid input that reaches a backend server, gets an error
// without a kind or closes the connection.
TEST_CASE("invalid input is refused and the connection stays usable")
{
    using row = std::tuple<std::string, int, std::string>;
    const std::string plain = "/services/calculator/x";
    const auto [text, status, kind] =
        GENERATE_COPY(table<std::string, int, std::string>({
            row{chat_request_text(streamed_body, "", "wrong"), 401,
                "unauthorized"},
            row{make_request("POST", "/v1/chat/completions", "", "{}"), 401,
                "unauthorized"},
            row{make_request(
                    "POST", plain, "Authorization: Basic key-diarroi\r\n",
                    "{}"),
                401, "unauthorized"},
            row{chat_request_text(streamed_body, "X-Rank: first\r\n"), 400,
                "invalid_request"},
            row{chat("{\"model\":"), 400, "invalid_request"},
            row{chat("[]"), 400, "invalid_request"},
            row{chat("\"report-7b\""), 400, "invalid_request"},
            row{chat(""), 400, "invalid_request"},
            row{chat("{}"), 400, "invalid_request"},
            row{chat(R"({"model":7})"), 400, "invalid_request"},
            row{chat(R"({"model":"report-7b","stream":"yes"})"), 400,
                "invalid_request"},
            row{chat(R"({"model":"report-7b","max_tokens":-1})"), 400,
                "invalid_request"},
            row{chat(R"({"model":"report-7b","user":{}})"), 400,
                "invalid_request"},
            row{chat(R"({"model":"report-7b","x":[[[[[[1]]]]]]})"), 400,
                "invalid_request"},
            row{chat(R"({"model":"other"})"), 404, "unknown_service"},
            row{chat(std::string(600, ' ')), 413, "payload_too_large"},
            row{chunked(std::string(600, ' ')), 413, "payload_too_large"},
            row{chat_request_text(
                    streamed_body, "X-Chat-Id: 12345678901234567\r\n"),
                400, "invalid_request"},
            row{make_request("GET", "/v1/chat/completions", auth, ""), 400,
                "invalid_request"},
            row{make_request("POST", "/services/other/x", auth, ""), 404,
                "unknown_service"},
            row{make_request("POST", "/services/report-7b/x", auth, ""), 404,
                "unknown_service"},
            row{make_request("POST", plain + "/../y", auth, ""), 400,
                "invalid_request"},
            row{make_request("POST", plain + "/%2E%2e/y", auth, ""), 400,
                "invalid_request"},
            row{booking_request_text("van 7", "12345678901234567"), 400,
                "invalid_request"},
            row{make_request("POST", "/elsewhere", auth, ""), 404,
                "unknown_service"},
        }));
    relay_fixture fixture{small_limits()};
    engine_model& engine = fixture.add_engine("eng-1");
    fixture.start();
    raw_client client{fixture.server.port()};

    client.send(text);
    const raw_response refused = client.read_response();
    client.send(chat_request_text(streamed_body));
    const raw_response served = client.read_response();

    CAPTURE(text);
    CHECK(refused.status == status);
    CHECK(body_contains(refused, "\"kind\":\"" + kind + "\""));
    CHECK(body_contains(refused, "\"not_run\":true"));
    CHECK(served.status == 200);
    CHECK(served.complete);
    CHECK(engine.counts().requests == 1);
}

// Guards against request smuggling: bytes after a malformed chunk that are
// served as another request.
TEST_CASE("no request is served after a malformed chunk")
{
    const auto damaged = GENERATE(
        as<std::string>{}, "zz\r\n", "2\r\n{}xx\r\n", "2\r\n{}\r\n-1\r\n",
        "2\r\n{}\r\n0;x\n\r\n");
    relay_fixture fixture{small_limits()};
    engine_model& engine = fixture.add_engine("eng-1");
    fixture.start();
    raw_client client{fixture.server.port()};

    client.send(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + auth +
        "Transfer-Encoding: chunked\r\n\r\n" + damaged +
        chat_request_text(streamed_body));
    client.read_response();

    CAPTURE(damaged);
    CHECK(client.at_end());
    CHECK(engine.counts().requests == 0);
}

// Guards against a worker thread that is occupied by a caller that stalls in
// the middle of its body.
TEST_CASE("a slow body is refused and closes the connection")
{
    caller_request_limits limits;
    limits.body_timeout = std::chrono::milliseconds{20};
    relay_fixture fixture{limits};
    fixture.add_engine("eng-1");
    fixture.start();
    raw_client client{fixture.server.port()};
    const std::string text = chat_request_text(streamed_body);

    client.send(text.substr(0, text.size() - 5));
    const raw_response refused = client.read_response();

    CHECK(refused.status == 408);
    CHECK(body_contains(refused, "\"kind\":\"request_timeout\""));
    CHECK(body_contains(refused, "\"not_run\":true"));
    CHECK(refused.headers.at("connection") == "Close");
    CHECK(client.at_end());
}

// Guards against requests that are accepted while the instance can't learn of
// newer configurations or is shutting down.
TEST_CASE("an instance that is not ready refuses requests")
{
    const auto [state, kind] = GENERATE(table<readiness, std::string>(
        {{readiness::starting, "cut_off"},
         {readiness::cut_off, "cut_off"},
         {readiness::draining, "draining"}}));
    relay_fixture fixture;
    fixture.add_engine("eng-1");
    fixture.start();
    CHECK(
        fixture.send_request(make_request("GET", "/readyz", "", "")).status ==
        200);
    fixture.control.set_readiness(state);

    const raw_response work =
        fixture.send_request(chat_request_text(streamed_body));
    const raw_response ready =
        fixture.send_request(make_request("GET", "/readyz", "", ""));
    const raw_response healthy =
        fixture.send_request(make_request("GET", "/healthz", "", ""));

    CHECK(work.status == 503);
    CHECK(body_contains(work, "\"kind\":\"" + kind + "\""));
    CHECK(body_contains(work, "\"not_run\":true"));
    CHECK(work.headers.contains("retry-after"));
    CHECK(ready.status == 503);
    CHECK(healthy.status == 200);
    CHECK(fixture.control.queries().empty());
}

// Guards against a request that runs with a higher rank than its organisation
// may use.
TEST_CASE("a requested rank is capped by the limit of the organisation")
{
    const auto [key, header, expected] =
        GENERATE(table<std::string, std::string, rank>(
            {{"key-diarroi", "X-Rank: urgent\r\n", rank::urgent},
             {"key-diarroi", "", rank::normal},
             {"key-diarroi", "X-Rank: background\r\n", rank::background},
             {"key-tenant", "X-Rank: urgent\r\n", rank::normal},
             {"key-tenant", "X-Rank: background\r\n", rank::background}}));
    relay_fixture fixture;
    fixture.add_engine("eng-1");
    fixture.start();

    fixture.send_request(chat_request_text(streamed_body, header, key));

    REQUIRE(fixture.control.queries().size() == 1);
    CHECK(fixture.control.queries()[0].request_rank == expected);
}

// Guards against a wrong chat id, with which a chat loses its cached context or
// shares it with another organisation.
TEST_CASE("the chat id is read from the header or the conversation or the user")
{
    const auto [header, body, name] =
        GENERATE(table<std::string, std::string, std::string>(
            {{"X-Chat-Id: a\r\n",
              R"({"model":"report-7b","conversation":"b","user":"c"})", "a"},
             {"", R"({"model":"report-7b","conversation":"b","user":"c"})",
              "b"},
             {"", R"({"model":"report-7b","user":"c"})", "c"},
             {"", R"({"model":"report-7b","user":null})", ""}}));
    relay_fixture fixture;
    fixture.add_engine("eng-1");
    fixture.start();

    fixture.send_request(chat_request_text(body, header));

    REQUIRE(fixture.control.queries().size() == 1);
    const chat_id expected =
        name.empty() ? 0 : hash_chat(hash_name("diarroi"), name);
    CHECK(fixture.control.queries()[0].chat == expected);
}

// Guards against an organisation that occupies all worker threads.
TEST_CASE("the concurrent requests of one organisation are limited")
{
    caller_request_limits limits;
    limits.streams_per_organisation = 1;
    relay_fixture fixture{limits};
    fixture.add_engine("eng-1");
    fixture.start();
    fixture.control.hold_queries(true);
    raw_client first{fixture.server.port()};
    first.send(chat_request_text(streamed_body));
    REQUIRE(eventually([&] { return fixture.control.queries().size() == 1; }));

    const raw_response second =
        fixture.send_request(chat_request_text(streamed_body));
    raw_client other{fixture.server.port()};
    other.send(chat_request_text(streamed_body, "", "key-tenant"));
    REQUIRE(eventually([&] { return fixture.control.queries().size() == 2; }));
    fixture.control.hold_queries(false);

    CHECK(second.status == 429);
    CHECK(body_contains(second, "\"kind\":\"too_many_streams\""));
    CHECK(body_contains(second, "\"not_run\":true"));
    CHECK(second.headers.contains("retry-after"));
    CHECK(first.read_response().status == 200);
    CHECK(other.read_response().status == 200);
    const auto index = static_cast<std::size_t>(error_kind::too_many_streams);
    CHECK(fixture.counters.refusals[index] == 1);
}

// Guards against a refusal without its reason or without Retry-After.
TEST_CASE("a refused placement is reported with its reason and Retry-After")
{
    using reason = wire::refusal_reason;
    const auto [refused, status, kind] =
        GENERATE(table<reason, int, std::string>(
            {{reason::overloaded, 503, "overloaded"},
             {reason::deadline, 504, "deadline_exceeded"},
             {reason::no_backend_server, 503, "no_backend_server"},
             {reason::quarantined, 422, "quarantined"},
             {reason::cut_off, 503, "cut_off"},
             {reason::draining, 503, "draining"}}));
    relay_fixture fixture;
    fixture.add_engine("eng-1");
    fixture.start();
    fixture.control.refuse_with(
        placement_refusal{0, 1, refused, std::chrono::milliseconds{2500}});

    const raw_response response =
        fixture.send_request(chat_request_text(streamed_body));

    CHECK(response.status == status);
    CHECK(body_contains(response, "\"kind\":\"" + kind + "\""));
    CHECK(body_contains(response, "\"not_run\":true"));
    CHECK(response.headers.at("retry-after") == "3");
    CHECK(body_contains(response, "\"retry_after_s\":3"));
}
