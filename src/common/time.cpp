#include "common/time.hpp"

#include <fmt/chrono.h>

#include <ctime>

namespace hickorygap
{

time_point boot_now()
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return {
        std::chrono::seconds{reading.tv_sec} +
        std::chrono::duration_cast<duration>(
            std::chrono::nanoseconds{reading.tv_nsec})};
}

unix_millis unix_now()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<unix_millis>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string format_utc(unix_millis time)
{
    constexpr unix_millis millis_per_second = 1000;
    const auto seconds = static_cast<std::time_t>(time / millis_per_second);
    return fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
        time % millis_per_second);
}

} // namespace hickorygap
