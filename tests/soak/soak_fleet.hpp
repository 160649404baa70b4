#ifndef HICKORYGAP_TESTS_SOAK_SOAK_FLEET_HPP
#define HICKORYGAP_TESTS_SOAK_SOAK_FLEET_HPP

#include "common/address.hpp"
#include "scenarios/runner/child_process.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hickorygap::test
{

// Voters and routers of one fleet as real processes, each at an address of its
// own on loopback.
class soak_fleet
{
public:
    static constexpr std::size_t voters = 5;
    static constexpr std::size_t routers = 3;

    // network: the first three numbers of the addresses; folder: for settings,
    // disks and logs.
    soak_fleet(
        std::string binary, std::string folder, std::string network,
        numeric_address list);

    // Processes are numbered, voters first.
    void start(std::size_t process, bool bootstrap = false);
    void signal(std::size_t process, int number);
    bool running(std::size_t process);

    // Kills a voter and empties its disk.
    void wipe(std::size_t voter);

    // Lets the seeds of all settings start at another voter.
    void rotate_seeds();

    numeric_address callers(std::size_t router) const;
    numeric_address operators(std::size_t voter) const;

private:
    std::string host(std::size_t process) const;
    std::string file(std::size_t process, const char* kind) const;
    void write_settings(std::size_t process, bool bootstrap) const;

    std::string binary_;
    std::string folder_;
    std::string network_;
    numeric_address list_;
    std::size_t first_seed_ = 0;
    std::vector<std::unique_ptr<testing::child_process>> processes_;
};

} // namespace hickorygap::test

#endif
