#ifndef HICKORYGAP_PROCESS_COMMANDS_COMMAND_LINE_HPP
#define HICKORYGAP_PROCESS_COMMANDS_COMMAND_LINE_HPP

#include <absl/status/statusor.h>

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

// Exit codes of the binary, for scripts.
enum class exit_code
{
    done = 0,
    refused = 1,
    usage = 2,
    unreachable = 3
};

struct fleet_dialects;

// What the command line asks for.
struct command_options
{
    // Words of the subcommand and its arguments, without flags.
    std::vector<std::string> words;
    bool json = false;
    bool help = false;
    std::string settings_file;

    // Operators' addresses of instances, tried in turn.
    std::vector<std::string> servers;
    std::string token_file;

    // PEM file with the certificate authority; plain HTTP when empty.
    std::string ca_file;

    // Filters of `decisions`.
    std::string organisation;
    std::string chat;
    std::string from;
    std::string to;
    std::string limit;

    // For `route` and `vote`; those commands fail without.
    const fleet_dialects* dialects = nullptr;
};

// Streams of a command; tests pass their own.
struct command_streams
{
    std::istream& in;
    std::ostream& out;
    std::ostream& error;
};

// Parses the arguments after the program's name. The error's message names
// the remedy.
absl::StatusOr<command_options>
parse_command_line(std::span<const std::string> arguments);

// Runs one subcommand.
exit_code run_command(const command_options& options, command_streams streams);

// The program: parses, runs, and returns the exit code. The dialects must
// outlive the call.
int run_command_line(int argc, char** argv, const fleet_dialects& dialects);

} // namespace hickorygap

#endif
