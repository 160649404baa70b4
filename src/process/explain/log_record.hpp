#ifndef HICKORYGAP_PROCESS_EXPLAIN_LOG_RECORD_HPP
#define HICKORYGAP_PROCESS_EXPLAIN_LOG_RECORD_HPP

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hickorygap
{

// One parsed line of a process's log.
struct log_record
{
    // Process that wrote the line: the last word before the time, as log
    // collectors add it, or the name that the caller passed when there is none.
    std::string source;

    // Unix time by the wall clock of that process.
    std::chrono::milliseconds time{0};
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;

    // The line from its time to its end.
    std::string text;

    // Value of a field, without quotes; empty when the line has no such field.
    std::string_view field(std::string_view name) const;

    // Numeric value of a field; zero when it is missing or not a number.
    double number(std::string_view name) const;
};

// Parses a line of the form "[prefix] time level subsystem event key=value...".
// `source` names the process when there is no prefix. Returns nullopt for text
// that is not a log line.
std::optional<log_record>
parse_log_line(std::string_view line, std::string_view source);

} // namespace hickorygap

#endif
