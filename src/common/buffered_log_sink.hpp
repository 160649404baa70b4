#ifndef HICKORYGAP_COMMON_BUFFERED_LOG_SINK_HPP
#define HICKORYGAP_COMMON_BUFFERED_LOG_SINK_HPP

#include "common/logging.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace hickorygap
{

// Buffers log lines and writes them to a file descriptor without blocking. When
// the reader is too slow, lines are dropped, those below level warning first; a
// line with their number is written when there is space again. Not thread-safe.
class buffered_log_sink final : public log_sink
{
public:
    // Makes the descriptor non-blocking. `capacity` is the size of the buffer
    // in bytes; a quarter of it is reserved for warnings and errors.
    explicit buffered_log_sink(
        int descriptor, std::size_t capacity = default_capacity);
    ~buffered_log_sink() override;

    void write(log_level level, std::string_view line) override;

    // Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    // Number of lines dropped since construction.
    std::uint64_t dropped() const
    {
        return dropped_total_;
    }

private:
    static constexpr std::size_t default_capacity = std::size_t{256} * 1024;

    int descriptor_;
    std::size_t capacity_;
    std::string buffer_;

    // Dropped lines that no log_lines_dropped line has reported yet.
    std::uint64_t unreported_drops_ = 0;
    std::uint64_t dropped_total_ = 0;
};

} // namespace hickorygap

#endif
