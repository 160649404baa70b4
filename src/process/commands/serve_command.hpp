#ifndef HICKORYGAP_PROCESS_COMMANDS_SERVE_COMMAND_HPP
#define HICKORYGAP_PROCESS_COMMANDS_SERVE_COMMAND_HPP

#include "process/settings/settings.hpp"

namespace hickorygap
{

// Runs an instance until SIGTERM or SIGINT. Returns an exit_code as the exit
// code of the process; refused when the instance can't start, fails, or can't
// drain its requests in time.
int run_serve(const settings& effective);

} // namespace hickorygap

#endif
