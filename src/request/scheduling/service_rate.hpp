#ifndef HICKORYGAP_REQUEST_SCHEDULING_SERVICE_RATE_HPP
#define HICKORYGAP_REQUEST_SCHEDULING_SERVICE_RATE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <array>
#include <cstdint>

namespace hickorygap
{

// Measures the service rate of a cell's slots from attempts that ended, and the
// rate of the cost that arrives in each rank.
class service_rate
{
public:
    // Records an attempt that held a slot for the given time and used the given
    // tokens.
    void record_end(std::uint32_t cost, duration held);

    // Records the time from the start of an attempt to its first byte.
    void record_first_byte(duration since_start);

    // Records the arrival of a request that was accepted.
    void record_arrival(rank request_rank, std::uint32_t cost, time_point now);

    // Tokens per second that one busy slot serves.
    double cost_per_slot_second() const;

    // Mean time that an attempt holds a slot, in seconds.
    double mean_held_seconds() const;

    // Mean tokens of an attempt.
    double mean_cost() const;

    // Time to the first byte that most attempts do not exceed: the mean plus
    // two mean deviations.
    duration first_byte_estimate() const;

    // Tokens per second that arrive in the rank, averaged over some seconds.
    double arriving_cost_per_second(rank request_rank, time_point now) const;

private:
    struct arrival_average
    {
        double cost = 0.0;
        time_point updated;
    };

    double cost_sum_ = 0.0;
    double held_seconds_sum_ = 0.0;
    double samples_ = 0.0;
    bool has_first_byte_ = false;
    double first_byte_seconds_ = 0.0;
    double first_byte_deviation_ = 0.0;
    std::array<arrival_average, rank_count> arrivals_{};
};

} // namespace hickorygap

#endif
