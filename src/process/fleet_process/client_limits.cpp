#include "process/fleet_process/client_limits.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace hickorygap
{

namespace
{

// Share of the machine's memory that clients' buffers may take. A process under
// load needs about a quarter of the smallest machines for everything else, and
// the budget's upper limit is a quarter above this.
constexpr std::size_t memory_numerator = 2;
constexpr std::size_t memory_denominator = 5;

// Limit of the buffers where the machine's memory is not known: that of a
// machine with 160 MiB.
constexpr std::size_t default_buffer_bytes = std::size_t{64} * 1024 * 1024;

// Shares of the descriptors. The rest is for backend servers, voters and other
// routers.
constexpr std::size_t caller_share = 2;
constexpr std::size_t endpoint_share = 8;

std::size_t descriptors_of(const fleet_settings& settings)
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    const std::size_t own = limit.rlim_cur;
    return settings.machine.descriptors == 0
               ? own
               : std::min<std::size_t>(own, settings.machine.descriptors);
}

} // namespace

client_limits client_limits_of(const fleet_settings& settings)
{
    const std::size_t descriptors = descriptors_of(settings);
    client_limits limits;
    limits.buffer_bytes = settings.machine.memory_bytes == 0
                              ? default_buffer_bytes
                              : settings.machine.memory_bytes /
                                    memory_denominator * memory_numerator;
    limits.caller_connections = descriptors / caller_share;
    limits.endpoint_connections = descriptors / endpoint_share;
    return limits;
}

} // namespace hickorygap
