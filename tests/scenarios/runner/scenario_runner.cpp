#include "scenarios/runner/runner.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace
{

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

} // namespace

// Usage: scenario_runner BUILD_FOLDER SCENARIO_FILE
int main(int argc, char** argv)
{
    using namespace hickorygap::testing;
    if (argc != 3)
    {
        fmt::print(
            stderr, "usage: scenario_runner BUILD_FOLDER SCENARIO_FILE\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto lines = parse_script(read_file(argv[2]));
    if (!lines.ok())
    {
        fmt::print(stderr, "{}\n", std::string{lines.status().message()});
        return 2;
    }
    fleet_options options;
    options.build_folder = argv[1];
    options.work_folder = std::filesystem::temp_directory_path() /
                          fmt::format("hickorygap-scenario-{}", ::getpid());
    absl::Status status;
    {
        runner scenario{options};
        status = scenario.run(*lines);
    }
    if (!status.ok())
    {
        fmt::print(
            stderr, "FAILED {}\nlogs are in {}\n",
            std::string{status.message()}, options.work_folder.string());
        return 1;
    }
    std::filesystem::remove_all(options.work_folder);
    fmt::print("passed\n");
    return 0;
}
