#include "common/buffered_log_sink.hpp"

#include "common/time.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace hickorygap
{

namespace
{

// The buffer reserves capacity / reserved_divisor bytes for lines of level
// warning and above.
constexpr std::size_t reserved_divisor = 4;

} // namespace

buffered_log_sink::buffered_log_sink(int descriptor, std::size_t capacity)
    : descriptor_{descriptor}
    , capacity_{capacity}
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
    {
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

buffered_log_sink::~buffered_log_sink()
{
    flush();
}

void buffered_log_sink::write(log_level level, std::string_view line)
{
    const std::size_t limit = level >= log_level::warning
                                  ? capacity_
                                  : capacity_ - capacity_ / reserved_divisor;
    if (buffer_.size() + line.size() > limit)
    {
        ++unreported_drops_;
        ++dropped_total_;
        return;
    }
    buffer_.append(line);
}

void buffered_log_sink::flush()
{
    if (unreported_drops_ > 0 && buffer_.size() < capacity_ / 2)
    {
        buffer_ += fmt::format(
            "{} warning process log_lines_dropped count={}\n",
            format_utc(unix_now()), std::exchange(unreported_drops_, 0));
    }
    if (buffer_.empty())
    {
        return;
    }
    const ssize_t count = ::write(descriptor_, buffer_.data(), buffer_.size());
    if (count > 0)
    {
        buffer_.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace hickorygap
