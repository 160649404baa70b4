#include "support/port_reservation.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <vector>

using hickorygap::test::port_reservation;

// Guards against one port reserved by two test processes. Of two scenarios that
// ran at the same time, one killed an instance and could not restart it,
// because the other scenario had taken its port meanwhile.
TEST_CASE("a port is reserved for one test process until it ends")
{
    constexpr std::size_t processes = 20;
    constexpr std::size_t ports_of_process = 150;
    std::vector<std::unique_ptr<port_reservation>> reservations;
    std::set<std::uint16_t> ports;
    for (std::size_t i = 0; i < processes; ++i)
    {
        reservations.push_back(std::make_unique<port_reservation>());
        for (std::size_t reserved = 0; reserved < ports_of_process; ++reserved)
        {
            ports.insert(reservations.back()->next());
        }
    }
    CHECK(ports.size() == processes * ports_of_process);
    // The ports are free again once the reservation ends.
    reservations.front().reset();
    port_reservation next;
    CHECK_FALSE(ports.insert(next.next()).second);
}
