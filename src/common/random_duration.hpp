#ifndef HICKORYGAP_COMMON_RANDOM_DURATION_HPP
#define HICKORYGAP_COMMON_RANDOM_DURATION_HPP

#include "common/random.hpp"
#include "common/time.hpp"

namespace hickorygap
{

// Returns a uniformly distributed duration from zero to `longest`, both
// inclusive.
inline duration random_duration(random_engine& random, duration longest)
{
    return duration{static_cast<duration::rep>(
        random_below(random, static_cast<std::uint64_t>(longest.count()) + 1))};
}

} // namespace hickorygap

#endif
