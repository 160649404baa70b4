#include "process/control/operator_reports.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hickorygap
{

namespace
{

instance_state state_of(const wire::member_update_msg& member)
{
    switch (member.state)
    {
    case wire::member_state::alive:
        return member.ready || member.version == 0
                   ? instance_state::alive
                   : instance_state::partitioned;
    case wire::member_state::suspect:
        return instance_state::suspect;
    default:
        return instance_state::dead;
    }
}

instance_in_force
make_row(const wire::member_update_msg& member, const control_node& node)
{
    instance_in_force row;
    row.id = member.instance;
    row.name = fmt::format("instance-{}", member.instance);
    row.address = member.address;
    row.failure_domain = member.failure_domain;
    row.state = state_of(member);
    row.version = member.version;
    row.since = member.version_since_unix_ms;
    row.ready = member.ready && row.state == instance_state::alive;
    if (member.instance == node.options().self)
    {
        row.version = node.current_configuration()->version();
        row.since = node.version_since();
        row.ready = node.current_readiness() == readiness::ready;
        if (node.current_readiness() == readiness::cut_off)
        {
            row.state = instance_state::partitioned;
        }
    }
    return row;
}

// When the last live instance applied the version; nothing while one has not
// applied it, or is not known to have.
std::optional<unix_millis> find_fleet_since(const in_force_report& report)
{
    unix_millis latest = 0;
    for (const instance_in_force& row : report.instances)
    {
        if (row.state == instance_state::dead)
        {
            continue;
        }
        if (row.version < report.version || row.since == 0)
        {
            return std::nullopt;
        }
        latest = std::max(latest, row.since);
    }
    return latest == 0 ? std::nullopt : std::optional{latest};
}

backend_server_in_force make_row(
    const backend_server& server, const configuration& current,
    unix_millis since)
{
    backend_server_in_force row;
    row.name = server.name;
    const service* target = current.find_service(server.service);
    row.service = target == nullptr ? "" : target->name;
    row.state = server.state;
    row.version = current.version();
    row.since = since;
    row.checks_fencing = server.checks_fencing;
    return row;
}

// Instances that have a vote now. A voter knows them from the replicated log;
// other instances know only the voters that the last ticket sets.
std::vector<instance_id> voting_instances(const control_node& node)
{
    const voter* replica = node.replica();
    if (replica == nullptr)
    {
        return {node.voters().begin(), node.voters().end()};
    }
    std::vector<instance_id> result;
    const voter_status status = replica->status();
    for (const voter_identity& member : status.voters.voters)
    {
        result.push_back(member.instance);
    }
    return result;
}

voter_role role_of(const control_node& node)
{
    const voter* replica = node.replica();
    if (replica == nullptr)
    {
        return voter_role::none;
    }
    const voter_status status = replica->status();
    if (!status.votes)
    {
        return voter_role::learner;
    }
    switch (status.role)
    {
    case raft_role::leader:
        return voter_role::leader;
    case raft_role::follower:
        return voter_role::follower;
    default:
        return voter_role::candidate;
    }
}

} // namespace

in_force_report make_in_force_report(const control_node& node)
{
    in_force_report report;
    const configuration_ptr current = node.current_configuration();
    report.version = current->version();
    for (const wire::member_update_msg& member : node.members().members())
    {
        if (member.state != wire::member_state::left)
        {
            report.instances.push_back(make_row(member, node));
        }
    }
    report.fleet_since = find_fleet_since(report);
    for (const auto& [id, server] : current->backend_servers())
    {
        report.backend_servers.push_back(
            make_row(server, *current, node.version_since()));
    }
    return report;
}

instance_status
make_instance_status(const control_node& node, const clock_reading& now)
{
    instance_status status;
    status.id = node.options().self;
    status.failure_domain = node.options().failure_domain;
    constexpr std::uint64_t micros_per_milli = 1000;
    status.started = node.options().incarnation / micros_per_milli;
    status.ready = node.current_readiness();
    status.version = node.current_configuration()->version();
    status.role = role_of(node);
    const voter* replica = node.replica();
    if (replica != nullptr)
    {
        status.leader = replica->leader();
        status.term = replica->term();
    }
    status.voters = voting_instances(node);
    status.members_alive = static_cast<std::uint32_t>(
        node.members().live_members(now.monotonic).size());
    status.members_known =
        static_cast<std::uint32_t>(node.members().members().size());
    status.requests_in_flight = node.placement().entry().held();
    status.conditions = node.conditions(now);
    return status;
}

} // namespace hickorygap
