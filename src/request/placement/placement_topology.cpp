#include "request/placement/placement_topology.hpp"

namespace hickorygap
{

const cell* placement_topology::find_cell(cell_id id) const
{
    for (const cell& candidate : cells)
    {
        if (candidate.id == id)
        {
            return &candidate;
        }
    }
    return nullptr;
}

cell_description placement_topology::describe(const cell& described) const
{
    cell_description result;
    result.id = described.id;
    result.version = version;
    result.weights = weights;
    const auto found_service = services.find(described.service);
    if (found_service != services.end())
    {
        result.load_bound = found_service->second.load_bound;
        result.ranks = found_service->second.ranks;
    }
    for (const backend_server_id id : described.backend_servers)
    {
        const auto server = backend_servers.find(id);
        if (server != backend_servers.end())
        {
            result.servers.push_back(
                {id, server->second.slots,
                 server->second.state == backend_server_state::leaving});
        }
    }
    return result;
}

topology_ptr make_topology(const configuration& source)
{
    auto result = std::make_shared<placement_topology>();
    result->version = source.version();
    result->services = source.services();
    result->backend_servers = source.backend_servers();
    for (const auto& [id, listed_organisation] : source.organisations())
    {
        result->weights[id] = listed_organisation.weight;
    }
    result->cells.assign(source.cells().begin(), source.cells().end());
    return result;
}

} // namespace hickorygap
