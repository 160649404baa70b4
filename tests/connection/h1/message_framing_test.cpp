#include "connection/h1/event_splitter.hpp"
#include "connection/h1/request_reader.hpp"
#include "connection/h1/response_reader.hpp"

#include <catch2/catch.hpp>

#include <ctime>
#include <string>
#include <tuple>
#include <vector>

using namespace hickorygap;
using Poco::Net::HTTPResponse;

namespace
{

// Passes a text to the reader in pieces of the given size and returns the last
// state.
request_reader::state read_in_pieces(
    request_reader& reader, const std::string& text, std::size_t piece)
{
    std::string input;
    auto state = request_reader::state::incomplete;
    for (std::size_t i = 0; i < text.size(); i += piece)
    {
        input += text.substr(i, piece);
        state = reader.read(input, {});
        if (state != request_reader::state::incomplete)
        {
            break;
        }
    }
    return state;
}

} // namespace

// Guards against request smuggling: the remainder of a request that other HTTP
// implementations would delimit differently must never be served as a second
// request.
TEST_CASE("a malformed request or one with ambiguous framing is refused")
{
    const auto [text, status] =
        GENERATE(table<std::string, HTTPResponse::HTTPStatus>({
            {"POST / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 30\r\n"
             "\r\nGET /x HTTP/1.1\r\n\r\n",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
             "chunked\r\n\r\n0\r\n\r\n",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"GET / HTTP/1.1\r\nA: b\nB: c\r\n\r\n",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"GET /a b HTTP/1.1\r\n\r\n", HTTPResponse::HTTP_BAD_REQUEST},
            {"GET / HTTP/2.0\r\n\r\n", HTTPResponse::HTTP_BAD_REQUEST},
            {"GET  HTTP/1.1\r\n\r\n", HTTPResponse::HTTP_BAD_REQUEST},
            {"G@T / HTTP/1.1\r\n\r\n", HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nContent-Length: =?utf-8?Q?3?=\r\n\r\nabc",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: =?utf-8?Q?chunked?=\r\n"
             "\r\n0\r\n\r\n",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
             "0;x\n\r\n\r\n",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nabcX\r\n0\r\n\r\n",
             HTTPResponse::HTTP_BAD_REQUEST},
            {"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
             HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE},
            {"GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n",
             HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE},
        }));
    CAPTURE(text);
    const auto piece = GENERATE(std::size_t{1}, std::size_t{100000});
    request_reader reader;
    CHECK(read_in_pieces(reader, text, piece) == request_reader::state::failed);
    CHECK(reader.failure() == status);
    // After the failure no further request is read from the connection.
    std::string more = "GET /smuggled HTTP/1.1\r\n\r\n";
    CHECK(reader.read(more, {}) == request_reader::state::failed);
}

// Guards against a field value that a library decodes or joins between the
// check of its bytes and their forwarding: a decoded value can contain line
// ends, and thereby a second request or response (review/2).
TEST_CASE("fields have the bytes that arrived")
{
    const std::string value = GENERATE(
        as<std::string>{}, "=?utf-8?B?eA0KQ29udGVudC1MZW5ndGg6IDANCg0K?=",
        "=?utf-8?Q?a=0D=0AT:=20b?=", "=?iso-8859-1?Q?=A1?= =?utf-8?Q?b?=",
        "\"=?utf-8?B?eA==?=\"", "a\tb  c", "%0D%0A\\r\\n", "\xC3\xA9\xA1", "",
        std::string(9000, 'x'));
    CAPTURE(value);
    const std::string fields = "Note:" + value + "\r\nnote: \t2 \r\n\r\n";
    request_reader requests;
    std::string input = "GET /a HTTP/1.1\r\n" + fields;
    REQUIRE(requests.read(input, {}) == request_reader::state::complete);
    const received_request request = requests.take();
    response_reader responses{"GET"};
    input = "HTTP/1.1 204 " + value + "\r\n" + fields;
    REQUIRE(responses.read(input) == response_reader::state::complete);
    CHECK(responses.head().getReason() == value);
    const auto values = [](const Poco::Net::MessageHeader& header)
    {
        std::vector<std::string> result;
        for (const auto& [name, text] : header)
        {
            result.push_back(text);
        }
        return result;
    };
    const std::vector<std::string> expected{value, "2"};
    CHECK(values(*request.head) == expected);
    CHECK(values(responses.head()) == expected);
}

// Guards against a connection that is reused although its peer closes it.
TEST_CASE("the options of all Connection fields count")
{
    const auto [head, stays] = GENERATE(table<std::string, bool>({
        {"HTTP/1.1 204 \r\n\r\n", true},
        {"HTTP/1.1 204 \r\nConnection: a\r\nconnection: b, Close\r\n\r\n",
         false},
        {"HTTP/1.1 204\r\nConnection: keep-alive, x\r\n\r\n", true},
        {"HTTP/1.0 204 \r\n\r\n", false},
        {"HTTP/1.0 204 \r\nConnection: Keep-Alive\r\n\r\n", true},
    }));
    CAPTURE(head);
    response_reader reader{"GET"};
    std::string input = head;
    REQUIRE(reader.read(input) == response_reader::state::complete);
    CHECK(reader.keeps_connection() == stays);
}

// Guards against a body that depends on how TCP splits the bytes, and against
// losing the first bytes of the next request.
TEST_CASE("consecutive requests are read completely")
{
    const auto [text, body] = GENERATE(table<std::string, std::string>({
        {"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", ""},
        {"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", "hello"},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nT: v\r\n\r\n",
         "hello!"},
        {"\r\nGET /a HTTP/1.1\r\n\r\n", ""},
    }));
    CAPTURE(text);
    const auto piece = GENERATE(
        std::size_t{1}, std::size_t{2}, std::size_t{7}, std::size_t{1000});
    request_reader reader;
    REQUIRE(
        read_in_pieces(reader, text, piece) == request_reader::state::complete);
    const received_request request = reader.take();
    CHECK(request.head->getURI() == "/a");
    CHECK(request.body == body);
    std::string next = "GET /b HTTP/1.1\r\n\r\n";
    REQUIRE(reader.read(next, {}) == request_reader::state::complete);
    CHECK(reader.take().head->getURI() == "/b");
}

// Guards against a truncated response that is taken for a complete one.
TEST_CASE("a response is complete only at the end of its framing")
{
    using state = response_reader::state;
    const auto [text, before_end, after_end] =
        GENERATE(table<std::string, state, state>({
            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
             state::complete, state::complete},
            {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello",
             state::body_incomplete, state::broken},
            {"HTTP/1.1 200 OK\r\n\r\nhello", state::body_incomplete,
             state::complete},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\nhello\r\n",
             state::body_incomplete, state::broken},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\nhello\r\n0\r\n\r\n",
             state::complete, state::complete},
            {"HTTP/1.1 204 No Content\r\n\r\n", state::complete,
             state::complete},
            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
             "Content-Length: 0\r\n\r\n",
             state::complete, state::complete},
            {"HTTP/1.1 200 OK\r\nContent-Len", state::head_incomplete,
             state::broken},
            {"\x01\x02garbage\r\n\r\n", state::broken, state::broken},
            // The first response broke off inside its head.
            {"HTTP/1.1 503 ServHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
             state::broken, state::broken},
            {"HTTP/1.1 503 No\r\nRetry-After: 0.HTTP/1.0 200 OK\r\n"
             "Content-Length: 0\r\n\r\n",
             state::broken, state::broken},
            {"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 a\r\nContent-Length: 0\r\n\r\n",
             state::complete, state::complete},
        }));
    CAPTURE(text);
    response_reader reader{"POST"};
    std::string input = text;
    CHECK(reader.read(input) == before_end);
    CHECK(reader.finish() == after_end);
}

// Guards against a second response on the same connection that is taken for a
// part of the first.
TEST_CASE("bytes after a response stay in the input")
{
    response_reader reader{"GET"};
    std::string input =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    CHECK(reader.read(input) == response_reader::state::complete);
    CHECK(reader.body() == "ok");
    CHECK(input == "HTTP/1.1 200 OK\r\n");
}

// Guards against a partial event that is forwarded to a caller.
TEST_CASE("only complete events are read from a stream")
{
    const auto piece =
        GENERATE(std::size_t{1}, std::size_t{5}, std::size_t{99});
    const std::string text =
        "id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\ndata: c\n\nid: 10\nda";
    event_splitter splitter;
    std::vector<stream_event> events;
    for (std::size_t i = 0; i < text.size(); i += piece)
    {
        std::string part = text.substr(i, piece);
        splitter.add(part);
        while (auto event = splitter.next())
        {
            events.push_back(*event);
        }
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].id == 7U);
    CHECK(events[1].id == 8U);
    CHECK_FALSE(events[2].id);
    CHECK(
        events[0].text + events[1].text + events[2].text ==
        "id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\ndata: c\n\n");
    CHECK(splitter.remainder() == "id: 10\nda");
}

// Guards against examining the buffered bytes again for each event, or for each
// piece of one: many small events in one read would hold up all other streams
// of the router.
TEST_CASE("splitting a stream takes time in proportion to its length")
{
    const auto [event, count, piece] =
        GENERATE(table<std::string, std::size_t, std::size_t>({
            {"id: 1\ndata: x\n\n", 30000, 450000},
            {std::string(240000, 'x') + "\n\n", 1, 1},
        }));
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
    {
        text += event;
    }
    event_splitter splitter;
    std::size_t found = 0;
    const std::clock_t start = std::clock();
    for (std::size_t i = 0; i < text.size(); i += piece)
    {
        std::string part = text.substr(i, piece);
        splitter.add(part);
        while (splitter.next())
        {
            ++found;
        }
    }
    CHECK(found == count);
    // Processor time, so that a busy machine does not fail the test.
    CHECK((std::clock() - start) / CLOCKS_PER_SEC < 1);
}

// Guards against shortening the input once for each blank line before a request
// or for each chunk of its body, which lets one caller hold up all others.
TEST_CASE("reading a request takes time in proportion to its length")
{
    const auto [head, repeated, end] =
        GENERATE(table<std::string, std::string, std::string>({
            {"", "\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
             "1\r\nx\r\n", "0\r\n\r\n"},
        }));
    constexpr std::size_t count = 300000;
    std::string input = head;
    for (std::size_t i = 0; i < count; ++i)
    {
        input += repeated;
    }
    input += end;
    request_reader reader;
    const std::clock_t start = std::clock();
    CHECK(reader.read(input, {}) == request_reader::state::complete);
    CHECK((std::clock() - start) / CLOCKS_PER_SEC < 1);
    CHECK(input.empty());
    CHECK(reader.take().body == (head.empty() ? "" : std::string(count, 'x')));
}
