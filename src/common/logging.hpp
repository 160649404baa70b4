#ifndef HICKORYGAP_COMMON_LOGGING_HPP
#define HICKORYGAP_COMMON_LOGGING_HPP

#include <fmt/format.h>

#include <string_view>

namespace hickorygap
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

enum class subsystem
{
    process,
    consensus,
    membership,
    configuration,
    placement,
    http,
    attempt,
    network,
    storage,
    records,
    routing
};

// Lowest level that is written; info by default. Thread-safe.
void set_log_level(log_level level);
bool log_enabled(log_level level);

// Receives formatted lines, each with a trailing newline.
class log_sink
{
public:
    log_sink() = default;
    log_sink(const log_sink&) = delete;
    log_sink& operator=(const log_sink&) = delete;
    virtual ~log_sink() = default;

    virtual void write(log_level level, std::string_view line) = 0;
};

// Writes all further lines to the sink, or to standard error for nullptr. Not
// safe while other threads log; the sink must stay valid until it is replaced.
void set_log_sink(log_sink* sink);

// Writes one line to the sink: time, level, subsystem and `text`, which should
// be an event name followed by key=value pairs.
void write_log(log_level level, subsystem source, std::string_view text);

// Formats the text with fmt and writes one line, if the level is enabled.
template <typename... Args>
void log(
    log_level level, subsystem source, fmt::format_string<Args...> format,
    Args&&... args)
{
    if (log_enabled(level))
    {
        write_log(
            level, source, fmt::format(format, std::forward<Args>(args)...));
    }
}

} // namespace hickorygap

#endif
