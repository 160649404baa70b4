#include "connection/h1/message_framing.hpp"

#include "common/text.hpp"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/MessageHeader.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace hickorygap
{

namespace
{

// Longest chunk size line, including its extensions.
constexpr std::size_t max_chunk_line_bytes = 256;

// Longest trailer section after a chunked body.
constexpr std::size_t max_trailer_bytes = 8192;

// Most decimal digits of a Content-Length; more could overflow 64 bits.
constexpr std::size_t max_length_digits = 18;

constexpr std::string_view content_length_name = "Content-Length";
constexpr std::string_view transfer_encoding_name = "Transfer-Encoding";

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

// Characters of a token, RFC 9110 section 5.6.2.
bool is_token_character(char c)
{
    const bool alphanumeric =
        is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return alphanumeric || others.find(c) != std::string_view::npos;
}

bool is_field_character(char c)
{
    const auto value = static_cast<unsigned char>(c);
    constexpr unsigned char delete_character = 0x7F;
    return c == '\t' || (value >= ' ' && value != delete_character);
}

bool is_well_formed_field(std::string_view line)
{
    const std::size_t colon = line.find(':');
    return colon != std::string_view::npos && colon > 0 &&
           std::ranges::all_of(line.substr(0, colon), is_token_character) &&
           std::ranges::all_of(line.substr(colon + 1), is_field_character);
}

// Whether a response's header block contains a status line after its start. It
// then consists of the start of one response, which broke off inside a line,
// and the head of the next one.
bool contains_second_status_line(std::string_view head)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_digits = 3;
    for (std::size_t at = head.find(version, 1); at != std::string_view::npos;
         at = head.find(version, at + 1))
    {
        // A digit of the version, a space and the status.
        const std::string_view rest = head.substr(at + version.size());
        if (rest.size() >= 2 + status_digits && is_digit(rest[0]) &&
            rest[1] == ' ' &&
            std::ranges::all_of(rest.substr(2, status_digits), is_digit))
        {
            return true;
        }
    }
    return false;
}

template <typename Message>
bool parse_with_poco(std::string_view head, Message& message)
{
    try
    {
        Poco::MemoryInputStream stream{
            head.data(), static_cast<std::streamsize>(head.size())};
        message.read(stream);
        return message.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1 ||
               message.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
    }
    catch (const Poco::Exception&)
    {
        // The calling code responds with the status for a malformed message.
        return false;
    }
}

std::vector<std::string>
field_values(const Poco::Net::MessageHeader& header, std::string_view name)
{
    std::vector<std::string> values;
    for (const auto& [key, value] : header)
    {
        if (Poco::icompare(key, std::string{name}) == 0)
        {
            values.push_back(value);
        }
    }
    return values;
}

std::optional<std::uint64_t> parse_length(std::string_view text)
{
    std::uint64_t length = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), length);
    if (text.empty() || text.size() > max_length_digits ||
        error != std::errc{} || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return length;
}

std::optional<body_framing>
parse_framing(const Poco::Net::MessageHeader& header, body_kind default_kind)
{
    const auto lengths = field_values(header, content_length_name);
    const auto encodings = field_values(header, transfer_encoding_name);
    if (!encodings.empty())
    {
        if (encodings.size() > 1 || !lengths.empty() ||
            Poco::icompare(encodings.front(), "chunked") != 0)
        {
            return std::nullopt;
        }
        return body_framing{body_kind::chunked, 0};
    }
    if (lengths.empty())
    {
        return body_framing{default_kind, 0};
    }
    const auto length = parse_length(lengths.front());
    if (lengths.size() > 1 || !length)
    {
        return std::nullopt;
    }
    return body_framing{body_kind::length, *length};
}

} // namespace

bool is_connection_field(std::string_view name)
{
    constexpr std::array<std::string_view, 8> fields{
        "Connection",        "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
        "Transfer-Encoding", "Upgrade",    "Content-Length"};
    return std::ranges::any_of(
        fields, [name](std::string_view field)
        { return equals_ignoring_case(field, name); });
}

std::optional<std::size_t> find_head_end(std::string_view input)
{
    constexpr std::string_view end_of_head = "\r\n\r\n";
    const std::size_t end = input.find(end_of_head);
    if (end == std::string_view::npos)
    {
        return std::nullopt;
    }
    return end + end_of_head.size();
}

bool is_well_formed_head(std::string_view head)
{
    constexpr std::string_view line_end = "\r\n";
    bool first = true;
    while (!head.empty())
    {
        const std::size_t end = head.find(line_end);
        if (end == std::string_view::npos)
        {
            return false;
        }
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(end + line_end.size());
        if (line.empty())
        {
            return !first && head.empty();
        }
        const bool well_formed =
            first ? std::ranges::all_of(line, is_field_character)
                  : is_well_formed_field(line);
        if (!well_formed)
        {
            return false;
        }
        first = false;
    }
    return false;
}

bool parse_head(std::string_view head, Poco::Net::HTTPRequest& request)
{
    // A request line has exactly two spaces, one on each side of the target.
    const std::string_view line = head.substr(0, head.find('\r'));
    return std::ranges::count(line, ' ') == 2 &&
           line.find('\t') == std::string_view::npos &&
           parse_with_poco(head, request);
}

bool parse_head(std::string_view head, Poco::Net::HTTPResponse& response)
{
    return !contains_second_status_line(head) &&
           parse_with_poco(head, response);
}

std::optional<body_framing>
request_framing(const Poco::Net::HTTPRequest& request)
{
    return parse_framing(request, body_kind::none);
}

std::optional<body_framing>
read_request_head(std::string_view head, Poco::Net::HTTPRequest& request)
{
    if (!is_well_formed_head(head) || !parse_head(head, request))
    {
        return std::nullopt;
    }
    return request_framing(request);
}

std::optional<body_framing> response_framing(
    const Poco::Net::HTTPResponse& response, std::string_view method)
{
    const auto status = response.getStatus();
    if (method == Poco::Net::HTTPRequest::HTTP_HEAD ||
        status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT ||
        status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED)
    {
        return body_framing{};
    }
    return parse_framing(response, body_kind::until_close);
}

body_decoder::body_decoder(body_framing framing)
    : framing_{framing}
    , state_{state::incomplete}
    , remaining_{framing.length}
{
    if (framing.kind == body_kind::none ||
        (framing.kind == body_kind::length && framing.length == 0))
    {
        state_ = state::complete;
    }
}

body_decoder::state
body_decoder::decode(std::string& input, std::string& output)
{
    if (state_ != state::incomplete)
    {
        return state_;
    }
    switch (framing_.kind)
    {
    case body_kind::length:
        decode_length(input, output);
        break;
    case body_kind::chunked:
    {
        // Chunks may be single bytes, so the input is shortened only once.
        std::string_view rest{input};
        decode_chunked(rest, output);
        input.erase(0, input.size() - rest.size());
        break;
    }
    case body_kind::until_close:
        output.append(input);
        input.clear();
        break;
    case body_kind::none:
        break;
    }
    return state_;
}

body_decoder::state body_decoder::finish()
{
    if (state_ == state::incomplete)
    {
        state_ = framing_.kind == body_kind::until_close ? state::complete
                                                         : state::broken;
    }
    return state_;
}

void body_decoder::decode_length(std::string& input, std::string& output)
{
    const std::size_t count = static_cast<std::size_t>(
        std::min<std::uint64_t>(remaining_, input.size()));
    output.append(input, 0, count);
    input.erase(0, count);
    remaining_ -= count;
    if (remaining_ == 0)
    {
        state_ = state::complete;
    }
}

// Moves one line without its CRLF out of the input. False while the line is
// incomplete, or when it is malformed.
bool body_decoder::read_line(std::string_view& input, std::string_view& line)
{
    const std::size_t end = input.find("\r\n");
    if (end == std::string_view::npos)
    {
        if (input.size() > max_chunk_line_bytes)
        {
            state_ = state::broken;
        }
        return false;
    }
    line = input.substr(0, end);
    input.remove_prefix(end + 2);
    // A lone line feed is refused, because other HTTP implementations may treat
    // it as the end of the line.
    if (!std::ranges::all_of(line, is_field_character))
    {
        state_ = state::broken;
        return false;
    }
    return true;
}

void body_decoder::decode_chunked(std::string_view& input, std::string& output)
{
    std::string_view line;
    while (state_ == state::incomplete)
    {
        switch (part_)
        {
        case chunk_part::size_line:
        {
            if (!read_line(input, line))
            {
                return;
            }
            const std::string_view digits = line.substr(0, line.find(';'));
            constexpr int hexadecimal = 16;
            constexpr std::size_t max_digits = 15;
            const auto [end, error] = std::from_chars(
                digits.data(), digits.data() + digits.size(), remaining_,
                hexadecimal);
            if (digits.empty() || digits.size() > max_digits ||
                error != std::errc{} || end != digits.data() + digits.size())
            {
                state_ = state::broken;
                return;
            }
            part_ = remaining_ == 0 ? chunk_part::trailer : chunk_part::data;
            break;
        }
        case chunk_part::data:
        {
            const std::size_t count = static_cast<std::size_t>(
                std::min<std::uint64_t>(remaining_, input.size()));
            output.append(input.substr(0, count));
            input.remove_prefix(count);
            remaining_ -= count;
            if (remaining_ != 0)
            {
                return;
            }
            part_ = chunk_part::data_end;
            break;
        }
        case chunk_part::data_end:
            if (input.size() < 2)
            {
                return;
            }
            if (!input.starts_with("\r\n"))
            {
                state_ = state::broken;
                return;
            }
            input.remove_prefix(2);
            part_ = chunk_part::size_line;
            break;
        case chunk_part::trailer:
            if (!read_line(input, line))
            {
                return;
            }
            trailer_bytes_ += line.size();
            if (line.empty())
            {
                state_ = state::complete;
            }
            else if (trailer_bytes_ > max_trailer_bytes)
            {
                state_ = state::broken;
            }
            break;
        }
    }
}

} // namespace hickorygap
