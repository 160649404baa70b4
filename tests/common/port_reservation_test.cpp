#include "support/port_reservation.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <vector>

using hickorygap::test::port_reservation;

// Failure: two scenarios ran at once, one killed an instance and could not
// start it again, because the other one had taken its port meanwhile. Guards
// against ports that are given to two processes of the tests.
TEST_CASE("ports belong to one process while it runs")
{
    constexpr std::size_t processes = 20;
    constexpr std::size_t ports_of_process = 150;
    std::vector<std::unique_ptr<port_reservation>> reservations;
    std::set<std::uint16_t> ports;
    for (std::size_t i = 0; i < processes; ++i)
    {
        reservations.push_back(std::make_unique<port_reservation>());
        for (std::size_t taken = 0; taken < ports_of_process; ++taken)
        {
            ports.insert(reservations.back()->next());
        }
    }
    CHECK(ports.size() == processes * ports_of_process);
    // What a process had is free after its end.
    reservations.front().reset();
    port_reservation next;
    CHECK_FALSE(ports.insert(next.next()).second);
}
