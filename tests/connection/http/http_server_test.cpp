#include "connection/http/relay_fixture.hpp"
#include "connection/http/request_body.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::testing;

namespace
{

// Responds with the request's path; requests for /wait block until `released`
// is set.
class path_handler : public http_handler
{
public:
    void handle(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response) override
    {
        if (request.getURI() == "/wait")
        {
            ++waiting;
            eventually([this] { return released.load(); });
        }
        const std::string path = request.getURI();
        response.sendBuffer(path.data(), path.size());
    }

    std::atomic<int> waiting{0};
    std::atomic<bool> released{false};
};

struct server_fixture
{
    explicit server_fixture(const http_server_options& options = {})
        : server(options, handler)
    {
        REQUIRE(server.start().ok());
    }

    ~server_fixture()
    {
        handler.released = true;
    }

    path_handler handler;
    http_server server;
};

std::string many_fields()
{
    std::string text;
    for (int i = 0; i < 200; ++i)
    {
        text += "X-Field: x\r\n";
    }
    return text;
}

std::string get(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n";
}

} // namespace

// Guards against pipelined requests that are lost or answered out of order,
// also after an unread body and with a header block in two parts.
TEST_CASE("pipelined requests are answered in order")
{
    server_fixture fixture;
    raw_client client{fixture.server.port()};

    client.send(
        get("/1") + get("/2") +
        make_request("POST", "/3", "", "an unread body") + get("/4") +
        get("/5").substr(0, 10));
    for (const char* path : {"/1", "/2", "/3", "/4"})
    {
        CHECK(client.read_response().body == path);
    }
    client.send(get("/5").substr(10));
    CHECK(client.read_response().body == "/5");
}

// Guards against idle connections that occupy worker threads.
TEST_CASE("many idle connections share few threads")
{
    http_server_options options;
    options.threads = 2;
    server_fixture fixture{options};
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 200; ++i)
    {
        clients.push_back(std::make_unique<raw_client>(fixture.server.port()));
    }

    for (int round = 0; round < 2; ++round)
    {
        for (const auto& client : clients)
        {
            client->send(get("/idle"));
        }
        for (const auto& client : clients)
        {
            REQUIRE(client->read_response().body == "/idle");
        }
    }
}

// Guards against a slow sender that occupies a worker thread or keeps its
// connection open without limit.
TEST_CASE("a slow header block occupies no thread and times out")
{
    http_server_options options;
    options.threads = 1;
    options.header_timeout = std::chrono::milliseconds{300};
    server_fixture fixture{options};
    raw_client slow{fixture.server.port()};
    slow.send("GET /slow HT");
    raw_client other{fixture.server.port()};

    other.send(get("/other"));

    CHECK(other.read_response().body == "/other");
    const raw_response refused = slow.read_response();
    CHECK(refused.status == 408);
    CHECK(refused.body.find("\"not_run\":true") != std::string::npos);
    CHECK(slow.at_end());
}

// Guards against header blocks that exhaust memory or make the framing of the
// body ambiguous (request smuggling).
TEST_CASE("an invalid header block is refused and closes the connection")
{
    const auto [text, status] = GENERATE(table<std::string, int>(
        {{"GET / HTTP/1.1\r\nX-Long: " + std::string(20000, 'x'), 413},
         {"GET / HTTP/1.1\r\nX-Long: " + std::string(17000, 'x') + "\r\n\r\n",
          413},
         {"nonsense\r\n\r\n", 400},
         {"GET / HTTP/1.1\r\n" + many_fields() + "\r\n", 400},
         {"POST / HTTP/1.1\r\nContent-Length: ten\r\n\r\n", 400},
         {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
         {"POST / HTTP/1.1\r\nHost: test\r\n\r\n", 400},
         {"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
          "Transfer-Encoding: chunked\r\n\r\n",
          400},
         {"POST / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 30\r\n"
          "\r\nGET /hidden HTTP/1.1\r\n\r\n",
          400},
         {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          400}}));
    server_fixture fixture;
    raw_client client{fixture.server.port()};

    client.send(text);
    const raw_response refused = client.read_response();

    CAPTURE(text.substr(0, 60));
    CHECK(refused.status == status);
    CHECK(refused.body.find("\"not_run\":true") != std::string::npos);
    CHECK(client.at_end());
}

// Guards against request smuggling: bytes after a malformed chunk that are
// served as another request.
TEST_CASE("a malformed chunk closes the connection after the response")
{
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
    const auto body = GENERATE_COPY(
        as<std::string>{}, "zz\r\n" + hidden, "-1\r\n" + hidden,
        "3\r\nabcd\r\n0\r\n\r\n" + hidden, "3;x\nabc\r\n" + hidden,
        "ffffffffffffffffff\r\n" + hidden);
    server_fixture fixture;
    raw_client client{fixture.server.port()};

    client.send(
        "POST /first HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        "\r\n" +
        body);
    client.read_response();

    CAPTURE(body);
    CHECK(client.at_end());
}

// Guards against idle connections that are never closed.
TEST_CASE("an idle connection is closed after the idle timeout")
{
    http_server_options options;
    options.idle_timeout = std::chrono::milliseconds{20};
    server_fixture fixture{options};
    raw_client client{fixture.server.port()};
    CHECK(client.at_end());
}

// Guards against requests that get no response while all worker threads are
// busy and the queue is full.
TEST_CASE("a request is refused immediately when the queue is full")
{
    http_server_options options;
    options.threads = 1;
    options.queue_limit = 1;
    server_fixture fixture{options};
    raw_client served{fixture.server.port()};
    served.send(get("/wait"));
    REQUIRE(eventually([&] { return fixture.handler.waiting == 1; }));
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 3; ++i)
    {
        clients.push_back(std::make_unique<raw_client>(fixture.server.port()));
        clients.back()->send(get("/other"));
    }
    // Which of them is queued depends on the order in which they are polled.
    const auto answered = [&]
    {
        return std::count_if(
            clients.begin(), clients.end(),
            [](const auto& client) { return client->has_input(); });
    };
    REQUIRE(eventually([&] { return answered() == 2; }));
    fixture.handler.released = true;

    CHECK(served.read_response().body == "/wait");
    std::vector<int> statuses;
    for (const auto& client : clients)
    {
        const raw_response response = client->read_response();
        statuses.push_back(response.status);
        const bool refused = response.status == 503;
        CHECK(response.headers.contains("retry-after") == refused);
        CHECK(
            (response.body.find("\"not_run\":true") != std::string::npos) ==
            refused);
    }
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses == std::vector{200, 503, 503});
}

// Guards against requests that stay queued behind long streams until their
// callers time out.
TEST_CASE("a request that waits too long for a worker thread is refused")
{
    http_server_options options;
    options.threads = 1;
    options.queue_timeout = std::chrono::milliseconds{1};
    server_fixture fixture{options};
    raw_client served{fixture.server.port()};
    served.send(get("/wait"));
    REQUIRE(eventually([&] { return fixture.handler.waiting == 1; }));
    raw_client waiting{fixture.server.port()};
    waiting.send(get("/other"));

    CHECK(waiting.read_response().status == 503);
    fixture.handler.released = true;
    CHECK(served.read_response().body == "/wait");
}

// Guards against a shutdown that cuts off a running stream or accepts new
// connections.
TEST_CASE("draining lets a running stream finish")
{
    relay_fixture fixture;
    std::atomic<bool> released{false};
    fixture.add_scripted(
        "eng-1", "report-7b",
        [&](scripted_backend::exchange& incoming)
        {
            incoming.start_stream();
            incoming.send_event("data: 1\n\n");
            eventually([&] { return released.load(); });
            incoming.send_event("data: 2\n\n");
            incoming.send_event("data: [DONE]\n\n");
            incoming.send("0\r\n\r\n");
        });
    fixture.start();
    raw_client idle{fixture.server.port()};
    raw_client client{fixture.server.port()};
    client.send(chat_request_text(streamed_body));
    REQUIRE(client.read_until("data: 1"));

    fixture.server.stop_accepting();
    CHECK(idle.at_end());
    CHECK_FALSE(fixture.server.drain(std::chrono::milliseconds{1}));
    CHECK_THROWS(raw_client{fixture.server.port()});
    released = true;

    CHECK(fixture.server.drain(std::chrono::minutes{1}));
    const raw_response response = client.read_response();
    CHECK(response.complete);
    CHECK(response.body == "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n");
    CHECK(client.at_end());
}

// Guards against requests that are cut off by a planned stop under load,
// because their connections were not yet accepted or not yet queued for a
// worker thread when the stop began.
TEST_CASE("requests that arrived before a planned stop are answered")
{
    constexpr int rounds = 8;
    constexpr std::size_t callers = 150;
    for (int round = 0; round < rounds; ++round)
    {
        CAPTURE(round);
        http_server_options options;
        options.queue_limit = 2 * callers;
        server_fixture fixture{options};
        std::vector<std::unique_ptr<raw_client>> clients;
        for (std::size_t i = 0; i < callers; ++i)
        {
            clients.push_back(
                std::make_unique<raw_client>(fixture.server.port()));
            clients.back()->send(get("/x"));
        }
        fixture.server.stop_accepting();
        CHECK(fixture.server.drain(std::chrono::minutes{1}));
        std::size_t answered = 0;
        for (const auto& client : clients)
        {
            answered += client->read_response().body == "/x" ? 1 : 0;
        }
        CHECK(answered == callers);
    }
}

// Guards against an instance that starts without listening on its port.
TEST_CASE("an address in use is reported")
{
    server_fixture fixture;
    http_server_options options;
    options.port = fixture.server.port();
    http_server second{options, fixture.handler};
    const absl::Status status = second.start();
    CHECK(kind_of(status) == error_kind::unreachable);
}
