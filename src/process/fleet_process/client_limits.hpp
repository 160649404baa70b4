#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_CLIENT_LIMITS_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_CLIENT_LIMITS_HPP

#include "process/fleet_settings/fleet_settings.hpp"

#include <cstddef>

namespace hickorygap
{

// What all clients of a process may take together, so that it stays within the
// memory and the descriptors of its machine.
struct client_limits
{
    // Limit of a buffer_budget.
    std::size_t buffer_bytes = 0;

    // Open connections of callers.
    std::size_t caller_connections = 0;

    // Open connections to each of the ports for operators, readiness checks and
    // metrics.
    std::size_t endpoint_connections = 0;
};

// The limits for the machine of the settings. Where they don't say how many
// descriptors it has, the limit of this process counts.
client_limits client_limits_of(const fleet_settings& settings);

} // namespace hickorygap

#endif
