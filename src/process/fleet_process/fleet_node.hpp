#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_FLEET_NODE_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_FLEET_NODE_HPP

#include "process/fleet_settings/fleet_settings.hpp"

#include <absl/status/status.h>

#include <string>

namespace hickorygap
{

// A router or a voter, which a process of the fleet runs on its event loop.
class fleet_node
{
public:
    fleet_node() = default;
    fleet_node(const fleet_node&) = delete;
    fleet_node& operator=(const fleet_node&) = delete;
    virtual ~fleet_node() = default;

    // Opens ports and storage. Errors: unreachable when a port can't be bound;
    // storage_damaged, storage_failed.
    virtual absl::Status open() = 0;

    // Applies changed settings; only the seeds can change while the node runs.
    virtual void reload(const fleet_settings& settings) = 0;

    // Shuts down gracefully and then stops the loop.
    virtual void shut_down() = 0;

    // The error for which the node has stopped the loop; OK when there is none.
    virtual absl::Status failure() const
    {
        return absl::OkStatus();
    }

    // The current values of all metrics in Prometheus' text format.
    virtual std::string metrics_text() = 0;
};

} // namespace hickorygap

#endif
