#ifndef HICKORYGAP_REQUEST_BLAME_CRASH_TIME_HPP
#define HICKORYGAP_REQUEST_BLAME_CRASH_TIME_HPP

#include "common/time.hpp"

namespace hickorygap
{

// Several instances detect the same crash within this time. Reports about one
// backend server that are closer together count as the same crash, unless one
// instance can tell them apart exactly.
inline constexpr unix_millis same_crash_window_ms = 2000;

inline unix_millis to_unix_millis(std::chrono::milliseconds time)
{
    return static_cast<unix_millis>(time.count());
}

} // namespace hickorygap

#endif
