#ifndef HICKORYGAP_PROCESS_EXPLAIN_LOG_RECORD_HPP
#define HICKORYGAP_PROCESS_EXPLAIN_LOG_RECORD_HPP

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hickorygap
{

// One line of a process's log.
struct log_record
{
    // Process that wrote it: the last word before the time, which collectors
    // of logs add, or else the name that the caller gave.
    std::string source;

    // Unix time by the clock of that process.
    std::chrono::milliseconds time{0};
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;

    // From the time on.
    std::string text;

    // Empty for a field that the line lacks.
    std::string_view field(std::string_view name) const;

    // Zero for a field that is missing or no number.
    double number(std::string_view name) const;
};

// Nothing for text that is no line of a log.
std::optional<log_record>
parse_log_line(std::string_view line, std::string_view source);

} // namespace hickorygap

#endif
