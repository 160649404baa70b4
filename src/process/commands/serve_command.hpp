#ifndef HICKORYGAP_PROCESS_COMMANDS_SERVE_COMMAND_HPP
#define HICKORYGAP_PROCESS_COMMANDS_SERVE_COMMAND_HPP

#include "process/settings/settings.hpp"

namespace hickorygap
{

// Runs an instance until SIGTERM. Returns the process's exit code, see
// exit_code.
int run_serve(const settings& effective);

} // namespace hickorygap

#endif
