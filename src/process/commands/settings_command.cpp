#include "process/commands/settings_command.hpp"

#include "process/commands/text_table.hpp"
#include "process/settings/settings.hpp"
#include "process/settings/settings_table.hpp"

#include <fmt/format.h>

#include <ostream>

namespace hickorygap
{

namespace
{

// Prints a flat JSON object whose keys are the dotted paths of the settings.
void print_json(const settings& effective, std::ostream& out)
{
    std::string_view separator = "{\n";
    for (const setting& row : settings_table())
    {
        out << separator << "  \"" << row.key
            << "\": " << value_json(row, effective);
        separator = ",\n";
    }
    out << "\n}\n";
}

void print_table(const settings& effective, std::ostream& out)
{
    text_table table{{"KEY", "VALUE", "UNIT", "RANGE", "DEFAULT", "MEANING"}};
    for (const setting& row : settings_table())
    {
        const bool required = row.default_json.empty();
        table.add(
            {std::string{row.key}, value_json(row, effective),
             std::string{row.unit}, range_text(row),
             std::string{required ? "required" : row.default_json},
             std::string{row.description}});
    }
    table.print(out);
}

} // namespace

exit_code
check_settings(const command_options& options, command_streams streams)
{
    const auto effective = load_settings(options.words.back());
    if (!effective.ok())
    {
        streams.error << "hickorygap: " << effective.status().message() << "\n";
        return exit_code::refused;
    }
    if (options.json)
    {
        print_json(*effective, streams.out);
    }
    else
    {
        print_table(*effective, streams.out);
    }
    return exit_code::done;
}

} // namespace hickorygap
