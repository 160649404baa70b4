#ifndef HICKORYGAP_BENCH_FLEET_FLEET_OPERATOR_HPP
#define HICKORYGAP_BENCH_FLEET_FLEET_OPERATOR_HPP

#include "scenarios/runner/fleet.hpp"

#include <cstdint>

namespace hickorygap::bench
{

constexpr int status_ok = 200;

// Files a ticket that changes the weight of an organisation through instance 1.
// Repeats a refused attempt after 100 ms, as an operator does. Returns the
// number of refused attempts. Throws std::runtime_error after 1000 of them.
std::uint32_t file_ticket(const testing::fleet& all, std::uint64_t number);

// Polls the instances one after the other until each has the version or a later
// one. Throws std::runtime_error after 5 minutes for one instance.
void wait_until_in_force(const testing::fleet& all, std::uint64_t version);

// Polls the instances one after the other until each is ready. Throws
// std::runtime_error after 5 minutes for one instance.
void wait_until_ready(const testing::fleet& all);

} // namespace hickorygap::bench

#endif
