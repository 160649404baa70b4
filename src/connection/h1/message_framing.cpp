#include "connection/h1/message_framing.hpp"

#include "common/text.hpp"

#include <Poco/Net/MessageHeader.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <charconv>

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

constexpr std::string_view line_end = "\r\n";
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

// Splits the first line, without its CRLF, off the text.
std::string_view take_line(std::string_view& text)
{
    const std::size_t end = std::min(text.find(line_end), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + line_end.size(), text.size()));
    return line;
}

// Whether a header block, including its final empty line, is well formed: CRLF
// line ends, a start line, field names that are tokens directly followed by a
// colon, no folded lines and no control characters. Refuses header blocks that
// other HTTP implementations might parse differently.
bool is_well_formed_head(std::string_view head)
{
    bool first = true;
    while (!head.empty())
    {
        if (head.find(line_end) == std::string_view::npos)
        {
            return false;
        }
        const std::string_view line = take_line(head);
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

bool is_supported_version(std::string_view version)
{
    return version == Poco::Net::HTTPMessage::HTTP_1_1 ||
           version == Poco::Net::HTTPMessage::HTTP_1_0;
}

// Adds the fields of a well-formed header block with the bytes of their values
// as they are. Poco's own reader would decode encoded words (RFC 2047), and a
// decoded value may contain line ends.
void add_fields(std::string_view lines, Poco::Net::MessageHeader& header)
{
    for (std::string_view line = take_line(lines); !line.empty();
         line = take_line(lines))
    {
        const std::size_t colon = line.find(':');
        header.add(
            std::string{line.substr(0, colon)},
            std::string{strip(line.substr(colon + 1))});
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

std::vector<std::string_view>
connection_options(const Poco::Net::MessageHeader& header)
{
    std::vector<std::string_view> options;
    for (const auto& [name, value] : header)
    {
        if (equals_ignoring_case(name, Poco::Net::HTTPMessage::CONNECTION))
        {
            for (const std::string_view option : split(value, ','))
            {
                options.push_back(strip(option));
            }
        }
    }
    return options;
}

bool keeps_open(const Poco::Net::HTTPMessage& message)
{
    const auto options = connection_options(message);
    const auto has = [&](std::string_view option)
    {
        return std::ranges::any_of(
            options, [&](std::string_view listed)
            { return equals_ignoring_case(listed, option); });
    };
    return !has(Poco::Net::HTTPMessage::CONNECTION_CLOSE) &&
           (message.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1 ||
            has(Poco::Net::HTTPMessage::CONNECTION_KEEP_ALIVE));
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

bool parse_head(std::string_view head, Poco::Net::HTTPRequest& request)
{
    if (!is_well_formed_head(head))
    {
        return false;
    }
    const std::string_view line = take_line(head);
    const auto words = split(line, ' ');
    constexpr std::size_t word_count = 3;
    if (words.size() != word_count || words[0].empty() || words[1].empty() ||
        !std::ranges::all_of(words[0], is_token_character) ||
        line.find('\t') != std::string_view::npos ||
        !is_supported_version(words[2]))
    {
        return false;
    }
    request.setMethod(std::string{words[0]});
    request.setURI(std::string{words[1]});
    request.setVersion(std::string{words[2]});
    add_fields(head, request);
    return true;
}

bool parse_head(std::string_view head, Poco::Net::HTTPResponse& response)
{
    if (!is_well_formed_head(head) || contains_second_status_line(head))
    {
        return false;
    }
    // The reason may be empty, with or without the space before it.
    const std::string_view line = take_line(head);
    const std::size_t version_end = std::min(line.find(' '), line.size());
    const std::string_view rest = strip(line.substr(version_end));
    const std::string_view digits = rest.substr(0, rest.find(' '));
    constexpr std::size_t status_digits = 3;
    // RFC 9110 section 15: other status codes are invalid. A switch of
    // protocols is never asked for.
    constexpr int first_status = 100;
    constexpr int last_status = 599;
    int status = 0;
    if (!is_supported_version(line.substr(0, version_end)) ||
        digits.size() != status_digits || !parse_number(digits, status) ||
        status < first_status || status > last_status ||
        status == Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS)
    {
        return false;
    }
    response.setVersion(std::string{line.substr(0, version_end)});
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status),
        std::string{strip(rest.substr(digits.size()))});
    add_fields(head, response);
    return true;
}

std::optional<body_framing>
request_framing(const Poco::Net::HTTPRequest& request)
{
    return parse_framing(request, body_kind::none);
}

std::optional<body_framing>
read_request_head(std::string_view head, Poco::Net::HTTPRequest& request)
{
    if (!parse_head(head, request))
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
