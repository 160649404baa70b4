#ifndef HICKORYGAP_TESTS_SUPPORT_PORT_RESERVATION_HPP
#define HICKORYGAP_TESTS_SUPPORT_PORT_RESERVATION_HPP

#include <cstdint>
#include <vector>

namespace hickorygap::test
{

// Reserves ports for this process among all test processes, also while nothing
// listens on them, since a server that is killed and restarted needs the same
// port again. Ports lie below the ephemeral range of the system. Each block of
// ports is guarded by a file lock, which the system releases when the process
// ends.
class port_reservation
{
public:
    port_reservation() = default;
    ~port_reservation();
    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    // Returns a port that was not returned before. A program that doesn't use
    // these locks may still listen on it. Throws std::runtime_error when all
    // blocks are in use, or when a lock file can't be opened.
    std::uint16_t next();

private:
    void lock_block();

    // File descriptors of the locked files, one per block of ports.
    std::vector<int> locks_;
    std::uint16_t next_port_ = 0;

    // Remaining ports of the latest block.
    std::uint16_t ports_left_ = 0;
};

} // namespace hickorygap::test

#endif
