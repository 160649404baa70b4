#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_FLEET_NODE_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_FLEET_NODE_HPP

#include "process/fleet_settings/fleet_settings.hpp"

#include <absl/status/status.h>

#include <string>

namespace hickorygap
{

// What a process of a fleet runs on its event loop: a router or a voter.
class fleet_node
{
public:
    fleet_node() = default;
    fleet_node(const fleet_node&) = delete;
    fleet_node& operator=(const fleet_node&) = delete;
    virtual ~fleet_node() = default;

    // Opens ports and storage. Errors: unreachable, when a port can't be
    // bound; storage_damaged, storage_failed.
    virtual absl::Status open() = 0;

    // Reads changed settings; only the seeds can change while it runs.
    virtual void reload(const fleet_settings& settings) = 0;

    // Ends the work in order and then stops the loop.
    virtual void shut_down() = 0;

    // Not OK when the node can't go on and has stopped the loop.
    virtual absl::Status failure() const
    {
        return absl::OkStatus();
    }

    // All metrics in Prometheus' text format, as of now.
    virtual std::string metrics_text() = 0;
};

} // namespace hickorygap

#endif
