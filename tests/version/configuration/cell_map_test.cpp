#include "common/hashing.hpp"
#include "version/configuration/cell_map.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <set>

using namespace hickorygap;

namespace
{

constexpr service_id tested_service = 5;

std::map<backend_server_id, backend_server>
make_servers(std::size_t count, std::uint64_t seed)
{
    std::map<backend_server_id, backend_server> servers;
    for (std::size_t number = 0; number < count; ++number)
    {
        backend_server server;
        server.id = rendezvous_score(seed, number + 1);
        server.service = tested_service;
        servers[server.id] = server;
    }
    return servers;
}

std::vector<cell>
build(const std::map<backend_server_id, backend_server>& servers)
{
    std::map<service_id, service> services;
    services[tested_service].id = tested_service;
    return build_cells(services, servers);
}

std::map<backend_server_id, cell_id>
cell_of_server(const std::vector<cell>& cells)
{
    std::map<backend_server_id, cell_id> result;
    for (const cell& built : cells)
    {
        for (const backend_server_id server : built.backend_servers)
        {
            result[server] = built.id;
        }
    }
    return result;
}

} // namespace

// Guards against cells that are too large for one owner, against cells so small
// that the loss of a failure domain empties them, and against backend servers
// in no cell or in two.
TEST_CASE("cells have 4 to 16 backend servers and contain each server once")
{
    rc::prop(
        "sizes are within the limits",
        [](std::uint64_t seed)
        {
            const auto count = *rc::gen::inRange<std::size_t>(1, 220);
            const auto cells = build(make_servers(count, seed));
            RC_ASSERT(cells.size() == (count + 15) / 16);
            RC_ASSERT(cell_of_server(cells).size() == count);
            std::size_t total = 0;
            for (const cell& built : cells)
            {
                total += built.backend_servers.size();
                RC_ASSERT(built.backend_servers.size() <= 16U);
                RC_ASSERT(
                    built.backend_servers.size() >=
                    std::min<std::size_t>(4, count));
            }
            RC_ASSERT(total == count);
        });
}

// Guards against a configuration change that moves all chats to other cells:
// adding or removing a server moves few others while the number of cells stays
// the same, and a new cell only takes its share of the chats.
TEST_CASE("adding or removing backend servers moves few servers and chats")
{
    rc::prop(
        "a leave moves few other servers and no chat",
        [](std::uint64_t seed)
        {
            const auto count = *rc::gen::inRange<std::size_t>(18, 220);
            auto servers = make_servers(count, seed);
            const auto before = build(servers);
            const auto removed = std::next(
                servers.begin(),
                static_cast<std::ptrdiff_t>(seed % servers.size()));
            servers.erase(removed);
            const auto after = build(servers);
            RC_PRE(before.size() == after.size());
            const auto old_cells = cell_of_server(before);
            std::size_t moved = 0;
            for (const auto& [server, id] : cell_of_server(after))
            {
                moved += old_cells.at(server) == id ? 0 : 1;
            }
            // At most one displaced server per cell, and as many again where
            // cells are filled up to the minimum size.
            RC_ASSERT(moved <= 2 * before.size());
            for (chat_id chat = 1; chat <= 100; ++chat)
            {
                RC_ASSERT(
                    cells_in_order(before, tested_service, chat).front()->id ==
                    cells_in_order(after, tested_service, chat).front()->id);
            }
        });
    rc::prop(
        "a new cell takes its share of the chats",
        [](std::uint64_t seed)
        {
            const auto cells = *rc::gen::inRange<std::size_t>(2, 13);
            const auto before = build(make_servers(cells * 16, seed));
            const auto after = build(make_servers(cells * 16 + 1, seed));
            std::size_t moved = 0;
            constexpr std::size_t chats = 2000;
            for (std::size_t number = 1; number <= chats; ++number)
            {
                const chat_id chat = rendezvous_score(seed, number);
                const cell_id old_id =
                    cells_in_order(before, tested_service, chat).front()->id;
                const cell_id new_id =
                    cells_in_order(after, tested_service, chat).front()->id;
                moved += old_id == new_id ? 0 : 1;
            }
            RC_ASSERT(moved <= 2 * chats / (cells + 1));
        });
}

// Guards against a leaving server whose running requests no owner tracks.
TEST_CASE("a leaving backend server stays in its cell")
{
    auto servers = make_servers(40, 3);
    const auto before = cell_of_server(build(servers));
    servers.begin()->second.state = backend_server_state::leaving;
    CHECK(cell_of_server(build(servers)) == before);
}

// Guards against chats that are placed on the cells of another service.
TEST_CASE("services have separate cells and unknown services have none")
{
    std::map<service_id, service> services;
    services[1].id = 1;
    services[2].id = 2;
    std::map<backend_server_id, backend_server> servers;
    for (backend_server_id id = 1; id <= 30; ++id)
    {
        servers[id].id = id;
        servers[id].service = 1 + id % 3;
    }
    const auto cells = build_cells(services, servers);
    CHECK(cells.size() == 2);
    CHECK(cells_in_order(cells, 1, 99).size() == 1);
    CHECK(cells_in_order(cells, 3, 99).empty());
}
