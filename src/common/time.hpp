#ifndef HICKORYGAP_COMMON_TIME_HPP
#define HICKORYGAP_COMMON_TIME_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace hickorygap
{

using duration = std::chrono::microseconds;

// Time of a monotonic clock. State machines take it as an argument and never
// read a clock themselves, so that tests control time.
struct time_point
{
    duration since_start{0};

    friend auto operator<=>(const time_point&, const time_point&) = default;
};

inline time_point operator+(time_point left, duration right)
{
    return {left.since_start + right};
}

inline time_point operator-(time_point left, duration right)
{
    return {left.since_start - right};
}

inline duration operator-(time_point left, time_point right)
{
    return left.since_start - right.since_start;
}

// Unix time in milliseconds. Only for records that people or other processes
// read, never for timeouts, because the wall clock can jump.
using unix_millis = std::uint64_t;

// Reads a monotonic clock that also advances while the machine is suspended, so
// that a lease that expires meanwhile does not look valid afterwards.
time_point boot_now();

// Reads the wall clock.
unix_millis unix_now();

// Formats Unix time as "2026-01-31T12:00:00.000Z".
std::string format_utc(unix_millis time);

} // namespace hickorygap

#endif
