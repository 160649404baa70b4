#include "scenarios/runner/script.hpp"

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace hickorygap::testing
{

namespace
{

constexpr std::array<std::string_view, 12> verbs{
    "fleet", "start", "stop", "kill", "hang", "resume",
    "cut",   "heal",  "wipe", "file", "send", "expect"};

absl::StatusOr<script_line>
parse_line(std::size_t number, std::string_view text)
{
    script_line line;
    line.number = number;
    line.text = text;
    const std::vector<std::string> parts = absl::StrSplit(
        absl::string_view{text.data(), text.size()}, ' ', absl::SkipEmpty());
    line.verb = parts.front();
    if (std::ranges::find(verbs, line.verb) == verbs.end())
    {
        return line_error(
            line, fmt::format("unknown verb; use {}", fmt::join(verbs, ", ")));
    }
    for (std::size_t i = 1; i < parts.size(); ++i)
    {
        const std::size_t equals = parts[i].find('=');
        if (equals == std::string::npos)
        {
            line.words.push_back(parts[i]);
        }
        else
        {
            line.options[parts[i].substr(0, equals)] =
                parts[i].substr(equals + 1);
        }
    }
    return line;
}

} // namespace

absl::Status line_error(const script_line& line, std::string_view what)
{
    return absl::InvalidArgumentError(
        fmt::format("line {}: {}: {}", line.number, line.text, what));
}

absl::StatusOr<std::vector<script_line>> parse_script(std::string_view text)
{
    std::vector<script_line> lines;
    std::size_t number = 0;
    for (absl::string_view raw :
         absl::StrSplit(absl::string_view{text.data(), text.size()}, '\n'))
    {
        ++number;
        const absl::string_view code = raw.substr(0, raw.find('#'));
        const absl::string_view trimmed = absl::StripAsciiWhitespace(code);
        if (trimmed.empty())
        {
            continue;
        }
        auto line = parse_line(number, {trimmed.data(), trimmed.size()});
        if (!line.ok())
        {
            return line.status();
        }
        lines.push_back(*std::move(line));
    }
    return lines;
}

} // namespace hickorygap::testing
