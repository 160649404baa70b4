#include "connection/h1/event_splitter.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

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
// arrived. `from`: a position before which no empty line starts.
std::size_t find_event_end(std::string_view text, std::size_t from)
{
    for (std::size_t line_end = text.find('\n', from);
         line_end != std::string_view::npos;
         line_end = text.find('\n', line_end + 1))
    {
        const std::string_view rest = text.substr(line_end + 1);
        if (rest.starts_with('\n'))
        {
            return line_end + 2;
        }
        if (rest.starts_with("\r\n"))
        {
            return line_end + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

void event_splitter::add(std::string& input)
{
    buffer_.append(input);
    input.clear();
}

std::optional<stream_event> event_splitter::next()
{
    const std::size_t end = find_event_end(buffer_, searched_);
    if (end == std::string_view::npos)
    {
        buffer_.erase(0, std::exchange(consumed_, 0));
        // An empty line can start with the last two bytes.
        searched_ = std::max<std::size_t>(buffer_.size(), 2) - 2;
        return std::nullopt;
    }
    stream_event event;
    event.text = buffer_.substr(consumed_, end - consumed_);
    event.id = parse_id(event.text);
    event.is_comment = has_only_comments(event.text);
    consumed_ = end;
    searched_ = end;
    return event;
}

bool event_splitter::has_data_event() const
{
    std::string_view rest = remainder();
    for (std::size_t end = find_event_end(rest, 0);
         end != std::string_view::npos; end = find_event_end(rest, 0))
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
