#ifndef HICKORYGAP_TESTS_CONNECTION_HTTP_RAW_CLIENT_HPP
#define HICKORYGAP_TESTS_CONNECTION_HTTP_RAW_CLIENT_HPP

#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hickorygap::testing
{

struct raw_response
{
    // Zero when the connection closed before a whole header block.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false;
};

// HTTP client that sends arbitrary bytes, for malformed and pipelined requests.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port);

    // Uses a connected socket, for example a TLS socket. The receive timeout
    // fails a test that would otherwise hang; no passing test reaches the usual
    // one.
    explicit raw_client(
        const Poco::Net::StreamSocket& socket,
        const Poco::Timespan& receive_timeout = Poco::Timespan{60, 0});

    void send(std::string_view text);

    // Reads one response and decodes a chunked body.
    raw_response read_response();

    // Reads until the text has arrived; false when the connection ends first.
    bool read_until(std::string_view text);

    // Received bytes that read_response has not consumed.
    const std::string& received() const
    {
        return received_;
    }

    // Whether unread input is available on the socket.
    bool has_input();

    // Reads until the server has closed the connection; false when it is still
    // open after the receive timeout.
    bool at_end();

    void close();

private:
    bool read_more();
    bool read_line(std::string& line);
    bool read_bytes(std::size_t count, std::string& bytes);
    bool read_chunks(std::string& body);

    Poco::Net::StreamSocket socket_;
    std::string received_;
    bool timed_out_ = false;
};

// Text of a request with a Content-Length.
std::string make_request(
    std::string_view method, std::string_view path, std::string_view headers,
    std::string_view body);

std::string chat_request_text(
    std::string_view body, std::string_view headers = {},
    std::string_view key = "key-diarroi");

std::string
booking_request_text(std::string_view body, std::string_view idempotency_key);

} // namespace hickorygap::testing

#endif
