#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_LOAD_EXCHANGE_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_LOAD_EXCHANGE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/dispatch/backend_table.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace hickorygap
{

// Interval at which routers report their loads and the leader sends the sum:
// 200 ms in a small fleet, and longer in a large one, so that the leader's
// processor and link bear it.
duration load_interval(std::uint32_t routers);

// Loads from the two lists of a message; what is longer in one is left out.
std::vector<backend_load> to_loads(
    std::span<const std::uint32_t> backends,
    std::span<const std::uint16_t> in_flight);

// The inverse, for a message with the two lists.
template <typename Message>
Message to_message(std::span<const backend_load> loads)
{
    Message message;
    for (const backend_load& load : loads)
    {
        message.backends.push_back(load.backend);
        message.in_flight.push_back(load.in_flight);
    }
    return message;
}

// Adds up the loads that the routers reported last.
class load_aggregator
{
public:
    void
    set(instance_id router, std::vector<backend_load> loads, time_point now);

    // The sum by backend server, in ascending order. Routers that have not
    // reported for some intervals are left out: their requests have ended
    // with them.
    std::vector<backend_load> sum(time_point now);

private:
    struct report
    {
        std::vector<backend_load> loads;
        time_point at;
    };

    std::map<instance_id, report> reports_;
};

} // namespace hickorygap

#endif
