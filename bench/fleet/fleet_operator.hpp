#ifndef HICKORYGAP_BENCH_FLEET_FLEET_OPERATOR_HPP
#define HICKORYGAP_BENCH_FLEET_FLEET_OPERATOR_HPP

#include "scenarios/runner/fleet.hpp"

#include <cstdint>

namespace hickorygap::bench
{

constexpr int status_ok = 200;

// Files a ticket through instance 1; each changes the weight of an
// organisation. An attempt that is refused is repeated after 100 ms, as an
// operator does. Returns the number of refused attempts.
std::uint32_t file_ticket(const testing::fleet& all, std::uint64_t number);

// Asks the instances one after the other until each has the version.
void wait_in_force(const testing::fleet& all, std::uint64_t version);

// Asks the instances one after the other until each is ready.
void wait_ready(const testing::fleet& all);

} // namespace hickorygap::bench

#endif
