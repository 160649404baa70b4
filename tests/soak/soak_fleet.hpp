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

// Voters and routers of one fleet as real processes, each with its own
// loopback address.
class soak_fleet
{
public:
    static constexpr std::size_t voters = 5;
    static constexpr std::size_t routers = 3;

    // network: the first three octets of the loopback addresses, as 127.1.2.
    // folder: holds settings, data folders and logs.
    soak_fleet(
        std::string binary, std::string folder, std::string network,
        numeric_address server_list_address);

    // Processes are numbered from 0, voters first.
    void start(std::size_t process, bool bootstrap = false);
    void signal(std::size_t process, int signal_number);
    bool running(std::size_t process);

    // Valid while the process runs.
    pid_t pid(std::size_t process) const
    {
        return processes_[process]->pid();
    }

    // Kills a voter and deletes its data folder.
    void wipe(std::size_t voter);

    // Rewrites the settings of all processes so that their list of seeds starts
    // at the next voter.
    void rotate_seeds();

    numeric_address caller_address(std::size_t router) const;
    numeric_address readiness_address(std::size_t router) const;
    numeric_address operator_address(std::size_t voter) const;

private:
    std::string host_of(std::size_t process) const;
    std::string path_of(std::size_t process, const char* kind) const;
    void write_settings(std::size_t process, bool bootstrap) const;

    std::string binary_;
    std::string folder_;
    std::string network_;
    numeric_address server_list_address_;
    std::size_t first_seed_ = 0;
    std::vector<std::unique_ptr<testing::child_process>> processes_;
};

} // namespace hickorygap::test

#endif
