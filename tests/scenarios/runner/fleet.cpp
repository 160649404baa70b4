#include "scenarios/runner/fleet.hpp"

#include "common/hashing.hpp"
#include "support/port_reservation.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace hickorygap::testing
{

namespace
{

std::vector<std::uint16_t> pick_ports(std::size_t count)
{
    static test::port_reservation reservation;
    std::vector<std::uint16_t> result;
    while (result.size() < count)
    {
        const std::uint16_t port = reservation.next();
        try
        {
            const Poco::Net::ServerSocket probe{
                Poco::Net::SocketAddress{"127.0.0.1", port}};
            result.push_back(port);
        }
        catch (const Poco::Exception&)
        {
            // Another program listens on this port; try the next one.
            continue;
        }
    }
    return result;
}

bool accepts_connections(std::uint16_t port)
{
    try
    {
        const Poco::Net::StreamSocket socket{
            Poco::Net::SocketAddress{"127.0.0.1", port}};
        return true;
    }
    catch (const Poco::Exception&)
    {
        return false;
    }
}

void wait_for_port(std::uint16_t port, const std::string& name)
{
    constexpr int attempts = 1000;
    for (int i = 0; i < attempts; ++i)
    {
        if (accepts_connections(port))
        {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    throw std::runtime_error{fmt::format(
        "{} does not listen on port {} within 10 s; see its log", name, port)};
}

std::string number_of(const std::string& name)
{
    return name.substr(1);
}

void write_file(const std::string& path, const std::string& text)
{
    const std::string temporary = path + ".new";
    std::ofstream{temporary} << text;
    std::filesystem::rename(temporary, path);
}

} // namespace

fleet::fleet(fleet_options options)
    : options_(std::move(options))
{
    std::filesystem::create_directories(options_.work_folder);
    // Each scenario has its own key, so that instances of scenarios that run
    // concurrently do not join one another's fleets.
    write_file(
        path("fleet-key"),
        "scenario-fleet-key-" + to_hex(sha256(options_.work_folder.string())));
    constexpr std::size_t ports_per_instance = 3;
    const auto ports_found =
        pick_ports(options_.instances * ports_per_instance);
    for (std::size_t i = 0; i < options_.instances; ++i)
    {
        const std::size_t first = i * ports_per_instance;
        instance_ports_["i" + std::to_string(i + 1)] = {
            ports_found[first], ports_found[first + 1], ports_found[first + 2]};
    }
}

std::string fleet::path(const std::string& file) const
{
    return (options_.work_folder / file).string();
}

std::vector<std::string> fleet::instances() const
{
    std::vector<std::string> names;
    for (const auto& [name, ports] : instance_ports_)
    {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> fleet::running_instances()
{
    std::vector<std::string> names;
    for (const auto& name : instances())
    {
        if (child_process* process = find(name); process != nullptr)
        {
            if (process->running())
            {
                names.push_back(name);
            }
        }
    }
    return names;
}

std::uint16_t fleet::caller_port(const std::string& name) const
{
    return instance_ports_.at(name).callers;
}

std::uint16_t fleet::operator_port(const std::string& name) const
{
    return instance_ports_.at(name).operators;
}

std::uint16_t fleet::stand_in_port(const std::string& name) const
{
    return stand_in_ports_.at(name);
}

child_process* fleet::find(const std::string& name)
{
    const auto found = processes_.find(name);
    return found == processes_.end() ? nullptr : found->second.get();
}

void fleet::write_settings(const std::string& name) const
{
    std::string voters;
    std::string seeds;
    for (std::size_t i = 1; i <= options_.voters; ++i)
    {
        const std::string comma = i == 1 ? "" : ", ";
        voters += fmt::format("{}{}", comma, i);
        seeds += fmt::format(
            R"({}{{"id": {}, "address": "127.0.0.1:{}"}})", comma, i,
            instance_ports_.at("i" + std::to_string(i)).peers);
    }
    const std::size_t number = std::stoul(number_of(name));
    const bool has_disk = number <= options_.voters + 1;
    const ports& own = instance_ports_.at(name);
    write_file(
        path(name + ".json"),
        fmt::format(
            R"({{
  "instance": {{"id": {}, "failure_domain": "zone-{}"}},
  "callers": {{"port": {}}},
  "operators": {{"port": {}, "token_digest": "{}"}},
  "peers": {{"port": {}, "fleet_key_file": "{}", "seeds": [{}]}},
  "voters": [{}],
  "bootstrap": {},
  "data_folder": "{}",
  "freshness_ms": {},
  "shutdown": {{"balancer_lag_ms": 100}},
  "test": {{"blocked_peers_file": "{}"}}
}})",
            number, number % 3, own.callers, own.operators,
            to_hex(sha256(operator_token)), own.peers, path("fleet-key"), seeds,
            voters, number <= options_.voters,
            has_disk ? path(name + "-data") : "", options_.freshness_ms,
            path(name + ".blocked")));
}

void fleet::write_blocked(const std::string& name) const
{
    std::string text;
    const auto found = blocked_.find(name);
    if (found != blocked_.end())
    {
        for (const std::string& other : found->second)
        {
            text += number_of(other) + "\n";
        }
    }
    write_file(path(name + ".blocked"), text);
}

void fleet::start(
    const std::string& name, const std::map<std::string, std::string>& options)
{
    if (child_process* known = find(name); known != nullptr && known->running())
    {
        return;
    }
    if (name.front() != 'i')
    {
        start_stand_in(name, options);
        return;
    }
    launch_instance(name);
    wait_for_port(operator_port(name), name);
}

void fleet::launch_instance(const std::string& name)
{
    write_settings(name);
    write_blocked(name);
    processes_[name] = std::make_unique<child_process>(
        std::vector<std::string>{
            (options_.build_folder / "src/hickorygap").string(), "serve",
            "--settings", path(name + ".json")},
        path(name + ".out"), path(name + ".log"));
}

void fleet::start_stand_in(
    const std::string& name, const std::map<std::string, std::string>& options)
{
    if (!stand_in_ports_.contains(name))
    {
        stand_in_ports_[name] = pick_ports(1).front();
    }
    if (!options.empty())
    {
        stand_in_options_[name] = options;
    }
    const bool is_engine = name.front() == 'e';
    std::vector<std::string> arguments{
        (options_.build_folder / "tests/support" /
         (is_engine ? "engine_stand_in" : "service_stand_in"))
            .string(),
        fmt::format("--port={}", stand_in_ports_[name])};
    for (const auto& [key, value] : stand_in_options_[name])
    {
        arguments.push_back(fmt::format("--{}={}", key, value));
    }
    if (!is_engine)
    {
        arguments.push_back("--log_file=" + path(name + ".runs"));
    }
    processes_[name] = std::make_unique<child_process>(
        arguments, path(name + ".out"), path(name + ".log"));
    wait_for_port(stand_in_ports_[name], name);
}

void fleet::cut(
    const std::set<std::string>& left, const std::set<std::string>& right)
{
    for (const std::string& one : left)
    {
        for (const std::string& other : right)
        {
            if (one != other)
            {
                blocked_[one].insert(other);
                blocked_[other].insert(one);
            }
        }
    }
    for (const std::string& name : instances())
    {
        write_blocked(name);
    }
}

void fleet::heal()
{
    blocked_.clear();
    for (const std::string& name : instances())
    {
        write_blocked(name);
    }
}

void fleet::wipe(const std::string& name)
{
    std::filesystem::remove_all(path(name + "-data"));
}

std::string fleet::make_backend_servers(const std::string& leaving) const
{
    std::string text;
    std::size_t number = 0;
    for (const auto& [name, port] : stand_in_ports_)
    {
        text += fmt::format(
            R"({}"{}": {{"address": "127.0.0.1:{}", "service": "{}",
 "failure_domain": "zone-{}", "slots": 8, "state": "{}"}})",
            text.empty() ? "" : ",\n", name, port,
            name.front() == 'e' ? "report" : "booking", number++ % 3,
            name == leaving ? "leaving" : "serving");
    }
    return text;
}

// Later tickets contain the backend servers only when one of them leaves, and
// else just a comment and a weight, so that a scenario can file tickets that
// differ in content under the same number.
std::string fleet::make_ticket(const script_line& line) const
{
    const std::string& number = line.words.at(0);
    const std::string weight = line.option("weight", "1");
    const std::string organisations = fmt::format(
        R"("alpha": {{"api_key_digests": ["{}"], "highest_rank": "urgent",
 "weight": {}}},
"beta": {{"api_key_digests": ["{}"], "highest_rank": "urgent"}})",
        to_hex(sha256(api_key_of_alpha)), weight,
        to_hex(sha256(api_key_of_beta)));
    std::string extra;
    if (const std::string voters = line.option("voters"); !voters.empty())
    {
        extra = fmt::format(R"(, "voters": [{}])", voters);
    }
    const bool first = number == "1";
    const std::string services = first ? R"("services": {
 "report": {"kind": "engine", "model": "report-7b", "version": "1"},
 "booking": {"kind": "plain", "path": "/booking", "repeatable": false}},)"
                                       : "";
    const std::string leaving = line.option("leaving");
    const std::string servers = first || line.options.contains("leaving")
                                    ? fmt::format(
                                          R"("backend_servers": {{{}}},)",
                                          make_backend_servers(leaving))
                                    : "";
    return fmt::format(
        R"({{"ticket": {}, "comment": "{}", {} {} "organisations": {{{}}}{}}})",
        number, line.option("comment"), services, servers, organisations,
        extra);
}

std::size_t fleet::count_runs(const std::string& text) const
{
    std::size_t count = 0;
    for (const auto& [name, port] : stand_in_ports_)
    {
        std::ifstream file{path(name + ".runs")};
        for (std::string line; std::getline(file, line);)
        {
            count += line.find(text) != std::string::npos ? 1 : 0;
        }
    }
    return count;
}

} // namespace hickorygap::testing
