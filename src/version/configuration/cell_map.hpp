#ifndef HICKORYGAP_VERSION_CONFIGURATION_CELL_MAP_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_CELL_MAP_HPP

#include "version/configuration/configuration.hpp"

#include <map>
#include <span>
#include <vector>

namespace hickorygap
{

// Limits of a cell's size. A service with fewer backend servers than the
// minimum has one smaller cell.
inline constexpr std::size_t cell_size_min = 4;
inline constexpr std::size_t cell_size_max = 16;

// Partitions the backend servers of each service into cells by bounded
// rendezvous hashing. The result depends only on the identifiers, so that all
// instances with the same configuration agree. Leaving backend servers stay
// in their cell, because the owner still tracks the work that runs there.
std::vector<cell> build_cells(
    const std::map<service_id, service>& services,
    const std::map<backend_server_id, backend_server>& backend_servers);

// Cells of the service in rendezvous order for the chat, first choice first.
std::vector<const cell*>
cells_in_order(std::span<const cell> cells, service_id service, chat_id chat);

} // namespace hickorygap

#endif
