#include "common/hashing.hpp"
#include "process/gateway/gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

using connection = backend_double::connection;

// What the first server does before a server of the other version is asked.
enum class first_server
{
    rejects,
    breaks,
    breaks_after_head,

    // Falls silent, and goes on while the second server has not responded.
    goes_on
};

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nReply-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string event_of(std::string_view version)
{
    const std::string text = fmt::format("id: 1\ndata: {}\n\n", version);
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

void respond_first(
    event_loop& loop, first_server behaviour, connection& to,
    const std::string& version)
{
    switch (behaviour)
    {
    case first_server::rejects:
        to.write("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a1\r\n"
                 "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        break;
    case first_server::breaks:
        to.close();
        break;
    case first_server::breaks_after_head:
        to.write(stream_head);
        to.close();
        break;
    case first_server::goes_on:
        loop.after(
            250ms,
            [&to, version] { to.write(stream_head + event_of(version)); });
        break;
    }
}

} // namespace

// Guards against voters that hold another version of a stream than that of the
// server whose events the caller has: the request was first sent to a server of
// the other version, whether or not the voters can be told of the second one. A
// caller who takes the stream up would get the rest from the wrong version.
TEST_CASE("voters hold the version of the events or none")
{
    const first_server behaviour = GENERATE(
        first_server::rejects, first_server::breaks,
        first_server::breaks_after_head, first_server::goes_on);
    const bool loses_links = GENERATE(false, true);
    CAPTURE(behaviour, loses_links);
    route routed = gateway_fixture::make_route(call_kind::streaming, 2);
    routed.resumable = true;
    routed.timeout = 3s;
    gateway_fixture fixture{routed};
    int asked = 0;
    stream_versions held_by_voters;
    fixture.context().streams().set_send(
        [&](const wire::streams_sent_msg& message)
        {
            if (loses_links && asked > 0)
            {
                return;
            }
            for (const auto& item : message.streams)
            {
                held_by_voters.add(
                    item.stream(), item.version(),
                    fixture.context().loop().now());
            }
        },
        {});
    for (const std::string version : {"v1", "v2"})
    {
        fixture.add_backend(
            [&, version](connection& to, const received_request& /*request*/)
            {
                if (++asked == 1)
                {
                    respond_first(
                        fixture.context().loop(), behaviour, to, version);
                }
                else if (behaviour != first_server::goes_on)
                {
                    to.write(stream_head + event_of(version));
                }
            },
            version);
    }
    const caller_double& caller = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until(
        [&] { return caller.received().find("id: 1") != std::string::npos; }));
    CHECK(asked == 2);
    const bool is_first =
        caller.received().find("data: v1") != std::string::npos;
    const auto held =
        held_by_voters.find(hash_name("a1"), fixture.context().loop().now());
    if (!loses_links || held)
    {
        CHECK(held == software_version_of("reports", is_first ? "v1" : "v2"));
    }
}

// Guards against a caller who gets the rest of a stream from another version
// than its beginning: it sent its request again after an attempt whose events
// never reached it, and the routers of both attempts told the voters a version,
// in either order. Such a stream is refused; under the name of the attempt that
// began it, it goes on.
TEST_CASE("a stream that two routers began at two versions is not known")
{
    const bool is_late = GENERATE(false, true);
    CAPTURE(is_late);
    route routed = gateway_fixture::make_route(call_kind::streaming, 2);
    routed.resumable = true;
    gateway_fixture fixture{routed};
    const auto now = [&] { return fixture.context().loop().now(); };
    const software_version_id other = software_version_of("reports", "v1");
    stream_versions held_by_voters;
    fixture.context().streams().set_send(
        [&](const wire::streams_sent_msg& message)
        {
            for (const auto& item : message.streams)
            {
                held_by_voters.add(item.stream(), item.version(), now());
            }
        },
        {});
    fixture.add_backend(
        [](connection& to, const received_request& request)
        {
            to.write(
                "HTTP/1.1 200 OK\r\nRequest-Id: " +
                request.head->get("Request-Id") +
                "\r\nReply-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
                event_of("v2"));
        },
        "v2");
    if (!is_late)
    {
        held_by_voters.add(hash_name("a1"), other, now());
    }
    const caller_double& caller = fixture.call(
        gateway_fixture::request_text("Resumes: a1\r\n", "", "POST", "b1"));
    REQUIRE(fixture.run_until(
        [&] { return caller.received().find("id: 1") != std::string::npos; }));
    if (is_late)
    {
        held_by_voters.add(hash_name("a1"), other, now());
    }
    CHECK(held_by_voters.find(hash_name("a1"), now()) == std::nullopt);
    CHECK(
        held_by_voters.find(hash_name("b1"), now()) ==
        software_version_of("reports", "v2"));
}
