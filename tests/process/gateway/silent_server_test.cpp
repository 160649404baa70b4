#include "process/gateway/gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

using connection = backend_double::connection;

const std::string sealed = "Request-Id: a1\r\nReply-Seal: s\r\n";
const std::string end_of_stream = "0\r\n\r\n";

// A chunk with the events of these ids.
std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
    {
        text += fmt::format("id: {}\ndata: piece {}\n\n", id, id);
    }
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

const std::string stream_head =
    "HTTP/1.1 200 OK\r\n" + sealed +
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::string comment_chunk = "3\r\n:\n\n\r\n";

std::string plain_response(std::string_view status, std::string_view fields)
{
    return fmt::format(
        "HTTP/1.1 {}\r\n{}Content-Length: 4\r\n\r\nfine", status, fields);
}

const std::string rejection =
    plain_response("503 Service Unavailable", "Not-Run: 1\r\n");

// What the server does that gets the request after the first one has fallen
// silent.
enum class second_server
{
    rejects,
    fails,
    unreachable,
    missing,
    silent,
    takes_over
};

// A route whose requests have time for the silence of a server.
route patient_route(call_kind kind)
{
    route routed = gateway_fixture::make_route(kind, 2);
    routed.resumable = true;
    routed.timeout = 4s;
    return routed;
}

// Adds the server that gets the request second. `first`: what the other server
// does with a request that it gets first.
void add_backends(
    gateway_fixture& fixture, second_server second,
    const backend_double::script& first, std::size_t& second_sends,
    const std::string& second_answer)
{
    auto asked = std::make_shared<int>(0);
    const auto script = [&, first, second, asked, second_answer](
                            connection& to, const received_request& request)
    {
        if (++*asked == 1)
        {
            first(to, request);
            return;
        }
        ++second_sends;
        switch (second)
        {
        case second_server::rejects:
            to.write(rejection);
            break;
        case second_server::fails:
            to.close();
            break;
        case second_server::takes_over:
            to.write(second_answer);
            break;
        default:
            break;
        }
    };
    fixture.add_backend(script);
    if (second == second_server::unreachable)
    {
        fixture.add_dead_backend();
    }
    else if (second != second_server::missing)
    {
        fixture.add_backend(script);
    }
}

} // namespace

// Guards against a stream that is cut because a healthy server was silent for a
// moment and no other server took the request.
TEST_CASE("a stream goes on at a server that was silent for a while")
{
    const second_server second = GENERATE(
        second_server::rejects, second_server::fails,
        second_server::unreachable, second_server::missing,
        second_server::silent);
    CAPTURE(second);
    gateway_fixture fixture{patient_route(call_kind::streaming)};
    connection* silent = nullptr;
    std::size_t second_sends = 0;
    add_backends(
        fixture, second,
        [&](connection& to, const received_request& /*request*/)
        {
            silent = &to;
            to.write(stream_head + events(1, 2));
            fixture.context().loop().after(
                1500ms, [&to] { to.write(events(3, 4) + end_of_stream); });
        },
        second_sends, "");
    // The dead server of that row may be tried first.
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return silent != nullptr; }));
    for (int i = 0; i < 3 && !caller.ended(); ++i)
    {
        fixture.run_until(
            [&] {
                return caller.ended() ||
                       caller.received().ends_with(end_of_stream);
            });
    }
    CHECK_FALSE(caller.ended());
    CHECK(caller.received().ends_with(
        events(1, 2) + events(3, 4) + end_of_stream));
    CHECK(second_sends <= 1);
}

// Guards against a stream that two servers work on for longer than it takes to
// find out that the second one has accepted it, and against one that stays at a
// server which only sends comments.
TEST_CASE("a stream moves from a server that stays silent to one that answers")
{
    const bool sends_comments = GENERATE(false, true);
    CAPTURE(sends_comments);
    gateway_fixture fixture{patient_route(call_kind::streaming)};
    std::size_t second_sends = 0;
    add_backends(
        fixture, second_server::takes_over,
        [&](connection& to, const received_request& /*request*/)
        {
            to.write(stream_head + events(1, 2));
            for (int i = 1; sends_comments && i < 10; ++i)
            {
                fixture.context().loop().after(
                    i * 200ms, [&to] { to.write(comment_chunk); });
            }
        },
        second_sends, stream_head + events(3, 4) + end_of_stream);
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    for (int i = 0; i < 3; ++i)
    {
        fixture.run_until(
            [&] { return caller.received().ends_with(end_of_stream); });
    }
    CHECK(second_sends == 1);
    CHECK(caller.received().ends_with(events(3, 4) + end_of_stream));
}

// Guards against a request that runs at two servers for as long as the second
// one needs for its first event.
TEST_CASE("a silent attempt ends soon after another server has the request")
{
    gateway_fixture fixture{patient_route(call_kind::streaming)};
    std::size_t second_sends = 0;
    time_point second_at;
    int asked = 0;
    std::vector<backend_double*> servers;
    const auto script = [&](connection& to, const received_request& /*request*/)
    {
        if (++asked == 1)
        {
            to.write(stream_head + events(1, 1));
            return;
        }
        ++second_sends;
        second_at = boot_now();
    };
    servers.push_back(&fixture.add_backend(script));
    servers.push_back(&fixture.add_backend(script));
    fixture.call(gateway_fixture::request_text());
    const auto first_has_ended = [&]
    { return servers[0]->ended() + servers[1]->ended() > 0; };
    for (int i = 0; i < 3 && !first_has_ended(); ++i)
    {
        fixture.run_until(first_has_ended);
    }
    REQUIRE(second_sends == 1);
    CHECK(first_has_ended());
    CHECK(boot_now() - second_at <= 400ms);
}

// Guards against a response that is replaced by an error because the router had
// looked for another server in the meantime.
TEST_CASE("a late response of a silent server is delivered")
{
    const second_server second = GENERATE(
        second_server::rejects, second_server::fails,
        second_server::unreachable, second_server::missing,
        second_server::silent);
    CAPTURE(second);
    gateway_fixture fixture{patient_route(call_kind::repeatable)};
    std::size_t second_sends = 0;
    add_backends(
        fixture, second,
        [&](connection& to, const received_request& /*request*/)
        {
            fixture.context().loop().after(
                300ms, [&to] { to.write(plain_response("200 OK", sealed)); });
        },
        second_sends, "");
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return !caller.received().empty(); }));
    CHECK(caller.received().starts_with("HTTP/1.1 200"));
    CHECK(second_sends <= 1);
}

// Guards against a second response head in the middle of a stream: the server
// that is to go on with it responds with an error.
TEST_CASE("an error of a second server is not written into a stream")
{
    const auto* status = GENERATE("404 Not Found", "500 Internal Server Error");
    const bool first_goes_on = GENERATE(false, true);
    CAPTURE(status, first_goes_on);
    gateway_fixture fixture{patient_route(call_kind::streaming)};
    std::size_t second_sends = 0;
    add_backends(
        fixture, second_server::takes_over,
        [&](connection& to, const received_request& /*request*/)
        {
            to.write(stream_head + events(1, 2));
            if (!first_goes_on)
            {
                to.reset();
                return;
            }
            fixture.context().loop().after(
                1500ms, [&to] { to.write(events(3, 4) + end_of_stream); });
        },
        second_sends, plain_response(status, sealed));
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    const auto has_ended = [&]
    { return caller.ended() || caller.received().ends_with(end_of_stream); };
    for (int i = 0; i < 3 && !has_ended(); ++i)
    {
        fixture.run_until(has_ended);
    }
    CHECK(second_sends == 1);
    CHECK(caller.received().find("HTTP/1.1", 1) == std::string::npos);
    CHECK(caller.ended() != first_goes_on);
}

// Guards against a request that loses a server which would go on to one that is
// silent as well, and against the loss of an error that the first one sends.
TEST_CASE("a held attempt ends only for a server that responds")
{
    gateway_fixture fixture{patient_route(call_kind::streaming)};
    std::size_t second_sends = 0;
    add_backends(
        fixture, second_server::silent,
        [&](connection& to, const received_request& /*request*/)
        {
            fixture.context().loop().after(
                200ms,
                [&to] { to.write(plain_response("404 Not Found", sealed)); });
        },
        second_sends, "");
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return !caller.received().empty(); }));
    CHECK(second_sends == 1);
    CHECK(caller.received().starts_with("HTTP/1.1 404"));
}

// Guards against attempts that go on without a caller.
TEST_CASE("both attempts end when the caller leaves")
{
    gateway_fixture fixture{patient_route(call_kind::streaming)};
    std::size_t second_sends = 0;
    std::vector<backend_double*> servers;
    const auto script = [&](connection& to, const received_request& /*request*/)
    {
        if (++second_sends == 1)
        {
            to.write(stream_head + events(1, 1));
        }
    };
    servers.push_back(&fixture.add_backend(script));
    servers.push_back(&fixture.add_backend(script));
    caller_double& caller = fixture.call(gateway_fixture::request_text());
    for (int i = 0; i < 3 && second_sends < 2; ++i)
    {
        fixture.run_until([&] { return second_sends == 2; });
    }
    REQUIRE(second_sends == 2);
    caller.leave();
    CHECK(fixture.run_until(
        [&] { return servers[0]->ended() + servers[1]->ended() == 2; }));
}

// Guards against a caller that reads slowly and is taken for a silent server.
TEST_CASE("a stream whose caller does not read stays at its server")
{
    gateway_fixture fixture{patient_route(call_kind::streaming)};
    std::size_t sends = 0;
    const auto script = [&](connection& to, const received_request& /*request*/)
    {
        ++sends;
        std::string text = stream_head;
        for (int id = 1; id <= 150; ++id)
        {
            const std::string event = fmt::format(
                "id: {}\ndata: {}\n\n", id, std::string(100'000, 'x'));
            text += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
        }
        to.write(text + end_of_stream);
    };
    fixture.add_backend(script);
    fixture.add_backend(script);
    caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return !caller.received().empty(); }));
    caller.set_reading(false);
    fixture.run_for(1800ms);
    caller.set_reading(true);
    CHECK(fixture.run_until(
        [&] { return caller.received().ends_with(end_of_stream); }));
    CHECK(sends == 1);
    CHECK(caller.received().find("id: 150") != std::string::npos);
}
