#ifndef HICKORYGAP_PROCESS_COMMANDS_SETTINGS_COMMAND_HPP
#define HICKORYGAP_PROCESS_COMMANDS_SETTINGS_COMMAND_HPP

#include "process/commands/command_line.hpp"

namespace hickorygap
{

// check-settings F: checks a settings file and prints the effective value of
// every key.
exit_code
check_settings(const command_options& options, command_streams streams);

} // namespace hickorygap

#endif
