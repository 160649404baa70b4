#ifndef HICKORYGAP_COMMON_BUFFERED_LOG_SINK_HPP
#define HICKORYGAP_COMMON_BUFFERED_LOG_SINK_HPP

#include "common/logging.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace hickorygap
{

// Gathers lines in memory and writes them to a descriptor without ever
// blocking. When the reader is too slow, lines below a warning are dropped
// first, and the number of dropped lines is written when there is room again.
// Belongs to one thread.
class buffered_log_sink final : public log_sink
{
public:
    // capacity: bytes kept while the descriptor takes none; a quarter of them
    // is kept for warnings and errors.
    explicit buffered_log_sink(
        int descriptor, std::size_t capacity = default_capacity);
    ~buffered_log_sink() override;

    void write(log_level level, std::string_view line) override;

    // Writes as much as the descriptor takes now.
    void flush();

    std::uint64_t dropped() const
    {
        return dropped_total_;
    }

private:
    static constexpr std::size_t default_capacity = std::size_t{256} * 1024;

    int descriptor_;
    std::size_t capacity_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_total_ = 0;
};

} // namespace hickorygap

#endif
