#ifndef HICKORYGAP_PROCESS_CONTROL_CLOCK_READING_HPP
#define HICKORYGAP_PROCESS_CONTROL_CLOCK_READING_HPP

#include "common/time.hpp"

namespace hickorygap
{

// Both clocks, read once in each iteration of the control loop.
struct clock_reading
{
    // For timeouts.
    time_point monotonic;

    // For time stamps in records.
    unix_millis unix_time = 0;
};

inline clock_reading read_clocks()
{
    return {boot_now(), unix_now()};
}

} // namespace hickorygap

#endif
