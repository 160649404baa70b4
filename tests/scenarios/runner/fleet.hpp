#ifndef HICKORYGAP_TESTS_SCENARIOS_RUNNER_FLEET_HPP
#define HICKORYGAP_TESTS_SCENARIOS_RUNNER_FLEET_HPP

#include "scenarios/runner/child_process.hpp"
#include "scenarios/runner/script.hpp"

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hickorygap::testing
{

struct fleet_options
{
    std::size_t instances = 6;
    std::size_t voters = 3;

    // Folder of the build, with the binary and the stand-ins.
    std::filesystem::path build_folder;

    // Folder for settings, logs and data.
    std::filesystem::path work_folder;
    std::string freshness_ms = "10000";
};

// The instances (i1, i2, ...), engines (e1, ...) and plain services (s1, ...)
// of a scenario, all on loopback.
class fleet
{
public:
    static constexpr std::string_view api_key_of_alpha = "key-alpha";
    static constexpr std::string_view api_key_of_beta = "key-beta";
    static constexpr std::string_view operator_token = "scenario-token";

    explicit fleet(fleet_options options);

    // Starts a process that does not run, again after its end. Options become
    // flags of a stand-in.
    void start(
        const std::string& name,
        const std::map<std::string, std::string>& options);

    // Starts an instance without waiting until it listens.
    void launch_instance(const std::string& name);
    child_process* find(const std::string& name);

    // Cuts every link between the two groups, in both directions.
    void
    cut(const std::set<std::string>& left, const std::set<std::string>& right);
    void heal();

    // Removes an instance's data folder.
    void wipe(const std::string& name);

    // Text of a change ticket; the first contains all engines and services
    // that were started, later ones what the options name.
    std::string make_ticket(const script_line& line) const;

    std::uint16_t caller_port(const std::string& name) const;
    std::uint16_t operator_port(const std::string& name) const;
    std::uint16_t stand_in_port(const std::string& name) const;

    std::vector<std::string> instances() const;
    std::vector<std::string> running_instances();

    // Lines in the run files of the services that contain the text.
    std::size_t count_runs(const std::string& text) const;

    const fleet_options& options() const
    {
        return options_;
    }

private:
    struct ports
    {
        std::uint16_t callers = 0;
        std::uint16_t operators = 0;
        std::uint16_t peers = 0;
    };

    std::string path(const std::string& file) const;
    void write_settings(const std::string& name) const;
    void write_blocked(const std::string& name) const;
    std::string make_backend_servers(const std::string& leaving) const;
    void start_stand_in(
        const std::string& name,
        const std::map<std::string, std::string>& options);

    fleet_options options_;
    std::map<std::string, ports> instance_ports_;
    std::map<std::string, std::uint16_t> stand_in_ports_;
    std::map<std::string, std::map<std::string, std::string>> stand_in_options_;
    std::map<std::string, std::set<std::string>> blocked_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
};

} // namespace hickorygap::testing

#endif
