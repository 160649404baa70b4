#ifndef HICKORYGAP_TESTS_SCENARIOS_RUNNER_SCRIPT_HPP
#define HICKORYGAP_TESTS_SCENARIOS_RUNNER_SCRIPT_HPP

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap::testing
{

// One line of a scenario: a verb, its positional words and its key=value
// options.
struct script_line
{
    std::size_t number = 0;
    std::string text;
    std::string verb;
    std::vector<std::string> words;
    std::map<std::string, std::string> options;

    std::string
    option(const std::string& key, std::string_view fallback = "") const
    {
        const auto found = options.find(key);
        return found == options.end() ? std::string{fallback} : found->second;
    }
};

// Parses a scenario. Error: invalid_argument for an unknown verb; the message
// names the line and the known verbs.
absl::StatusOr<std::vector<script_line>> parse_script(std::string_view text);

// Returns invalid_argument with the number and the text of the line.
absl::Status line_error(const script_line& line, std::string_view what);

} // namespace hickorygap::testing

#endif
