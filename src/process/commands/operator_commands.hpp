#ifndef HICKORYGAP_PROCESS_COMMANDS_OPERATOR_COMMANDS_HPP
#define HICKORYGAP_PROCESS_COMMANDS_OPERATOR_COMMANDS_HPP

#include "process/commands/command_line.hpp"

namespace hickorygap
{

// ticket file F|-: files the ticket in a file or on standard input.
exit_code ticket_file(const command_options& options, command_streams streams);

// ticket show N: prints an accepted ticket.
exit_code ticket_show(const command_options& options, command_streams streams);

// ticket list: prints the accepted tickets.
exit_code ticket_list(const command_options& options, command_streams streams);

// ticket verify: reads all accepted tickets and computes their digests and
// hash chain anew.
exit_code
ticket_verify(const command_options& options, command_streams streams);

// in-force: which configuration is in force where and since when.
exit_code
show_in_force(const command_options& options, command_streams streams);

// decisions: decision records that match the filters.
exit_code
list_decisions(const command_options& options, command_streams streams);

// report burn: use of the error budgets by organisation and rank.
exit_code report_burn(const command_options& options, command_streams streams);

// status: state of the instance that answers.
exit_code show_status(const command_options& options, command_streams streams);

} // namespace hickorygap

#endif
