#ifndef HICKORYGAP_CONNECTION_H1_MESSAGE_FRAMING_HPP
#define HICKORYGAP_CONNECTION_H1_MESSAGE_FRAMING_HPP

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Response field with the delay in seconds before a retry, RFC 9110 section
// 10.2.3.
inline constexpr std::string_view retry_after_field = "Retry-After";

// Longest accepted head of a response, in bytes; larger than any that the
// backend servers send.
inline constexpr std::size_t max_response_head_bytes = std::size_t{64} * 1024;

// How the end of a message body is determined.
enum class body_kind
{
    none,
    length,
    chunked,

    // The body ends with the connection; responses only.
    until_close
};

struct body_framing
{
    body_kind kind = body_kind::none;

    // Bytes of a body of kind length.
    std::uint64_t length = 0;
};

// Position after the empty line that ends a header block; nullopt when it has
// not arrived.
std::optional<std::size_t> find_head_end(std::string_view input);

// Parses a header block, including its final empty line, into an empty message.
// The values of the fields have the bytes that were received, without the
// blanks around them. False when the block is malformed or other HTTP
// implementations might parse it differently (line ends other than CRLF, folded
// lines, names that are no tokens, control characters), when the start line
// isn't one of HTTP/1.0 or HTTP/1.1, or when a response's header block contains
// the status line of another response.
bool parse_head(std::string_view head, Poco::Net::HTTPRequest& request);
bool parse_head(std::string_view head, Poco::Net::HTTPResponse& response);

// Whether a field is a hop-by-hop field or belongs to the framing of one
// message, so that a proxy must not forward it.
bool is_connection_field(std::string_view name);

// The options of all Connection fields of a message, in order. The views refer
// to the message.
std::vector<std::string_view>
connection_options(const Poco::Net::MessageHeader& header);

// Whether the sender of the message keeps its connection open, RFC 9112 section
// 9.3.
bool keeps_open(const Poco::Net::HTTPMessage& message);

// Framing of a request's body; nullopt when it is ambiguous: more than one
// length, a length together with an encoding, or any encoding other than a
// single `chunked`.
std::optional<body_framing>
request_framing(const Poco::Net::HTTPRequest& request);

// Parses a request's header block, including its final empty line, and returns
// the framing of its body; nullopt when the header block is malformed or the
// framing is ambiguous.
std::optional<body_framing>
read_request_head(std::string_view head, Poco::Net::HTTPRequest& request);

// Framing of the body of a response to a request with the method; nullopt when
// it is ambiguous.
std::optional<body_framing> response_framing(
    const Poco::Net::HTTPResponse& response, std::string_view method);

// Decodes the bytes of one message body.
class body_decoder
{
public:
    enum class state
    {
        incomplete,
        complete,
        broken
    };

    body_decoder() = default;
    explicit body_decoder(body_framing framing);

    // Moves the body from the front of the input, without its framing, to the
    // end of the output. Bytes after the end of the body stay in the input.
    state decode(std::string& input, std::string& output);

    // To be called when the peer has closed the connection.
    state finish();

    state current() const
    {
        return state_;
    }

private:
    enum class chunk_part
    {
        size_line,
        data,
        data_end,
        trailer
    };

    void decode_length(std::string& input, std::string& output);
    void decode_chunked(std::string_view& input, std::string& output);
    bool read_line(std::string_view& input, std::string_view& line);

    body_framing framing_;
    state state_ = state::complete;
    std::uint64_t remaining_ = 0;
    chunk_part part_ = chunk_part::size_line;
    std::size_t trailer_bytes_ = 0;
};

} // namespace hickorygap

#endif
