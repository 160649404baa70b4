#ifndef HICKORYGAP_PROCESS_COMMANDS_EXPLAIN_COMMAND_HPP
#define HICKORYGAP_PROCESS_COMMANDS_EXPLAIN_COMMAND_HPP

#include "process/commands/command_line.hpp"

namespace hickorygap
{

// explain ID LOG...: prints the lines of the given logs ("-" for standard
// input) that concern one request, and the conclusions drawn from them. Refused
// when no line names the request or a log can't be opened.
exit_code
explain_request(const command_options& options, command_streams streams);

} // namespace hickorygap

#endif
