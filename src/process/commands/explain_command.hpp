#ifndef HICKORYGAP_PROCESS_COMMANDS_EXPLAIN_COMMAND_HPP
#define HICKORYGAP_PROCESS_COMMANDS_EXPLAIN_COMMAND_HPP

#include "process/commands/command_line.hpp"

namespace hickorygap
{

// explain ID LOG...: what the logs tell about one request.
exit_code
explain_request(const command_options& options, command_streams streams);

} // namespace hickorygap

#endif
