#include "process/commands/explain_command.hpp"

#include "process/explain/request_trace.hpp"

#include <filesystem>
#include <fstream>
#include <istream>
#include <ostream>
#include <string>

namespace hickorygap
{

namespace
{

void add_log(std::istream& input, std::string_view source, request_trace& trace)
{
    std::string line;
    while (std::getline(input, line))
    {
        if (const auto record = parse_log_line(line, source))
        {
            trace.add(*record);
        }
    }
}

void print_records(
    std::string_view title, const std::vector<log_record>& records,
    std::ostream& out)
{
    out << title << "\n";
    for (const log_record& record : records)
    {
        out << "  " << record.source << " " << record.text << "\n";
    }
}

} // namespace

exit_code
explain_request(const command_options& options, command_streams streams)
{
    const std::string& id = options.words.at(1);
    request_trace trace{id};
    for (std::size_t i = 2; i < options.words.size(); ++i)
    {
        const std::string& path = options.words[i];
        if (path == "-")
        {
            add_log(streams.in, "input", trace);
            continue;
        }
        std::ifstream file{path};
        if (!file)
        {
            streams.error << "hickorygap: can't open the log file " << path
                          << "; check the path and the permissions\n";
            return exit_code::refused;
        }
        add_log(file, std::filesystem::path{path}.stem().string(), trace);
    }
    const auto lines = trace.lines();
    if (lines.empty())
    {
        streams.error
            << "hickorygap: no log line names request " << id
            << "; check the id, and pass the logs of all routers that "
               "ran at that time\n";
        return exit_code::refused;
    }
    print_records(
        "The router had last learned:", trace.state_lines(), streams.out);
    print_records("The request:", lines, streams.out);
    streams.out << "So:\n";
    for (const std::string& sentence : trace.explanation())
    {
        streams.out << "  " << sentence << "\n";
    }
    return exit_code::done;
}

} // namespace hickorygap
