#include "soak/soak_fleet.hpp"

#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

namespace hickorygap::test
{

namespace
{

constexpr std::uint16_t caller_port = 8001;
constexpr std::uint16_t readiness_port = 8002;
constexpr std::uint16_t operator_port = 8003;
constexpr std::uint16_t peer_port = 8004;
constexpr std::size_t seeds_per_process = 3;

} // namespace

soak_fleet::soak_fleet(
    std::string binary, std::string folder, std::string network,
    numeric_address server_list_address)
    : binary_{std::move(binary)}
    , folder_{std::move(folder)}
    , network_{std::move(network)}
    , server_list_address_{std::move(server_list_address)}
    , processes_(voters + routers)
{
}

std::string soak_fleet::host_of(std::size_t process) const
{
    return fmt::format("{}.{}", network_, process + 1);
}

std::string soak_fleet::path_of(std::size_t process, const char* kind) const
{
    return fmt::format("{}/{}.{}", folder_, process, kind);
}

numeric_address soak_fleet::caller_address(std::size_t router) const
{
    return {host_of(voters + router), caller_port};
}

numeric_address soak_fleet::readiness_address(std::size_t router) const
{
    return {host_of(voters + router), readiness_port};
}

numeric_address soak_fleet::operator_address(std::size_t voter) const
{
    return {host_of(voter), operator_port};
}

void soak_fleet::write_settings(std::size_t process, bool bootstrap) const
{
    std::string seed_list;
    for (std::size_t i = 0; i < seeds_per_process; ++i)
    {
        seed_list += fmt::format(
            "{}\"{}\"", i == 0 ? "" : ",", host_of((first_seed_ + i) % voters));
    }
    std::ofstream{path_of(process, "json")} << fmt::format(
        R"({{"instance": {{"name": "{0}", "host": "{1}",
                           "failure_domain": "z"}},
  "callers": {{"address": "{1}:{2}"}},
  "readiness": {{"address": "{1}:{3}"}},
  "operators": {{"address": "{1}:{4}"}},
  "peers": {{"port": {5}, "seeds": [{6}]}},
  "storage": {{"folder": "{7}", "bootstrap": {8}, "lost_disks": 2}},
  "backend_list": {{"address": "{9}:{10}", "calls_per_second": 100}},
  "retry": {{"ratio": 0.2, "slack": 50, "window_s": 10}},
  "shutdown": {{"limit_s": 4}}}})",
        process, host_of(process), caller_port, readiness_port, operator_port,
        peer_port, seed_list, path_of(process, "disk"), bootstrap,
        server_list_address_.host, server_list_address_.port);
}

void soak_fleet::start(std::size_t process, bool bootstrap)
{
    write_settings(process, bootstrap);
    std::filesystem::create_directories(path_of(process, "disk"));
    processes_[process] = std::make_unique<testing::child_process>(
        std::vector<std::string>{
            binary_, process < voters ? "vote" : "route", "--settings",
            path_of(process, "json")},
        path_of(process, "log"), path_of(process, "error"));
}

void soak_fleet::signal(std::size_t process, int signal_number)
{
    if (processes_[process])
    {
        processes_[process]->signal(signal_number);
    }
}

bool soak_fleet::running(std::size_t process)
{
    return processes_[process] && processes_[process]->running();
}

void soak_fleet::wipe(std::size_t voter)
{
    processes_[voter].reset();
    std::filesystem::remove_all(path_of(voter, "disk"));
}

void soak_fleet::rotate_seeds()
{
    first_seed_ = (first_seed_ + 1) % voters;
    for (std::size_t i = 0; i < processes_.size(); ++i)
    {
        write_settings(i, false);
    }
}

} // namespace hickorygap::test
