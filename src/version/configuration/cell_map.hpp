#ifndef HICKORYGAP_VERSION_CONFIGURATION_CELL_MAP_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_CELL_MAP_HPP

#include "version/configuration/configuration.hpp"

#include <map>
#include <span>
#include <vector>

namespace hickorygap
{

// Stand-in until the placement module's cell map is merged: one cell for each
// service that has backend servers.
std::vector<cell> build_cells(
    const std::map<service_id, service>& services,
    const std::map<backend_server_id, backend_server>& backend_servers);

// Cells of one service in rendezvous order for a chat, first choice first.
std::vector<const cell*>
cells_in_order(std::span<const cell> cells, service_id id, chat_id chat);

} // namespace hickorygap

#endif
