#include "platform/configuration_document.hpp"
#include "platform/control_calls.hpp"
#include "platform/replica_list.hpp"
#include "platform/request_fields.hpp"
#include "process/commands/command_line.hpp"
#include "process/commands/fleet_commands.hpp"

int main(int argc, char** argv)
{
    const hickorygap::platform::request_fields requests;
    const hickorygap::platform::configuration_document configurations;
    const hickorygap::platform::replica_list backend_list;
    const hickorygap::platform::control_calls operators;
    const hickorygap::fleet_dialects dialects{
        {&requests, &configurations, &backend_list},
        {&configurations, &backend_list, &operators}};
    return hickorygap::run_command_line(argc, argv, dialects);
}
