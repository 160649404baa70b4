#include "version/configuration/cell_map.hpp"

#include "common/hashing.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace hickorygap
{

namespace
{

using cell_index = std::size_t;

// Rendezvous score of a backend server and a cell; the identifiers break ties.
struct scored_pair
{
    std::uint64_t score = 0;
    backend_server_id backend_server = 0;
    cell_index cell = 0;

    auto order() const
    {
        return std::tuple{score, backend_server, cell};
    }
};

cell_id make_cell_id(service_id service, cell_index index)
{
    const std::uint64_t id = rendezvous_score(service, index + 1);
    return id == 0 ? 1 : id;
}

std::vector<cell> make_empty_cells(service_id service, std::size_t count)
{
    std::vector<cell> cells(count);
    for (cell_index index = 0; index < count; ++index)
    {
        cells[index].id = make_cell_id(service, index);
        cells[index].service = service;
    }
    return cells;
}

// Assigns servers to cells in descending order of score until each server has
// a cell. The result is the stable matching of servers and cells, so a server
// that is added or removed displaces at most one server of each full cell.
void assign_by_score(
    std::vector<cell>& cells, std::span<const backend_server_id> servers)
{
    std::vector<scored_pair> pairs;
    pairs.reserve(cells.size() * servers.size());
    for (const backend_server_id server : servers)
    {
        for (cell_index index = 0; index < cells.size(); ++index)
        {
            pairs.push_back(
                {rendezvous_score(server, cells[index].id), server, index});
        }
    }
    std::sort(
        pairs.begin(), pairs.end(),
        [](const scored_pair& left, const scored_pair& right)
        { return left.order() > right.order(); });
    std::map<backend_server_id, bool> assigned;
    for (const scored_pair& pair : pairs)
    {
        std::vector<backend_server_id>& members =
            cells[pair.cell].backend_servers;
        bool& is_assigned = assigned[pair.backend_server];
        if (!is_assigned && members.size() < cell_size_max)
        {
            members.push_back(pair.backend_server);
            is_assigned = true;
        }
    }
}

// Moves to the undersized cell the server with the highest score for it, from
// any cell above the minimum size.
void move_best_server(std::vector<cell>& cells, cell& undersized)
{
    scored_pair best;
    for (cell_index index = 0; index < cells.size(); ++index)
    {
        if (cells[index].backend_servers.size() <= cell_size_min)
        {
            continue;
        }
        for (const backend_server_id server : cells[index].backend_servers)
        {
            const scored_pair pair{
                rendezvous_score(server, undersized.id), server, index};
            if (best.backend_server == 0 || pair.order() > best.order())
            {
                best = pair;
            }
        }
    }
    std::erase(cells[best.cell].backend_servers, best.backend_server);
    undersized.backend_servers.push_back(best.backend_server);
}

// With ceil(n / 16) cells and at least two of them, the mean size is above 8,
// so there is always a cell above the minimum size to move a server from.
void fill_small_cells(std::vector<cell>& cells)
{
    if (cells.size() < 2)
    {
        return;
    }
    for (cell& candidate : cells)
    {
        while (candidate.backend_servers.size() < cell_size_min)
        {
            move_best_server(cells, candidate);
        }
    }
}

} // namespace

std::vector<cell> build_cells(
    const std::map<service_id, service>& services,
    const std::map<backend_server_id, backend_server>& backend_servers)
{
    std::map<service_id, std::vector<backend_server_id>> by_service;
    for (const auto& [id, server] : backend_servers)
    {
        if (services.contains(server.service))
        {
            by_service[server.service].push_back(id);
        }
    }
    std::vector<cell> result;
    for (const auto& [id, servers] : by_service)
    {
        const std::size_t count =
            (servers.size() + cell_size_max - 1) / cell_size_max;
        std::vector<cell> cells = make_empty_cells(id, count);
        assign_by_score(cells, servers);
        fill_small_cells(cells);
        for (cell& built : cells)
        {
            std::sort(
                built.backend_servers.begin(), built.backend_servers.end());
            result.push_back(std::move(built));
        }
    }
    return result;
}

std::vector<const cell*>
cells_in_order(std::span<const cell> cells, service_id service, chat_id chat)
{
    std::vector<std::pair<std::uint64_t, const cell*>> scored;
    for (const cell& candidate : cells)
    {
        if (candidate.service == service)
        {
            scored.emplace_back(
                rendezvous_score(chat, candidate.id), &candidate);
        }
    }
    std::sort(
        scored.begin(), scored.end(),
        [](const auto& left, const auto& right)
        {
            return std::pair{left.first, left.second->id} >
                   std::pair{right.first, right.second->id};
        });
    std::vector<const cell*> result;
    result.reserve(scored.size());
    for (const auto& [score, candidate] : scored)
    {
        result.push_back(candidate);
    }
    return result;
}

} // namespace hickorygap
