#ifndef HICKORYGAP_COMMON_RANDOM_HPP
#define HICKORYGAP_COMMON_RANDOM_HPP

#include <cstdint>
#include <random>

namespace hickorygap
{

// Generator of all state machines; seeded explicitly so that runs repeat.
using random_engine = std::mt19937_64;

// Seed from the operating system, for processes in production.
std::uint64_t random_seed();

// Uniform integer in [0, bound); bound must be positive.
std::uint64_t random_below(random_engine& engine, std::uint64_t bound);

} // namespace hickorygap

#endif
