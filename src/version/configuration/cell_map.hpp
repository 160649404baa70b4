#ifndef HICKORYGAP_VERSION_CONFIGURATION_CELL_MAP_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_CELL_MAP_HPP

#include "version/configuration/configuration.hpp"

#include <map>
#include <span>
#include <vector>

namespace hickorygap
{

// Bounds on the number of backend servers in a cell. A service with fewer
// backend servers than the minimum has a single smaller cell.
inline constexpr std::size_t cell_size_min = 4;
inline constexpr std::size_t cell_size_max = 16;

// Partitions the backend servers of each service into cells by bounded
// rendezvous hashing. The result depends only on the identifiers, so all
// instances with the same configuration agree. Leaving backend servers stay
// in their cell, because the cell's owner still tracks the requests that run
// on them.
std::vector<cell> build_cells(
    const std::map<service_id, service>& services,
    const std::map<backend_server_id, backend_server>& backend_servers);

// Cells of the service in descending order of their rendezvous score for the
// chat.
std::vector<const cell*>
cells_in_order(std::span<const cell> cells, service_id service, chat_id chat);

} // namespace hickorygap

#endif
