#ifndef HICKORYGAP_PROCESS_COMMANDS_OPERATOR_COMMANDS_HPP
#define HICKORYGAP_PROCESS_COMMANDS_OPERATOR_COMMANDS_HPP

#include "process/commands/command_line.hpp"

namespace hickorygap
{

// ticket file F|-: files the ticket read from a file or from standard input.
exit_code ticket_file(const command_options& options, command_streams streams);

// ticket show N: prints an accepted ticket.
exit_code ticket_show(const command_options& options, command_streams streams);

// ticket list: prints the accepted tickets.
exit_code ticket_list(const command_options& options, command_streams streams);

// ticket verify: fetches all accepted tickets, recomputes their digests and
// hash chain, and compares them with the stored ones.
exit_code
ticket_verify(const command_options& options, command_streams streams);

// in-force: prints the configuration version that each instance and backend
// server applies, and since when.
exit_code
show_in_force(const command_options& options, command_streams streams);

// decisions: prints the decision records that match the filters.
exit_code
list_decisions(const command_options& options, command_streams streams);

// report burn: prints the burn rates of the error budgets by organisation and
// rank.
exit_code report_burn(const command_options& options, command_streams streams);

// status: prints the state of the first instance that responds.
exit_code show_status(const command_options& options, command_streams streams);

} // namespace hickorygap

#endif
