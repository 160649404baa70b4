#ifndef HICKORYGAP_PROCESS_COMMANDS_COMMAND_LINE_HPP
#define HICKORYGAP_PROCESS_COMMANDS_COMMAND_LINE_HPP

#include <absl/status/statusor.h>

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

// Exit codes of the program; scripts rely on them.
enum class exit_code
{
    done = 0,
    refused = 1,
    usage = 2,
    unreachable = 3
};

struct fleet_dialects;

// Parsed command line.
struct command_options
{
    // Name of the subcommand and its arguments, without flags.
    std::vector<std::string> words;
    bool json = false;
    bool help = false;
    std::string settings_file;

    // Operator addresses (host:port) of instances, tried in turn.
    std::vector<std::string> servers;
    std::string token_file;

    // PEM file with the certificate authority; plain HTTP is used when empty.
    std::string ca_file;

    // Filters of the command `decisions`.
    std::string organisation;
    std::string chat;
    std::string from;
    std::string to;
    std::string limit;

    // Wire formats for `route` and `vote`; both commands fail when it is null.
    const fleet_dialects* dialects = nullptr;
};

// Input and output streams of a command; tests pass string streams.
struct command_streams
{
    std::istream& in;
    std::ostream& out;
    std::ostream& error;
};

// Parses the arguments that follow the program name. Error messages say how to
// correct the command line.
absl::StatusOr<command_options>
parse_command_line(std::span<const std::string> arguments);

// Runs one subcommand. Unknown commands and a wrong number of arguments return
// exit_code::usage.
exit_code run_command(const command_options& options, command_streams streams);

// Parses the command line, runs the command on the standard streams, and
// returns the exit code of the process. The dialects must outlive the call.
int run_command_line(int argc, char** argv, const fleet_dialects& dialects);

} // namespace hickorygap

#endif
