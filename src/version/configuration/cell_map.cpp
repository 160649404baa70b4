#include "version/configuration/cell_map.hpp"

namespace hickorygap
{

std::vector<cell> build_cells(
    const std::map<service_id, service>& services,
    const std::map<backend_server_id, backend_server>& backend_servers)
{
    std::map<service_id, cell> cells;
    for (const auto& [id, server] : backend_servers)
    {
        if (services.contains(server.service))
        {
            cell& target = cells[server.service];
            target.id = rendezvous_score(server.service, 1);
            target.service = server.service;
            target.backend_servers.push_back(id);
        }
    }
    std::vector<cell> result;
    result.reserve(cells.size());
    for (auto& [id, entry] : cells)
    {
        result.push_back(std::move(entry));
    }
    return result;
}

std::vector<const cell*>
cells_in_order(std::span<const cell> cells, service_id id, chat_id /*chat*/)
{
    std::vector<const cell*> result;
    for (const cell& entry : cells)
    {
        if (entry.service == id)
        {
            result.push_back(&entry);
        }
    }
    return result;
}

} // namespace hickorygap
