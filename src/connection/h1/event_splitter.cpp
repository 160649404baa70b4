#include "connection/h1/event_splitter.hpp"

#include <charconv>

namespace hickorygap
{

namespace
{

std::optional<std::uint64_t> parse_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty())
    {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(
            end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(field))
        {
            continue;
        }
        line.remove_prefix(field.size());
        while (line.starts_with(' '))
        {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        std::uint64_t id = 0;
        const auto [last, error] =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc{} && last == line.data() + line.size())
        {
            return id;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

bool has_only_comments(std::string_view event)
{
    bool starts_line = true;
    for (const char character : event)
    {
        if (starts_line && character != ':' && character != '\n' &&
            character != '\r')
        {
            return false;
        }
        starts_line = character == '\n';
    }
    return true;
}

// Position after the empty line that ends the first event; npos when it has not
// arrived.
std::size_t find_event_end(std::string_view text)
{
    const std::size_t lf_end = text.find("\n\n");
    const std::size_t crlf_end = text.find("\n\r\n");
    if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos)
    {
        return std::string_view::npos;
    }
    return lf_end < crlf_end ? lf_end + 2 : crlf_end + 3;
}

} // namespace

void event_splitter::add(std::string& input)
{
    buffer_.append(input);
    input.clear();
}

std::optional<stream_event> event_splitter::next()
{
    const std::size_t end = find_event_end(buffer_);
    if (end == std::string_view::npos)
    {
        return std::nullopt;
    }
    stream_event event;
    event.text = buffer_.substr(0, end);
    event.id = parse_id(event.text);
    event.is_comment = has_only_comments(event.text);
    buffer_.erase(0, end);
    return event;
}

bool event_splitter::has_data_event() const
{
    std::string_view rest = buffer_;
    for (std::size_t end = find_event_end(rest); end != std::string_view::npos;
         end = find_event_end(rest))
    {
        if (!has_only_comments(rest.substr(0, end)))
        {
            return true;
        }
        rest.remove_prefix(end);
    }
    return false;
}

} // namespace hickorygap
