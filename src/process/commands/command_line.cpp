#include "process/commands/command_line.hpp"

#include "common/error.hpp"
#include "common/json.hpp"
#include "process/commands/explain_command.hpp"
#include "process/commands/fleet_commands.hpp"
#include "process/commands/operator_commands.hpp"
#include "process/commands/serve_command.hpp"
#include "process/commands/settings_command.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <limits>
#include <string_view>

ABSL_FLAG(bool, json, false, "prints JSON instead of text");
ABSL_FLAG(bool, help, false, "prints this overview");
ABSL_FLAG(std::string, settings, "", "settings file of an instance");
ABSL_FLAG(
    std::vector<std::string>, server, {},
    "operators' address of an instance, host:port; several are tried in turn");
ABSL_FLAG(std::string, token_file, "", "file with the operators' token");
ABSL_FLAG(
    std::string, ca_file, "",
    "PEM file with the certificate authority; turns TLS on");
ABSL_FLAG(std::string, organisation, "", "decisions of this organisation");
ABSL_FLAG(std::string, chat, "", "decisions of this chat");
ABSL_FLAG(std::string, from, "", "decisions from this Unix time in ms");
ABSL_FLAG(std::string, to, "", "decisions up to this Unix time in ms");
ABSL_FLAG(std::string, limit, "", "maximum number of decisions to print");

namespace hickorygap
{

namespace
{

constexpr std::array<std::string_view, 11> flag_names{
    "json",         "help", "settings", "server", "token_file", "ca_file",
    "organisation", "chat", "from",     "to",     "limit"};

constexpr std::string_view overview =
    "usage: hickorygap <command> [flags]\n"
    "\n"
    "  serve --settings F              runs an instance\n"
    "  route --settings F              runs a router of a fleet that keeps\n"
    "                                  routers and voters apart\n"
    "  vote --settings F               runs a voter of such a fleet\n"
    "  explain ID LOG...|-             shows what the logs of routers and\n"
    "                                  voters say about one request\n"
    "  check-settings F                checks a settings file, prints all\n"
    "                                  effective values\n"
    "  ticket file F|-                 files a change ticket\n"
    "  ticket show N                   shows an accepted ticket\n"
    "  ticket list                     lists accepted tickets\n"
    "  ticket verify                   checks the tickets' hash chain\n"
    "  in-force                        shows which configuration version each\n"
    "                                  instance and backend server applies\n"
    "  decisions [--organisation O] [--chat C] [--from MS] [--to MS]\n"
    "            [--limit N]           prints decision records\n"
    "  report burn                     prints the burn rates of the error\n"
    "                                  budgets\n"
    "  status                          shows the state of one instance\n"
    "\n"
    "  --json                          JSON instead of text\n"
    "  --server host:port              instance to ask; several (repeated or\n"
    "                                  with commas) are tried in turn\n"
    "  --token-file F                  file with the operators' token\n"
    "  --ca-file F                     certificate authority; turns TLS on\n"
    "\n"
    "exit codes: 0 done, 1 refused, 2 usage, 3 unreachable\n";

absl::Status usage_error(std::string_view text)
{
    return make_error(
        error_kind::invalid_request,
        fmt::format("{}; see hickorygap --help", text));
}

// Resets all flags to their defaults, so that values of an earlier call don't
// leak into this one. absl::FlagSaver does the same but writes a line for each
// flag to standard error.
void reset_flags()
{
    for (const std::string_view name : flag_names)
    {
        absl::CommandLineFlag* flag =
            absl::FindCommandLineFlag(std::string{name});
        std::string error;
        flag->ParseFrom(flag->DefaultValue(), &error);
    }
}

// Sets one flag. `text` is the argument without its dashes. Returns the number
// of following arguments that were consumed as the value.
absl::StatusOr<std::size_t>
set_flag(std::string_view text, std::span<const std::string> following)
{
    const std::size_t equals = text.find('=');
    std::string name{text.substr(0, equals)};
    std::replace(name.begin(), name.end(), '-', '_');
    if (std::find(flag_names.begin(), flag_names.end(), name) ==
        flag_names.end())
    {
        return usage_error(fmt::format(
            "unknown flag --{}; the nearest flag is --{}", text,
            nearest_name(name, flag_names)));
    }
    absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    std::string value;
    std::size_t consumed = 0;
    if (equals != std::string_view::npos)
    {
        value = text.substr(equals + 1);
    }
    else if (flag->IsOfType<bool>())
    {
        value = "true";
    }
    else if (!following.empty())
    {
        value = following.front();
        consumed = 1;
    }
    else
    {
        return usage_error(fmt::format("--{} needs a value", text));
    }
    if (name == "server" && !absl::GetFlag(FLAGS_server).empty())
    {
        value = flag->CurrentValue() + "," + value;
    }
    std::string error;
    if (!flag->ParseFrom(value, &error))
    {
        return usage_error(
            fmt::format("--{} can't be \"{}\": {}", name, value, error));
    }
    return consumed;
}

exit_code report_usage_error(std::string_view text, std::ostream& error)
{
    error << "hickorygap: " << text << "\n";
    return exit_code::usage;
}

exit_code serve(const command_options& options, command_streams streams)
{
    if (options.settings_file.empty())
    {
        return report_usage_error(
            "serve needs --settings F with the settings file of this instance",
            streams.error);
    }
    const auto effective = load_settings(options.settings_file);
    if (!effective.ok())
    {
        streams.error << "hickorygap: " << effective.status().message() << "\n";
        return exit_code::refused;
    }
    return static_cast<exit_code>(run_serve(*effective));
}

// A subcommand: its name, the bounds of its number of arguments, and its
// handler.
struct command
{
    std::vector<std::string_view> name;
    std::size_t min_arguments;
    std::size_t max_arguments;
    exit_code (*run)(const command_options&, command_streams);
};

constexpr std::size_t unlimited_arguments =
    std::numeric_limits<std::size_t>::max();

const std::vector<command>& commands()
{
    static const std::vector<command> all{
        {{"serve"}, 0, 0, serve},
        {{"route"}, 0, 0, run_router},
        {{"vote"}, 0, 0, run_voter},
        {{"check-settings"}, 1, 1, check_settings},
        {{"explain"}, 2, unlimited_arguments, explain_request},
        {{"ticket", "file"}, 1, 1, ticket_file},
        {{"ticket", "show"}, 1, 1, ticket_show},
        {{"ticket", "list"}, 0, 0, ticket_list},
        {{"ticket", "verify"}, 0, 0, ticket_verify},
        {{"in-force"}, 0, 0, show_in_force},
        {{"decisions"}, 0, 0, list_decisions},
        {{"report", "burn"}, 0, 0, report_burn},
        {{"status"}, 0, 0, show_status},
    };
    return all;
}

bool starts_with(
    const std::vector<std::string>& words,
    const std::vector<std::string_view>& prefix)
{
    return words.size() >= prefix.size() &&
           std::equal(prefix.begin(), prefix.end(), words.begin());
}

exit_code
unknown_command(const std::vector<std::string>& words, std::ostream& error)
{
    std::vector<std::string> names;
    for (const command& candidate : commands())
    {
        names.push_back(fmt::format("{}", fmt::join(candidate.name, " ")));
    }
    const std::vector<std::string_view> views{names.begin(), names.end()};
    const std::string given = fmt::format("{}", fmt::join(words, " "));
    return report_usage_error(
        fmt::format(
            "unknown command \"{}\"; the nearest command is \"{}\"; see "
            "hickorygap --help",
            given, nearest_name(given, views)),
        error);
}

} // namespace

absl::StatusOr<command_options>
parse_command_line(std::span<const std::string> arguments)
{
    // absl::ParseCommandLine exits with code 1 on an invalid flag, but here
    // code 1 means exit_code::refused. Each flag is therefore set separately,
    // and mistakes end with exit_code::usage.
    reset_flags();
    command_options result;
    for (std::size_t i = 0; i < arguments.size(); ++i)
    {
        const std::string& argument = arguments[i];
        if (!argument.starts_with("--"))
        {
            result.words.push_back(argument);
            continue;
        }
        const auto consumed = set_flag(
            std::string_view{argument}.substr(2), arguments.subspan(i + 1));
        if (!consumed.ok())
        {
            return consumed.status();
        }
        i += *consumed;
    }
    result.json = absl::GetFlag(FLAGS_json);
    result.help = absl::GetFlag(FLAGS_help);
    result.settings_file = absl::GetFlag(FLAGS_settings);
    result.servers = absl::GetFlag(FLAGS_server);
    result.token_file = absl::GetFlag(FLAGS_token_file);
    result.ca_file = absl::GetFlag(FLAGS_ca_file);
    result.organisation = absl::GetFlag(FLAGS_organisation);
    result.chat = absl::GetFlag(FLAGS_chat);
    result.from = absl::GetFlag(FLAGS_from);
    result.to = absl::GetFlag(FLAGS_to);
    result.limit = absl::GetFlag(FLAGS_limit);
    return result;
}

exit_code run_command(const command_options& options, command_streams streams)
{
    if (options.help)
    {
        streams.out << overview;
        return exit_code::done;
    }
    if (options.words.empty())
    {
        streams.error << overview;
        return exit_code::usage;
    }
    for (const command& candidate : commands())
    {
        if (!starts_with(options.words, candidate.name))
        {
            continue;
        }
        const std::size_t given = options.words.size() - candidate.name.size();
        if (given < candidate.min_arguments || given > candidate.max_arguments)
        {
            return report_usage_error(
                fmt::format(
                    "{} takes {}{} argument(s) but got {}; see hickorygap "
                    "--help",
                    fmt::join(candidate.name, " "),
                    candidate.max_arguments > candidate.min_arguments
                        ? "at least "
                        : "",
                    candidate.min_arguments, given),
                streams.error);
        }
        return candidate.run(options, streams);
    }
    return unknown_command(options.words, streams.error);
}

int run_command_line(int argc, char** argv, const fleet_dialects& dialects)
{
    const std::vector<std::string> arguments{argv + 1, argv + argc};
    auto options = parse_command_line(arguments);
    if (!options.ok())
    {
        std::cerr << "hickorygap: " << options.status().message() << "\n";
        return static_cast<int>(exit_code::usage);
    }
    options->dialects = &dialects;
    const exit_code code =
        run_command(*options, {std::cin, std::cout, std::cerr});
    std::cout.flush();
    return static_cast<int>(code);
}

} // namespace hickorygap
