#include "process/gateway/gateway_fixture.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

using connection = backend_double::connection;

const std::string sealed = "Request-Id: a1\r\nReply-Seal: s\r\n";

std::string make_response(
    std::string_view status, std::string_view body,
    std::string_view fields = sealed)
{
    return fmt::format(
        "HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", status, fields,
        body.size(), body);
}

const std::string rejection =
    make_response("503 Service Unavailable", "", "Not-Run: 1\r\n");

std::string event(int id)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}

std::string chunk(std::string_view bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

const std::string stream_head =
    "HTTP/1.1 200 OK\r\n" + sealed +
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

// Status of the first response that a caller received.
std::string status_of(const caller_double& caller)
{
    constexpr std::size_t start = 9;
    constexpr std::size_t length = 3;
    return caller.received().size() < start + length
               ? std::string{}
               : caller.received().substr(start, length);
}

// Seconds in the Retry-After field of a response; zero without one.
double retry_after_of(const caller_double& caller)
{
    const std::string name = "Retry-After: ";
    const std::size_t field = caller.received().find(name);
    return field == std::string::npos
               ? 0
               : std::stod(caller.received().substr(field + name.size()));
}

bool is_answered(const caller_double& caller)
{
    return !status_of(caller).empty() || caller.ended();
}

// Port of a listed server whose connections the test reads itself, or not at
// all. Its window is small, so that most of a long request waits in the router.
class slow_server
{
public:
    explicit slow_server(gateway_fixture& fixture)
    {
        constexpr int window_bytes = 4096;
        std::uint16_t port = 0;
        while (!listening_)
        {
            port = next_port();
            try
            {
                listening_.emplace();
                listening_->bind({"127.0.0.1", port});
            }
            catch (const Poco::Exception&)
            {
                listening_.reset();
            }
        }
        listening_->setReceiveBufferSize(window_bytes);
        listening_->listen();
        fixture.add_listed_backend(port);
    }

    bool has_connection() const
    {
        return listening_->poll(0, Poco::Net::Socket::SELECT_READ);
    }
    Poco::Net::StreamSocket accept() const
    {
        Poco::Net::ServerSocket listening{*listening_};
        return listening.acceptConnection();
    }

private:
    std::optional<Poco::Net::ServerSocket> listening_;
};

// The text, repeated to 32 KiB.
std::string block_of(std::string_view repeated)
{
    std::string bytes;
    while (bytes.size() < std::size_t{32} * 1024)
    {
        bytes += repeated;
    }
    return bytes;
}

// Memory of this process that is resident.
std::size_t resident_bytes()
{
    std::ifstream file{"/proc/self/statm"};
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Reads what has arrived and returns its size. `ended` is set once the router
// has closed the connection.
std::size_t read_available(Poco::Net::StreamSocket& from, bool* ended = nullptr)
{
    std::size_t total = 0;
    std::array<char, std::size_t{64} * 1024> buffer;
    while (from.poll(0, Poco::Net::Socket::SELECT_READ))
    {
        int count = 0;
        try
        {
            count = from.receiveBytes(buffer.data(), buffer.size());
        }
        catch (const Poco::Exception&)
        {
            // A reset counts as the end.
        }
        if (count <= 0)
        {
            if (ended != nullptr)
            {
                *ended = true;
            }
            break;
        }
        total += static_cast<std::size_t>(count);
    }
    return total;
}

} // namespace

// Guards against responses that belong to another request, or are cut, unsigned
// or altered, and still reach a caller as a success.
TEST_CASE(
    "only a complete and signed response to the same request is a success")
{
    const auto [label, bytes, closes] =
        GENERATE(table<std::string, std::string, bool>({
            {"of another request",
             make_response(
                 "200 OK", "x", "Request-Id: a2\r\nReply-Seal: s\r\n"),
             false},
            {"unsigned", make_response("200 OK", "x", "Request-Id: a1\r\n"),
             false},
            {"cut short", make_response("200 OK", "hello").substr(0, 70), true},
            {"cut in its status line", "HTTP/1.1 200 O", true},
            {"cut after its status line", "HTTP/1.1 200 OK\r\n", true},
            {"cut in a field", "HTTP/1.1 200 OK\r\n" + sealed + "Content-Le",
             true},
            {"cut after a field", "HTTP/1.1 200 OK\r\n" + sealed, true},
            {"cut in the end of its head",
             "HTTP/1.1 200 OK\r\n" + sealed + "\r", true},
            {"cut before its length",
             "HTTP/1.1 200 OK\r\n" + sealed + "Transfer-Encoding: chunked\r\n",
             true},
            {"malformed response", "garbage garbage\r\n\r\n", false},
            {"status 000", make_response("000 Trouble", "x"), false},
            {"status 000 without a reason", make_response("000", "x"), true},
            {"status 099", make_response("099 Trouble", "x"), false},
            {"status 600", make_response("600 Trouble", "x"), false},
            {"status 999", make_response("999 Trouble", "x"), false},
            {"status of four digits", make_response("2000 OK", "x"), false},
            {"negative status", make_response("-20 OK", "x"), false},
            {"switch of protocols", make_response("101 Switching", "x"), false},
            {"encoded",
             make_response(
                 "200 OK", "x", sealed + "Content-Encoding: gzip\r\n"),
             false},
            {"nothing", "", true},
        }));
    CAPTURE(label);
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable)};
    const auto script =
        [&, text = bytes, end = closes](connection& to, const received_request&)
    {
        to.write(text);
        if (end)
        {
            to.close();
        }
    };
    backend_double& first = fixture.add_backend(script);
    backend_double& second = fixture.add_backend(script);
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    // The request may have run, so it is neither retried nor reported as not
    // run.
    CHECK(status_of(caller) == "502");
    CHECK(first.requests().size() + second.requests().size() == 1);
    CHECK_FALSE(caller.ended());
}

// Guards against a response to another request that is delivered as that of the
// retry: a server sends a complete response that belongs to another request,
// and the request is already in progress at the next server when it has been
// read.
TEST_CASE("a response to another request is not taken for that of the retry")
{
    const auto* foreign_fields =
        GENERATE("Request-Id: a2\r\nReply-Seal: s\r\n", "Request-Id: a1\r\n");
    gateway_fixture f{gateway_fixture::make_route(call_kind::repeatable, 2)};
    int asked = 0;
    backend_double::connection* second = nullptr;
    const auto script =
        [&](backend_double::connection& to, const received_request& /*got*/)
    {
        if (++asked == 1)
        {
            to.write(make_response("200 OK", "false", foreign_fields));
        }
        else
        {
            second = &to;
        }
    };
    f.add_backend(script);
    f.add_backend(script);
    caller_double& caller = f.call(gateway_fixture::request_text());
    REQUIRE(f.run_until([&] { return second != nullptr; }));
    f.run_for(20ms);
    CHECK(caller.received().empty());
    second->write(make_response("200 OK", "true"));
    REQUIRE(f.run_until([&] { return is_answered(caller); }));
    CHECK_THAT(caller.received(), Catch::EndsWith("true"));
}

// Guards against a repeatable request that fails although another server can
// complete it, and against a retry of one that is not repeatable.
TEST_CASE("retries depend on the kind of call and on whether it has run")
{
    struct row
    {
        std::string label;
        call_kind kind;
        std::uint32_t attempts;
        std::string first_response;
        std::string status;
        std::size_t sends;
    };
    const std::string failed = make_response("500 Internal Server Error", "no");
    const std::string wrong_server =
        make_response("421 Misdirected Request", "", "Instance-Id: i-9\r\n");
    const auto tested = GENERATE_COPY(
        row{"repeatable, failed", call_kind::repeatable, 2, failed, "200", 2},
        row{"repeatable, one attempt", call_kind::repeatable, 1, failed, "500",
            1},
        row{"repeatable, garbage", call_kind::repeatable, 2, "x\r\n\r\n", "200",
            2},
        row{"repeatable, full", call_kind::repeatable, 2, rejection, "200", 2},
        row{"not repeatable, failed", call_kind::non_repeatable, 2, failed,
            "500", 1},
        row{"not repeatable, full", call_kind::non_repeatable, 2, rejection,
            "200", 2},
        row{"not repeatable, full, one attempt", call_kind::non_repeatable, 1,
            rejection, "503", 1},
        row{"not repeatable, other server", call_kind::non_repeatable, 2,
            wrong_server, "200", 2});
    CAPTURE(tested.label);
    gateway_fixture fixture{
        gateway_fixture::make_route(tested.kind, tested.attempts)};
    std::size_t sends = 0;
    for (int i = 0; i < 2; ++i)
    {
        fixture.add_backend(
            [&](connection& to, const received_request& request)
            {
                CHECK(request.body == "body");
                to.write(
                    ++sends == 1 ? tested.first_response
                                 : make_response("200 OK", "fine"));
            });
    }
    const caller_double& caller =
        fixture.call(gateway_fixture::request_text("", "body"));
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    fixture.run_for(20ms);
    CHECK(status_of(caller) == tested.status);
    CHECK(sends == tested.sends);
    if (tested.status == "503")
    {
        CHECK_THAT(caller.received(), Catch::Contains("Retry-After: 0."));
    }
}

// Guards against an attempt that is used up by a failure to connect, which
// happens before anything is sent.
TEST_CASE("a failed connection does not count as an attempt")
{
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable, 1)};
    for (int i = 0; i < 3; ++i)
    {
        fixture.add_dead_backend();
    }
    fixture.add_backend([](connection& to, const received_request&)
                        { to.write(make_response("200 OK", "fine")); });
    for (int i = 0; i < 5; ++i)
    {
        const caller_double& caller =
            fixture.call(gateway_fixture::request_text());
        REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
        CHECK(status_of(caller) == "200");
    }
}

// Guards against a refusal that leaves the caller without a response, and
// against wrong authorisation.
TEST_CASE("requests that must not reach a server are refused at once")
{
    const auto [label, text, status] =
        GENERATE(table<std::string, std::string, std::string>({
            {"no route",
             "GET /b/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a1\r\n"
             "Authorization: Bearer key-1\r\n\r\n",
             "404"},
            {"other host",
             "GET /a/ HTTP/1.1\r\nHost: x.example\r\nRequest-Id: a1\r\n"
             "Authorization: Bearer key-1\r\n\r\n",
             "404"},
            {"unknown key",
             "GET /a/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a1\r\n"
             "Authorization: Bearer key-2\r\n\r\n",
             "401"},
            {"no key",
             "GET /a/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a1\r\n\r\n",
             "401"},
            {"no host",
             "GET /a/ HTTP/1.1\r\nRequest-Id: a1\r\n"
             "Authorization: Bearer key-1\r\n\r\n",
             "400"},
            {"two hosts",
             "GET /a/ HTTP/1.1\r\nHost: h.example\r\nHost: x.example\r\n"
             "Request-Id: a1\r\nAuthorization: Bearer key-1\r\n\r\n",
             "400"},
            {"no host in HTTP/1.0",
             "GET /a/ HTTP/1.0\r\nConnection: keep-alive\r\n"
             "Request-Id: a1\r\nAuthorization: Bearer key-1\r\n\r\n",
             "400"},
            {"no identifier",
             "GET /a/ HTTP/1.1\r\nHost: h.example\r\n"
             "Authorization: Bearer key-1\r\n\r\n",
             "400"},
            {"two lengths",
             "POST /a/ HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 30\r\n"
             "\r\nGET /a/smuggled HTTP/1.1\r\nHost: h.example\r\n\r\n",
             "400"},
            {"no server", gateway_fixture::request_text(), "503"},
        }));
    CAPTURE(label);
    gateway_fixture fixture{gateway_fixture::make_route(call_kind::repeatable)};
    const caller_double& caller = fixture.call(text);
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    CHECK(status_of(caller) == status);
    // Only ambiguous framing closes the connection, and only after one
    // response.
    fixture.run_for(20ms);
    CHECK(caller.ended() == (label == "two lengths"));
    CHECK(caller.received().find("HTTP/1.1", 1) == std::string::npos);
}

// Guards against the text or the head of an error in the middle of a stream,
// and against a stream that ends as if it were complete: it broke off, and the
// next server answers with an error of any form.
TEST_CASE("an error of the next server ends a stream as broken off")
{
    const auto [label, error, closes] =
        GENERATE(table<std::string, std::string, bool>({
            {"with a length", make_response("500 Error", "failed\n\n"), false},
            {"in chunks",
             "HTTP/1.1 500 Error\r\n" + sealed +
                 "Transfer-Encoding: chunked\r\n\r\n" + chunk("failed\n\n") +
                 "0\r\n\r\n",
             false},
            {"until the close",
             "HTTP/1.1 500 Error\r\n" + sealed + "\r\nfailed\n\n", true},
            {"without a body", make_response("500 Error", ""), false},
            {"not found", make_response("404 Not Found", "failed\n\n"), false},
            {"redirect", make_response("302 Found", "failed\n\n"), false},
            {"rejection", rejection, false},
            {"rejection after work", make_response("503 Busy", "failed\n\n"),
             false},
            {"unsigned success",
             make_response("200 OK", "failed\n\n", "Request-Id: a1\r\n"),
             false},
            {"answer to another request",
             make_response(
                 "200 OK", "failed\n\n", "Request-Id: a2\r\nReply-Seal: s\r\n"),
             false},
            {"head that is cut", "HTTP/1.1 200 OK\r\n" + sealed, true},
            {"body that is cut", stream_head + "1f\r\nid: 3\ndata: failed",
             true},
            {"no event", stream_head + chunk("failed") + "0\r\n\r\n", false},
            {"no response", "failed\r\n\r\n", false},
        }));
    const bool breaks_in_event = GENERATE(false, true);
    CAPTURE(label, breaks_in_event);
    route routed = gateway_fixture::make_route(call_kind::streaming, 2);
    routed.resumable = true;
    gateway_fixture fixture{routed};
    std::size_t asked = 0;
    const auto script = [&](connection& to, const received_request&)
    {
        const bool is_first = ++asked == 1;
        to.write(
            is_first ? stream_head + chunk(event(1) + event(2)) +
                           (breaks_in_event ? chunk("id: 3\ndata: fai") : "")
                     : error);
        if (is_first || closes)
        {
            to.close();
        }
    };
    fixture.add_backend(script);
    fixture.add_backend(script);
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    CHECK(fixture.run_until([&] { return caller.ended(); }));
    CHECK(asked == 2);
    CHECK(caller.received().find("HTTP/1.1", 1) == std::string::npos);
    CHECK(caller.received().find("fai") == std::string::npos);
    CHECK(caller.received().ends_with("data: piece 2\n\n\r\n"));
}

// Guards against requests that run although the last organisation, key or route
// was taken away (review/4).
TEST_CASE("a configuration that holds nothing allows nothing")
{
    enum class left
    {
        no_organisation,
        organisation_without_key,
        organisation_with_empty_key,
        no_route
    };
    const auto [kept, public_route, key, status] =
        GENERATE(table<left, bool, std::string, std::string>({
            {left::no_organisation, false, "key-1", "401"},
            {left::no_organisation, false, "other", "401"},
            {left::no_organisation, false, "", "401"},
            {left::no_organisation, true, "other", "200"},
            {left::organisation_without_key, false, "key-1", "401"},
            {left::organisation_with_empty_key, false, "", "401"},
            {left::no_route, false, "key-1", "404"},
        }));
    CAPTURE(kept, public_route, key);
    route routed = gateway_fixture::make_route(call_kind::repeatable);
    routed.open_to_all = public_route;
    gateway_fixture fixture{routed};
    backend_double& backend =
        fixture.add_backend([](connection& to, const received_request&)
                            { to.write(make_response("200 OK", "done")); });
    routed_service service;
    service.name = "reports";
    service.max_connections = 100;
    routing_configuration_builder builder{6};
    builder.add_service(service).require_key();
    if (kept != left::no_route)
    {
        builder.add_route(routed);
    }
    if (kept == left::organisation_without_key)
    {
        builder.add_organisation({"diarroi", {}, {}});
    }
    if (kept == left::organisation_with_empty_key)
    {
        builder.add_organisation({"diarroi", {""}, {}});
    }
    fixture.context().set_configuration(*builder.build());
    const caller_double& caller = fixture.call(fmt::format(
        "GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a1\r\n"
        "Authorization: Bearer {}\r\n\r\n",
        key));
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    CHECK(status_of(caller) == status);
    CHECK(backend.requests().size() == (status == "200" ? 1U : 0U));
}

// Guards against a field that hides a second message, for the server or for the
// caller (review/2).
TEST_CASE("a field that a library could decode is passed on as it is")
{
    // "x\r\nContent-Length: 0\r\n\r\n"
    const std::string note =
        "Note: =?utf-8?B?eA0KQ29udGVudC1MZW5ndGg6IDANCg0K?=\r\n";
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable)};
    backend_double& backend = fixture.add_backend(
        [&](connection& to, const received_request&)
        { to.write(make_response("200 OK", "done", sealed + note)); });
    const caller_double& caller =
        fixture.call(gateway_fixture::request_text(note, "visit"));
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    fixture.run_for(20ms);
    REQUIRE(backend.requests().size() == 1);
    const received_request& request = backend.requests().front();
    CHECK(note == "Note: " + request.head->get("Note") + "\r\n");
    CHECK(request.head->get("Tenant") == "diarroi");
    CHECK(request.body == "visit");
    CHECK(status_of(caller) == "200");
    CHECK(caller.received().find(note) != std::string::npos);
    CHECK(caller.received().ends_with("done"));
}

// Guards against work that continues for a caller that has disconnected.
TEST_CASE("work for a caller stops when it disconnects")
{
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::streaming, 1)};
    backend_double& backend =
        fixture.add_backend([](connection& to, const received_request&)
                            { to.write(stream_head + chunk(event(1))); });
    caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    caller.leave();
    CHECK(fixture.run_until([&] { return backend.ended() == 1; }));
    CHECK(fixture.run_until([&] { return fixture.sessions() == 0; }));
}

// Guards against a request that lasts longer than the timeout of its route.
TEST_CASE("a request without a response ends at the timeout of its route")
{
    const auto [kind, status] = GENERATE(table<call_kind, std::string>(
        {{call_kind::non_repeatable, "504"}, {call_kind::streaming, "504"}}));
    gateway_fixture fixture{gateway_fixture::make_route(kind, 1)};
    backend_double& backend =
        fixture.add_backend([](connection&, const received_request&) {});
    const time_point start = boot_now();
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    CHECK(status_of(caller) == status);
    CHECK(boot_now() - start >= 390ms);
    CHECK(boot_now() - start < 600ms);
    CHECK(fixture.run_until([&] { return backend.ended() == 1; }));
}

// Guards against a repeatable request that waits for an unresponsive server
// while another one would respond.
TEST_CASE("a repeatable request is retried when a server does not respond")
{
    gateway_fixture fixture{gateway_fixture::make_route(call_kind::repeatable)};
    std::size_t sends = 0;
    for (int i = 0; i < 2; ++i)
    {
        fixture.add_backend(
            [&](connection& to, const received_request&)
            {
                if (++sends == 2)
                {
                    to.write(make_response("200 OK", "fine"));
                }
            });
    }
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    CHECK(status_of(caller) == "200");
    CHECK(sends == 2);
}

// Guards against requests that are withdrawn from the queue of a healthy server
// and start again at the end of another queue, when all servers have long
// queues; and against requests that wait for a server that makes no progress.
TEST_CASE("a request queued at a healthy server keeps its place")
{
    const auto [failure_percent, sends_expected] =
        GENERATE(table<std::uint16_t, std::size_t>({{0, 1}, {100, 2}}));
    CAPTURE(failure_percent);
    gateway_fixture fixture{gateway_fixture::make_route(call_kind::repeatable)};
    std::vector<connection*> open;
    const auto script = [&](connection& to, const received_request&)
    { open.push_back(&to); };
    fixture.add_backend(script);
    fixture.add_backend(script);
    std::vector<fleet_backend_load> long_queues;
    for (const backend_record* record :
         fixture.context().table().members("reports"))
    {
        long_queues.push_back(
            {short_backend_id(record->id), 20, failure_percent});
    }
    fixture.context().set_fleet_load(long_queues);
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return !open.empty(); }));
    fixture.run_for(300ms);
    CHECK(open.size() == sends_expected);
    open.back()->write(make_response("200 OK", "fine"));
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    CHECK(status_of(caller) == "200");
}

// Guards against lost, repeated or merged events, and against a truncated
// stream that looks complete.
TEST_CASE("a broken stream is resumed only where the route allows it")
{
    const bool resumable = GENERATE(true, false);
    const std::string cut = GENERATE(as<std::string>{}, "", "id: 3\nda");
    route routed = gateway_fixture::make_route(call_kind::streaming, 2);
    routed.resumable = resumable;
    gateway_fixture fixture{routed};
    std::size_t sends = 0;
    std::string resumed_after;
    for (int i = 0; i < 2; ++i)
    {
        fixture.add_backend(
            [&](connection& to, const received_request& request)
            {
                if (++sends == 1)
                {
                    to.write(
                        stream_head + chunk(event(1) + event(2)) +
                        (cut.empty() ? "" : chunk(cut)));
                    to.close();
                    return;
                }
                resumed_after = request.head->get("Last-Event-Id", "");
                to.write(
                    stream_head + chunk(event(3) + event(4)) + "0\r\n\r\n");
            });
    }
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    const std::string end = "0\r\n\r\n";
    REQUIRE(fixture.run_until(
        [&] { return caller.ended() || caller.received().ends_with(end); }));
    const std::string first_part = chunk(event(1) + event(2));
    CHECK_THAT(caller.received(), Catch::Contains(first_part));
    CHECK(caller.received().ends_with(end) == resumable);
    CHECK(caller.ended() != resumable);
    CHECK_THAT(caller.received(), !Catch::Contains("id: 3\nda\r"));
    if (resumable)
    {
        CHECK(resumed_after == "2");
        CHECK(caller.received().ends_with(
            first_part + chunk(event(3) + event(4)) + end));
        CHECK(caller.received().find("HTTP/1.1", 1) == std::string::npos);
    }
}

// Guards against a complete response that is taken for a broken one because it
// has neither a length nor chunks, and against a truncated one that looks
// complete to the caller.
TEST_CASE("a response without a length ends with its connection")
{
    struct row
    {
        std::string label;
        call_kind kind;
        std::string body;
        bool is_reset;
        bool is_complete;
    };
    const auto tested = GENERATE(
        row{"whole", call_kind::non_repeatable, "fine", false, true},
        row{"empty", call_kind::non_repeatable, "", false, true},
        row{"whole, reset", call_kind::non_repeatable, "fine", true, false},
        row{"stream", call_kind::streaming, event(1) + event(2), false, true},
        row{"stream, reset", call_kind::streaming, event(1) + event(2), true,
            false},
        row{"stream, cut in an event", call_kind::streaming,
            event(1) + "id: 2\ndata: pi", false, false},
        row{"stream, cut before the empty line", call_kind::streaming,
            event(1) + "id: 2\ndata: piece 2\n", false, false});
    CAPTURE(tested.label);
    gateway_fixture fixture{gateway_fixture::make_route(tested.kind, 1)};
    fixture.add_backend(
        [&](connection& to, const received_request&)
        {
            to.write("HTTP/1.1 200 OK\r\n" + sealed + "\r\n" + tested.body);
            // The reset must not overtake the bytes.
            fixture.context().loop().after(
                20ms, [&] { tested.is_reset ? to.reset() : to.close(); });
        });
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    const bool is_stream = tested.kind == call_kind::streaming;
    const std::string end = is_stream ? "0\r\n\r\n" : tested.body;
    REQUIRE(fixture.run_until(
        [&]
        {
            return caller.ended() || status_of(caller) == "502" ||
                   caller.received().ends_with(end);
        }));
    fixture.run_for(50ms);
    if (tested.is_complete)
    {
        CHECK(status_of(caller) == "200");
        CHECK(caller.received().ends_with(end));
        CHECK_FALSE(caller.ended());
        // Callers can tell a complete response from a truncated one.
        CHECK_THAT(
            caller.received(),
            Catch::Contains(
                is_stream ? "Transfer-Encoding: chunked\r\n"
                          : fmt::format(
                                "Content-Length: {}\r\n", tested.body.size())));
    }
    else if (is_stream)
    {
        CHECK(caller.ended());
        CHECK_FALSE(caller.received().ends_with(end));
        CHECK_THAT(caller.received(), !Catch::Contains("id: 2\ndata: pi\r"));
    }
    else
    {
        CHECK(status_of(caller) == "502");
    }
}

// Guards against a stream that ends inside an event and is taken for complete,
// whichever way the end of its body is given: its rest must come from another
// server.
TEST_CASE("a stream that ends inside an event is resumed")
{
    const std::string text = event(1) + "id: 2\ndata: pi";
    const auto [label, head, body] =
        GENERATE_COPY(table<std::string, std::string, std::string>({
            {"with its connection", "", text},
            {"after its length",
             fmt::format("Content-Length: {}\r\n", text.size()), text},
            {"after its chunks", "Transfer-Encoding: chunked\r\n",
             chunk(text) + "0\r\n\r\n"},
        }));
    CAPTURE(label);
    route routed = gateway_fixture::make_route(call_kind::streaming, 2);
    routed.resumable = true;
    gateway_fixture fixture{routed};
    std::size_t sends = 0;
    for (int i = 0; i < 2; ++i)
    {
        fixture.add_backend(
            [&, head = head,
             body = body](connection& to, const received_request& request)
            {
                if (++sends == 1)
                {
                    to.write(
                        "HTTP/1.1 200 OK\r\n" + sealed + head + "\r\n" + body);
                    to.close();
                    return;
                }
                CHECK(request.head->get("Last-Event-Id", "") == "1");
                to.write("HTTP/1.1 200 OK\r\n" + sealed + "\r\n" + event(2));
                to.close();
            });
    }
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    const std::string end = chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n";
    CHECK(fixture.run_until([&] { return caller.received().ends_with(end); }));
    CHECK(sends == 2);
}

// Guards against streams that wait indefinitely for a server that has stopped
// in the middle but still sends a byte or a comment now and then, and against
// slow streams that are taken from a healthy server.
TEST_CASE("a stalled stream moves to another server and a slow one does not")
{
    const auto [label, trickle, makes_progress, resumable] =
        GENERATE(table<std::string, std::string, bool, bool>({
            {"bytes of no event", "d", false, true},
            {"comments", ":\n\n", false, true},
            {"nothing", "", false, true},
            {"slow events", "id", true, true},
            {"comments, not resumable", ":\n\n", false, false},
        }));
    CAPTURE(label);
    route routed = gateway_fixture::make_route(call_kind::streaming, 2);
    routed.resumable = resumable;
    routed.timeout = 2600ms;
    routed.target_gap = 100ms;
    gateway_fixture fixture{routed};
    connection* first = nullptr;
    std::size_t sends = 0;
    for (int i = 0; i < 2; ++i)
    {
        fixture.add_backend(
            [&](connection& to, const received_request&)
            {
                if (++sends == 1)
                {
                    first = &to;
                    to.write(stream_head + chunk(event(1)));
                    return;
                }
                to.write(stream_head + chunk(event(2)) + "0\r\n\r\n");
            });
    }
    const time_point start = boot_now();
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return first != nullptr; }));
    for (int id = 2; id <= 10 && !caller.ended() && sends == 1; ++id)
    {
        if (!trickle.empty())
        {
            first->write(chunk(makes_progress ? event(id) : trickle));
        }
        fixture.run_for(200ms);
    }
    if (makes_progress)
    {
        CHECK(sends == 1);
        first->write("0\r\n\r\n");
    }
    REQUIRE(fixture.run_until(
        [&] {
            return caller.ended() || caller.received().ends_with("0\r\n\r\n");
        }));
    CHECK(sends == (makes_progress || !resumable ? 1 : 2));
    // A stream that may run only once is cut at the timeout of its route.
    CHECK(caller.ended() == !resumable);
    CHECK(boot_now() - start < 2900ms);
    const std::string last = event(makes_progress ? 10 : 2);
    if (resumable)
    {
        CHECK_THAT(caller.received(), Catch::Contains(last));
    }
}

// Guards against responses that are dropped because a timeout passed while the
// process was paused: after the pause, responses and timers are due at the same
// time.
TEST_CASE("responses that arrived during a pause are delivered")
{
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable)};
    // More than the number of events that the system reports in one call.
    constexpr std::size_t calls = 75;
    std::vector<connection*> open;
    fixture.add_backend([&](connection& to, const received_request&)
                        { open.push_back(&to); });
    std::vector<const caller_double*> callers;
    for (std::size_t i = 0; i < calls; ++i)
    {
        callers.push_back(&fixture.call(gateway_fixture::request_text()));
    }
    REQUIRE(fixture.run_until([&] { return open.size() == calls; }));
    for (connection* to : open)
    {
        to->write(make_response("200 OK", "fine"));
    }
    std::this_thread::sleep_for(500ms);
    REQUIRE(fixture.run_until(
        [&]
        {
            return std::ranges::all_of(
                callers,
                [](const auto* caller) { return is_answered(*caller); });
        }));
    CHECK(std::ranges::all_of(
        callers,
        [](const auto* caller) { return status_of(*caller) == "200"; }));
}

// Guards against work that starts for callers whose deadline passed while the
// process was paused with the requests unread, and against a longer deadline
// for the server than the caller has left.
TEST_CASE("a request that waited during a pause has less time left")
{
    const auto [deadline_ms, status] =
        GENERATE(table<int, std::string>({{300, "503"}, {5000, "200"}}));
    CAPTURE(deadline_ms);
    route routed = gateway_fixture::make_route(call_kind::non_repeatable);
    routed.timeout = 8s;
    gateway_fixture fixture{routed};
    int forwarded_ms = 0;
    fixture.add_backend(
        [&](connection& to, const received_request& got)
        {
            forwarded_ms = std::stoi(got.head->get("Deadline-Ms"));
            to.write(make_response("200 OK", "fine"));
        });
    // The connection is established before the pause.
    caller_double& caller = fixture.call("");
    fixture.run_for(50ms);
    caller.send(gateway_fixture::request_text(
        fmt::format("Deadline-Ms: {}\r\n", deadline_ms)));
    std::this_thread::sleep_for(700ms);
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    CHECK(status_of(caller) == status);
    CHECK(forwarded_ms <= std::max(0, deadline_ms - 600));
}

// Guards against a stream that fails before its first event and is cut although
// a complete error response is still possible.
TEST_CASE("a stream that breaks before its first event gets an error response")
{
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::streaming, 2)};
    fixture.add_backend(
        [](connection& to, const received_request&)
        {
            to.write(stream_head);
            to.close();
        });
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    CHECK(status_of(caller) == "502");
    CHECK_FALSE(caller.ended());
}

// Guards against a duplicate response on an idle connection that is delivered
// for the next request.
TEST_CASE("a connection with surplus bytes is not reused")
{
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable, 1)};
    std::size_t sends = 0;
    backend_double& backend = fixture.add_backend(
        [&](connection& to, const received_request&)
        {
            ++sends;
            const std::string good = make_response("200 OK", "fine");
            to.write(
                sends == 1 ? good + make_response("200 OK", "surplus") : good);
        });
    for (int i = 0; i < 3; ++i)
    {
        const caller_double& caller =
            fixture.call(gateway_fixture::request_text());
        REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
        fixture.run_for(10ms);
        CHECK(caller.received().ends_with("fine"));
    }
    CHECK(backend.connections() == 2);
}

// Guards against a response that is not to the caller's own request, and
// against a false "not run" that makes a caller retry what has run: a server
// sends a duplicate of a response late, when its connection carries the next
// request.
TEST_CASE("a late duplicate response does not affect the next request")
{
    const auto [label, copy] = GENERATE(table<std::string, std::string>({
        {"success", make_response("200 OK", "first")},
        {"rejection", make_response(
                          "503 Service Unavailable", "",
                          "Request-Id: a1\r\nNot-Run: 1\r\n")},
        {"rejection without an identifier", rejection},
        {"wrong server",
         make_response("421 Misdirected Request", "", "Request-Id: a1\r\n")},
        {"failure", make_response("500 Internal Server Error", "")},
    }));
    CAPTURE(label);
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable, 2)};
    std::size_t runs = 0;
    const auto script =
        [&, late = copy](connection& to, const received_request& got)
    {
        ++runs;
        to.write(
            got.head->get("Request-Id") == "a1"
                ? make_response("200 OK", "first")
                : late);
    };
    fixture.add_backend(script);
    const caller_double& first = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return is_answered(first); }));
    const caller_double& second =
        fixture.call(gateway_fixture::request_text("", "", "POST", "a2"));
    REQUIRE(fixture.run_until([&] { return is_answered(second); }));
    CHECK(status_of(second) == "502");
    CHECK(runs == 2);
}

// Guards against new requests to a server that announces its shutdown in its
// responses before the backend list shows it, and against callers that wait for
// a server when only leaving ones are left.
TEST_CASE("a server that announces its shutdown gets no more requests")
{
    const auto [label, kind, first_response] =
        GENERATE(table<std::string, call_kind, std::string>({
            {"success", call_kind::non_repeatable,
             make_response("200 OK", "", sealed + "Server-Leaving: 1\r\n")},
            {"failure", call_kind::non_repeatable,
             make_response(
                 "500 Internal Server Error", "",
                 sealed + "Server-Leaving: 1\r\n")},
            {"rejection", call_kind::non_repeatable,
             make_response(
                 "503 Service Unavailable", "",
                 "Request-Id: a1\r\nNot-Run: 1\r\nServer-Leaving: 1\r\n")},
            {"stream", call_kind::streaming,
             "HTTP/1.1 200 OK\r\n" + sealed +
                 "Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                 chunk(event(1)) + "0\r\n\r\n"},
        }));
    CAPTURE(label);
    const std::size_t others = GENERATE(0, 1);
    CAPTURE(others);
    gateway_fixture fixture{gateway_fixture::make_route(kind, 1)};
    const backend_double& leaving = fixture.add_backend(
        [text = first_response](connection& to, const received_request&)
        { to.write(text); });
    const caller_double& first = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return is_answered(first); }));
    for (std::size_t i = 0; i < others; ++i)
    {
        fixture.add_backend(
            [is_stream = kind == call_kind::streaming](
                connection& to, const received_request&)
            {
                to.write(
                    is_stream ? stream_head + chunk(event(1)) + "0\r\n\r\n"
                              : make_response("200 OK", "fine"));
            });
    }
    // An updated list that does not show it yet.
    fixture.add_dead_backend();
    for (int i = 0; i < 10; ++i)
    {
        const time_point start = boot_now();
        const caller_double& caller =
            fixture.call(gateway_fixture::request_text());
        REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
        CHECK(boot_now() - start < 200ms);
        CHECK(status_of(caller) == (others > 0 ? "200" : "503"));
    }
    CHECK(leaving.requests().size() == 1);
}

// Guards against requests to a server within the time for which it has asked
// for none by a 503 with Retry-After, and against callers that are told to
// retry before any server accepts requests.
TEST_CASE("a server that rejects requests gets none until its Retry-After")
{
    const auto [label, retry_after, is_valid] =
        GENERATE(table<std::string, std::string, bool>({
            {"fraction", "0.6", true},
            {"seconds", "1", true},
            {"no number", "soon", false},
            {"negative", "-1", false},
        }));
    CAPTURE(label);
    const std::size_t others = GENERATE(0, 1);
    CAPTURE(others);
    route routed = gateway_fixture::make_route(call_kind::non_repeatable, 1);
    routed.timeout = 9s;
    gateway_fixture fixture{routed};
    const backend_double& full = fixture.add_backend(
        [text = make_response(
             "503 Service Unavailable", "",
             "Request-Id: a1\r\nNot-Run: 1\r\nRetry-After: " + retry_after +
                 "\r\n")](connection& to, const received_request&)
        { to.write(text); });
    const auto call = [&]() -> const caller_double&
    {
        const caller_double& caller = fixture.call(
            gateway_fixture::request_text("Deadline-Ms: 9000\r\n"));
        REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
        return caller;
    };
    call();
    for (std::size_t i = 0; i < others; ++i)
    {
        fixture.add_backend([](connection& to, const received_request&)
                            { to.write(make_response("200 OK", "fine")); });
    }
    for (int i = 0; i < 20; ++i)
    {
        const caller_double& caller = call();
        if (is_valid && others > 0)
        {
            CHECK(status_of(caller) == "200");
        }
        else if (is_valid)
        {
            CHECK(status_of(caller) == "503");
            // Not before the server accepts requests again, and spread over
            // some time.
            const double wait = retry_after_of(caller);
            const double limit = std::stod(retry_after);
            CHECK(wait > limit - 0.3);
            CHECK(wait < limit * 1.25);
        }
    }
    CHECK((full.requests().size() == 1) == is_valid);
    // The time has passed.
    fixture.run_for(is_valid ? 1050ms : 0ms);
    for (int i = 0; i < 20; ++i)
    {
        call();
        fixture.run_for(is_valid ? 1050ms / 20 : 0ms);
    }
    CHECK(full.requests().size() > 1);
}

// Failure: a server answers a long upload at once with a success without a
// length, sends a part of its body, and resets the connection while the upload
// is still written. Guards against a part that reaches the caller as a complete
// response, because the failed write hides the reset from the next read.
TEST_CASE("a reset during an upload does not complete a response")
{
    struct ending
    {
        bool resets;
        bool reads_upload;
        std::size_t upload_bytes;
    };
    const auto [resets, reads_upload, upload_bytes] = GENERATE(values<ending>(
        {{true, false, 3'000'000},
         // The rest of the upload is unread, so the system resets.
         {false, false, 3'000'000},
         {true, false, 100},
         {true, true, 3'000'000}}));
    CAPTURE(resets, reads_upload, upload_bytes);
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable)};
    const slow_server accepting{fixture};
    const caller_double& caller = fixture.call(
        gateway_fixture::request_text("", std::string(upload_bytes, 'u')));
    REQUIRE(fixture.run_until([&] { return accepting.has_connection(); }));
    Poco::Net::StreamSocket server = accepting.accept();
    for (int i = 0; i < 20; ++i)
    {
        fixture.run_for(5ms);
        if (reads_upload)
        {
            read_available(server);
        }
    }
    const std::string part =
        "HTTP/1.1 200 OK\r\n" + sealed + "\r\npart of the body";
    server.setBlocking(true);
    server.sendBytes(part.data(), static_cast<int>(part.size()));
    if (resets)
    {
        server.setLinger(true, 0);
    }
    server.close();
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    CHECK(status_of(caller) != "200");
    CHECK(caller.received().find("part of") == std::string::npos);
}

// Failure: full servers reject long requests before they have read them, keep
// the connections and read on later. Guards against the rest of each request
// that stays in memory when nobody counts it any more, until the router is out
// of memory (review/9), and against a request that waits behind such a rest.
TEST_CASE("a connection with an unread request is not kept")
{
    struct early_answer
    {
        std::string label;
        std::string text;
        std::size_t upload_bytes;
        bool is_kept;
    };
    const auto tested = GENERATE_COPY(
        early_answer{
            "rejection",
            make_response("503 Busy", "full", sealed + "Not-Run: 1\r\n"),
            3'000'000, false},
        early_answer{
            "response", make_response("200 OK", "fine"), 3'000'000, false},
        early_answer{
            "error", make_response("500 Error", "sorry"), 3'000'000, false},
        early_answer{
            "request that was read", make_response("200 OK", "fine"), 100,
            true});
    CAPTURE(tested.label);
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable, 1)};
    const slow_server accepting{fixture};
    const caller_double& caller = fixture.call(gateway_fixture::request_text(
        "", std::string(tested.upload_bytes, 'u')));
    REQUIRE(fixture.run_until([&] { return accepting.has_connection(); }));
    Poco::Net::StreamSocket server = accepting.accept();
    fixture.run_for(50ms);
    server.sendBytes(tested.text.data(), static_cast<int>(tested.text.size()));
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    bool ended = false;
    std::size_t received = 0;
    for (int i = 0; i < 100 && !ended; ++i)
    {
        fixture.run_for(5ms);
        received += read_available(server, &ended);
    }
    CHECK(ended != tested.is_kept);
    CHECK((received >= tested.upload_bytes) == tested.is_kept);
}

// Guards against unbounded memory use, and against callers that wait until
// their timeout, when a server sends an endless invalid head or body.
TEST_CASE("endless responses are cut off")
{
    struct row
    {
        std::string label;
        call_kind kind;
        std::string start;
        std::string repeated;
    };
    const std::string unframed = "HTTP/1.1 200 OK\r\n" + sealed;
    const auto tested = GENERATE_COPY(
        row{"garbage", call_kind::repeatable, "", "garbage "},
        row{"fields of a head", call_kind::repeatable, unframed, "X-A: b\r\n"},
        row{"interim heads", call_kind::repeatable, "",
            "HTTP/1.1 102 Processing\r\n\r\n"},
        row{"body without length", call_kind::repeatable, unframed + "\r\n",
            "body "},
        row{"chunks", call_kind::repeatable,
            unframed + "Transfer-Encoding: chunked\r\n\r\n",
            chunk(std::string(1000, 'b'))},
        row{"size of a chunk", call_kind::repeatable,
            unframed + "Transfer-Encoding: chunked\r\n\r\n", "0"},
        row{"trailer", call_kind::repeatable,
            unframed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
        row{"body of a rejection", call_kind::non_repeatable,
            "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\n", "body "},
        row{"event", call_kind::streaming, stream_head, chunk("data: x ")});
    CAPTURE(tested.label);
    route routed = gateway_fixture::make_route(tested.kind, 2);
    routed.timeout = 8s;
    // No progress timeout.
    routed.target_latency = 8s;
    routed.target_gap = 8s;
    routed.resumable = true;
    gateway_fixture fixture{routed};
    std::vector<backend_double*> servers(2, nullptr);
    std::size_t sends = 0;
    std::size_t endless_bytes = 0;
    for (backend_double*& server : servers)
    {
        server = &fixture.add_backend(
            [&](connection& to, const received_request&)
            {
                if (++sends > 1)
                {
                    to.write(
                        tested.kind == call_kind::streaming
                            ? stream_head + chunk(event(1)) + "0\r\n\r\n"
                            : make_response("200 OK", "fine"));
                    return;
                }
                to.write(tested.start);
                to.write_endlessly(block_of(tested.repeated), endless_bytes);
            });
    }
    const time_point start = boot_now();
    const caller_double& caller =
        fixture.call(gateway_fixture::request_text("Deadline-Ms: 8000\r\n"));
    REQUIRE(fixture.run_until([&] { return is_answered(caller); }));
    CHECK(status_of(caller) == "200");
    CHECK(boot_now() - start < 900ms);
    CHECK(sends == 2);
    fixture.run_for(20ms);
    CHECK(servers[0]->ended() + servers[1]->ended() == 1);
    // The size limit of a body and the buffers of two sockets.
    constexpr std::size_t max_bytes = std::size_t{8} * 1024 * 1024;
    CHECK(endless_bytes < max_bytes);
}

// Failure: servers send bytes without end to many requests at once. Guards
// against a router that keeps them all until it is out of memory, and against
// other requests that are not served any more.
TEST_CASE("many endless responses at once stay within the memory")
{
    struct row
    {
        std::string label;
        call_kind kind;
        std::string start;
        std::string repeated;
    };
    const std::string unframed = "HTTP/1.1 200 OK\r\n" + sealed;
    const auto tested = GENERATE_COPY(
        row{"fields of a head", call_kind::repeatable, unframed, "X-A: b\r\n"},
        row{"body without length", call_kind::repeatable, unframed + "\r\n",
            "body "},
        row{"chunks", call_kind::repeatable,
            unframed + "Transfer-Encoding: chunked\r\n\r\n",
            chunk(std::string(1000, 'b'))},
        row{"body of a rejection", call_kind::non_repeatable,
            "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\n", "body "},
        row{"event", call_kind::streaming, stream_head, chunk("data: x ")});
    CAPTURE(tested.label);
    constexpr std::size_t callers = 60;
    // The budget for buffers of a machine with 160 MiB, and its upper limit.
    constexpr std::size_t upper_limit = std::size_t{80} << 20U;
    constexpr std::size_t machine_memory = std::size_t{160} << 20U;
    route routed = gateway_fixture::make_route(tested.kind, 1);
    routed.timeout = 3s;
    routed.target_latency = 3s;
    gateway_fixture fixture{routed};
    bool is_endless = true;
    std::size_t endless_bytes = 0;
    fixture.add_backend(
        [&](connection& to, const received_request&)
        {
            if (!is_endless)
            {
                to.write(
                    tested.kind == call_kind::streaming
                        ? stream_head + chunk(event(1)) + "0\r\n\r\n"
                        : make_response("200 OK", "fine"));
                return;
            }
            to.write(tested.start);
            to.write_endlessly(block_of(tested.repeated), endless_bytes);
        });
    std::vector<const caller_double*> waiting;
    for (std::size_t i = 0; i < callers; ++i)
    {
        waiting.push_back(&fixture.call(
            gateway_fixture::request_text("Deadline-Ms: 3000\r\n")));
    }
    const std::size_t memory_before = resident_bytes();
    std::size_t most_buffered = 0;
    std::size_t most_resident = memory_before;
    const time_point start = boot_now();
    while (!std::ranges::all_of(
               waiting, [](const auto* each) { return is_answered(*each); }) &&
           boot_now() - start < 8s)
    {
        fixture.run_for(2ms);
        most_buffered =
            std::max(most_buffered, fixture.context().buffers().total());
        most_resident = std::max(most_resident, resident_bytes());
    }
    CHECK(std::ranges::all_of(
        waiting, [](const auto* each) { return is_answered(*each); }));
    CHECK(std::ranges::none_of(
        waiting, [](const auto* each) { return status_of(*each) == "200"; }));
    CHECK(most_buffered <= upper_limit);
    CHECK(most_resident - memory_before < machine_memory);
    is_endless = false;
    fixture.run_for(100ms);
    const caller_double& last =
        fixture.call(gateway_fixture::request_text("Deadline-Ms: 3000\r\n"));
    REQUIRE(fixture.run_until([&] { return is_answered(last); }));
    CHECK(status_of(last) == "200");
}

// Guards against a pipelined request that is lost behind another one on the
// same connection.
TEST_CASE("pipelined requests are answered in order")
{
    gateway_fixture fixture{gateway_fixture::make_route(call_kind::repeatable)};
    int number = 0;
    backend_double& backend = fixture.add_backend(
        [&](connection& to, const received_request&)
        { to.write(make_response("200 OK", fmt::format("n{}", ++number))); });
    const caller_double& caller = fixture.call(
        gateway_fixture::request_text() + gateway_fixture::request_text() +
        gateway_fixture::request_text());
    REQUIRE(
        fixture.run_until([&] { return caller.received().ends_with("n3"); }));
    CHECK(caller.received().find("n1") < caller.received().find("n2"));
    CHECK(backend.connections() == 1);
}
