#ifndef HICKORYGAP_REQUEST_RATE_LIMIT_RANK_ADMISSION_HPP
#define HICKORYGAP_REQUEST_RATE_LIMIT_RANK_ADMISSION_HPP

#include "common/random.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <map>

namespace hickorygap
{

// Decides which requests compete for the limits of the servers of one service
// while these accept less than callers ask for: the urgent ones first. Of each
// rank, at least half as many requests are admitted as without ranks.
//
// Has no clock of its own; all times are passed in.
class rank_admission
{
public:
    explicit rank_admission(std::uint64_t seed);

    // Counts a request and decides whether it may compete. rank_below_first:
    // zero for the most urgent requests. capacity: requests per second that the
    // servers accept.
    bool
    admits(std::uint32_t rank_below_first, double capacity, time_point now);

private:
    // Exponentially decayed count of requests, as of `at`.
    struct request_count
    {
        double requests = 0;
        time_point at;
    };

    // Requests per second.
    static double demand(const request_count& count, time_point now);

    random_engine random_;
    std::map<std::uint32_t, request_count> ranks_;
};

} // namespace hickorygap

#endif
