#include "crowds/process_usage.hpp"

#include <fmt/format.h>
#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace hickorygap::test
{

namespace
{

std::size_t set_soft_limit(std::size_t limit)
{
    rlimit current{};
    ::getrlimit(RLIMIT_NOFILE, &current);
    const std::size_t previous = current.rlim_cur;
    current.rlim_cur = limit;
    ::setrlimit(RLIMIT_NOFILE, &current);
    return previous;
}

} // namespace

std::size_t peak_memory_of(pid_t process)
{
    constexpr std::size_t bytes_per_kilobyte = 1024;
    const std::string key = "VmHWM:";
    std::ifstream status{fmt::format("/proc/{}/status", process)};
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with(key))
        {
            return std::stoul(line.substr(key.size())) * bytes_per_kilobyte;
        }
    }
    return 0;
}

std::size_t open_descriptors_of(pid_t process)
{
    std::error_code error;
    std::filesystem::directory_iterator entries{
        fmt::format("/proc/{}/fd", process), error};
    return static_cast<std::size_t>(std::distance(
        std::filesystem::begin(entries), std::filesystem::end(entries)));
}

descriptor_limit::descriptor_limit(std::size_t limit)
    : previous_{set_soft_limit(limit)}
{
}

descriptor_limit::~descriptor_limit()
{
    set_soft_limit(previous_);
}

} // namespace hickorygap::test
