#include "process/explain/log_record.hpp"

#include "common/text.hpp"

#include <array>
#include <cstdio>
#include <ctime>

namespace hickorygap
{

namespace
{

// Length of a timestamp such as 2026-03-15T17:17:58.660Z.
constexpr std::size_t time_length = 24;

// Returns the position of the first timestamp; npos when there is none.
std::size_t find_time(std::string_view line)
{
    for (std::size_t at = line.find('T'); at != std::string_view::npos;
         at = line.find('T', at + 1))
    {
        constexpr std::size_t date_length = 10;
        if (at >= date_length &&
            line.size() >= at - date_length + time_length &&
            line[at - date_length + time_length - 1] == 'Z' &&
            line[at + 3] == ':')
        {
            return at - date_length;
        }
    }
    return std::string_view::npos;
}

std::optional<std::chrono::milliseconds> parse_time(std::string_view text)
{
    std::tm calendar_time{};
    int milliseconds = 0;
    const std::string copy{text};
    constexpr int parsed_values = 7;
    constexpr int first_year = 1900;
    if (std::sscanf(
            copy.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3dZ",
            &calendar_time.tm_year, &calendar_time.tm_mon,
            &calendar_time.tm_mday, &calendar_time.tm_hour,
            &calendar_time.tm_min, &calendar_time.tm_sec,
            &milliseconds) != parsed_values)
    {
        return std::nullopt;
    }
    calendar_time.tm_year -= first_year;
    calendar_time.tm_mon -= 1;
    return std::chrono::seconds{::timegm(&calendar_time)} +
           std::chrono::milliseconds{milliseconds};
}

// Removes the next word from the front of `rest` and returns it. Spaces inside
// double quotes don't end a word.
std::string_view take_word(std::string_view& rest)
{
    rest = strip(rest);
    bool quoted = false;
    std::size_t end = 0;
    while (end < rest.size() && (quoted || rest[end] != ' '))
    {
        quoted = quoted != (rest[end] == '"');
        ++end;
    }
    const std::string_view word = rest.substr(0, end);
    rest.remove_prefix(end);
    return word;
}

} // namespace

std::string_view log_record::field(std::string_view name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view{} : found->second;
}

double log_record::number(std::string_view name) const
{
    const std::string text{field(name)};
    return text.empty() ? 0 : std::strtod(text.c_str(), nullptr);
}

std::optional<log_record>
parse_log_line(std::string_view line, std::string_view source)
{
    const std::size_t start = find_time(line);
    if (start == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto time = parse_time(line.substr(start, time_length));
    if (!time)
    {
        return std::nullopt;
    }
    log_record record;
    record.time = *time;
    record.source = source;
    std::string_view before = line.substr(0, start);
    while (!strip(before).empty())
    {
        record.source = take_word(before);
    }
    record.text = line.substr(start);
    std::string_view rest = line.substr(start + time_length);
    // Skip level and subsystem.
    take_word(rest);
    take_word(rest);
    record.event = take_word(rest);
    while (!strip(rest).empty())
    {
        const std::string_view word = take_word(rest);
        const std::size_t equals = word.find('=');
        if (equals == std::string_view::npos)
        {
            continue;
        }
        std::string_view value = word.substr(equals + 1);
        if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
        {
            value = value.substr(1, value.size() - 2);
        }
        record.fields.emplace(word.substr(0, equals), value);
    }
    return record;
}

} // namespace hickorygap
