#include "process_usage.hpp"

#include "scenarios/runner/http_exchange.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace hickorygap::bench
{

namespace
{

double metric(const std::string& text, const std::string& name)
{
    std::istringstream lines{text};
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with(name + " "))
        {
            return std::stod(line.substr(name.size()));
        }
    }
    throw std::runtime_error{"/metrics has no metric " + name};
}

// User plus system CPU time, fields 14 and 15 of /proc/PID/stat (proc(5)). The
// process name, in parentheses, may contain blanks, so fields are counted from
// its end.
double processor_seconds(pid_t pid)
{
    std::ifstream file{fmt::format("/proc/{}/stat", pid)};
    std::string text;
    std::getline(file, text);
    std::istringstream fields{text.substr(text.rfind(')') + 1)};
    std::string skipped;
    for (int field = 3; field < 14; ++field)
    {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double resident_mib(pid_t pid)
{
    constexpr double kib_per_mib = 1024;
    std::ifstream file{fmt::format("/proc/{}/status", pid)};
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with("VmRSS:"))
        {
            return std::stod(line.substr(line.find(':') + 1)) / kib_per_mib;
        }
    }
    throw std::runtime_error{fmt::format("no VmRSS in /proc/{}/status", pid)};
}

} // namespace

process_usage read_usage(testing::fleet& all, const std::string& name)
{
    testing::http_call call;
    call.port = all.caller_port(name);
    call.path = "/metrics";
    const testing::http_result result = testing::exchange(call);
    const pid_t pid = all.find(name)->pid();
    return {
        metric(result.body, "hickorygap_control_sent_bytes"),
        metric(result.body, "hickorygap_control_received_bytes"),
        processor_seconds(pid), resident_mib(pid)};
}

} // namespace hickorygap::bench
