#ifndef HICKORYGAP_COMMON_RANDOM_HPP
#define HICKORYGAP_COMMON_RANDOM_HPP

#include <cstdint>
#include <random>

namespace hickorygap
{

// Random number generator of all state machines; seeded explicitly, so that
// tests and simulations are reproducible.
using random_engine = std::mt19937_64;

// Returns a seed from the operating system, for production use.
std::uint64_t random_seed();

// Returns a uniformly distributed integer in [0, bound); bound must be
// positive.
std::uint64_t random_below(random_engine& engine, std::uint64_t bound);

} // namespace hickorygap

#endif
