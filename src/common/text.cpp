#include "common/text.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true)
    {
        const std::size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
        {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

std::string_view strip(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::string lower_case(std::string_view text)
{
    std::string result{text};
    std::ranges::transform(result, result.begin(), lower);
    return result;
}

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return std::ranges::equal(
        left, right, [](char a, char b) { return lower(a) == lower(b); });
}

} // namespace hickorygap
