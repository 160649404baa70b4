#ifndef HICKORYGAP_PROCESS_COMMANDS_FLEET_COMMANDS_HPP
#define HICKORYGAP_PROCESS_COMMANDS_FLEET_COMMANDS_HPP

#include "process/commands/command_line.hpp"
#include "process/gateway/gateway.hpp"
#include "process/voter_node/voter_node.hpp"

namespace hickorygap
{

// Wire formats of the systems that routers and voters talk to: callers, backend
// servers and operators.
struct fleet_dialects
{
    gateway_dialects router;
    voter_dialects voter;
};

// Run a router or a voter until a signal shuts it down. SIGHUP reloads the
// settings file.
exit_code run_router(const command_options& options, command_streams streams);
exit_code run_voter(const command_options& options, command_streams streams);

} // namespace hickorygap

#endif
