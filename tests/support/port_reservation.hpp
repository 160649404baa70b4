#ifndef HICKORYGAP_TESTS_SUPPORT_PORT_RESERVATION_HPP
#define HICKORYGAP_TESTS_SUPPORT_PORT_RESERVATION_HPP

#include <cstdint>
#include <vector>

namespace hickorygap::test
{

// Ports that no other process of the tests uses while this one runs, also
// while nothing listens at them: a server that is killed and started again
// needs its port back. The system's range for outgoing connections is left
// alone. Processes agree by locks on files, which end with the process.
class port_reservation
{
public:
    port_reservation() = default;
    ~port_reservation();
    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    // A port that was not given before. It may be taken by a program that does
    // not take part. Throws std::runtime_error when all are in use, or when the
    // folder of the locks can't be written to.
    std::uint16_t next();

private:
    void take_block();

    // Descriptors of the locked files, one for each block of ports.
    std::vector<int> locks_;
    std::uint16_t next_ = 0;

    // Ports of the latest block that were not given yet.
    std::uint16_t left_ = 0;
};

} // namespace hickorygap::test

#endif
