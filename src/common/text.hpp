#ifndef HICKORYGAP_COMMON_TEXT_HPP
#define HICKORYGAP_COMMON_TEXT_HPP

#include <charconv>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickorygap
{

// Splits a text at each separator; one part when there is no separator.
std::vector<std::string_view> split(std::string_view text, char separator);

// Removes spaces and tabs at both ends.
std::string_view strip(std::string_view text);

// Converts ASCII letters to lower case.
std::string lower_case(std::string_view text);

bool equals_ignoring_case(std::string_view left, std::string_view right);

// Parses the whole text as a number, without blanks; unsigned types accept no
// sign. Returns false for other text, `output` is then unspecified.
template <typename Number>
bool parse_number(std::string_view text, Number& output, int base = 10)
{
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, output, base);
    return !text.empty() && error == std::errc{} && end == last;
}

// Transparent hash, so that maps can be searched with std::string_view.
struct name_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view name) const
    {
        return std::hash<std::string_view>{}(name);
    }
};

template <typename Value>
using name_map =
    std::unordered_map<std::string, Value, name_hash, std::equal_to<>>;

// Empties the text and gives its memory back, which an assignment of an empty
// text would keep.
inline void release_memory(std::string& text)
{
    std::string{}.swap(text);
}

} // namespace hickorygap

#endif
