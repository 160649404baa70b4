#ifndef HICKORYGAP_REQUEST_PLACEMENT_PLACEMENT_TOPOLOGY_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_PLACEMENT_TOPOLOGY_HPP

#include "request/placement/cell_owner.hpp"
#include "version/configuration/configuration.hpp"

#include <map>
#include <memory>
#include <vector>

namespace hickorygap
{

// The part of a configuration that placement uses. Tests and benchmarks build
// it directly.
struct placement_topology
{
    configuration_version version = 0;
    std::map<service_id, service> services;
    std::map<backend_server_id, backend_server> backend_servers;
    std::map<organisation_id, double> weights;
    std::vector<cell> cells;

    const cell* find_cell(cell_id id) const;

    // The settings that the owner of the cell needs.
    cell_description describe(const cell& described) const;
};

using topology_ptr = std::shared_ptr<const placement_topology>;

topology_ptr make_topology(const configuration& source);

} // namespace hickorygap

#endif
