#include "common/logging.hpp"

#include "common/time.hpp"

#include <array>
#include <atomic>
#include <cstdio>

namespace hickorygap
{

namespace
{

std::atomic<log_level> lowest_level{log_level::info};
std::atomic<log_sink*> current_sink{nullptr};

constexpr std::array<std::string_view, 4> level_names{
    "debug", "info", "warning", "error"};

constexpr std::array<std::string_view, 11> subsystem_names{
    "process", "consensus", "membership", "configuration", "placement", "http",
    "attempt", "network",   "storage",    "records",       "routing"};

} // namespace

void set_log_level(log_level level)
{
    lowest_level.store(level, std::memory_order_relaxed);
}

bool log_enabled(log_level level)
{
    return level >= lowest_level.load(std::memory_order_relaxed);
}

void set_log_sink(log_sink* sink)
{
    current_sink.store(sink, std::memory_order_release);
}

void write_log(log_level level, subsystem source, std::string_view text)
{
    // One write call per line, so that lines of several threads don't
    // interleave.
    const std::string line = fmt::format(
        "{} {} {} {}\n", format_utc(unix_now()),
        level_names[static_cast<std::size_t>(level)],
        subsystem_names[static_cast<std::size_t>(source)], text);
    if (log_sink* sink = current_sink.load(std::memory_order_acquire))
    {
        sink->write(level, line);
        return;
    }
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace hickorygap
