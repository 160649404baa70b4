#ifndef HICKORYGAP_PROCESS_GATEWAY_TUNNEL_HOST_LIST_HPP
#define HICKORYGAP_PROCESS_GATEWAY_TUNNEL_HOST_LIST_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace hickorygap
{

// The routers that may host tunnels for this one.
class tunnel_host_list
{
public:
    explicit tunnel_host_list(instance_id self);

    // Takes the leader's choice, the preferred ones first. An empty list is
    // ignored: hosts that were named before are better than none.
    void set(std::span<const instance_id> hosts);

    // The host could not be reached, or is shutting down.
    void on_failed(instance_id host, time_point now);

    // The first host that has not failed lately and is not among the excluded
    // ones; nullopt when there is none.
    std::optional<instance_id>
    choose(std::span<const instance_id> excluded, time_point now) const;

private:
    instance_id self_;
    std::vector<instance_id> hosts_;
    std::map<instance_id, time_point> failed_at_;
};

} // namespace hickorygap

#endif
