#include "router_fleet.hpp"

#include "version/configuration/cell_map.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap::bench
{

namespace
{

constexpr duration tick_interval{std::chrono::milliseconds{20}};

// Framing per message: length prefix and truncated HMAC.
constexpr std::uint64_t frame_bytes = 20;

instance_id id_of(std::size_t instance)
{
    return static_cast<instance_id>(instance + 1);
}

} // namespace

service_fleet::service_fleet(
    std::size_t instances, const placement_topology& topology,
    duration message_delay)
    : instances_(instances)
    , message_delay_(message_delay)
{
    std::vector<instance_id> members;
    for (std::size_t instance = 0; instance < instances; ++instance)
    {
        members.push_back(id_of(instance));
    }
    for (std::size_t instance = 0; instance < instances; ++instance)
    {
        instances_[instance].topology = topology;
        instances_[instance].members = members;
        create(instance, time_point{});
    }
}

void service_fleet::create(std::size_t instance, time_point now)
{
    instance_state& state = instances_[instance];
    state.service = std::make_unique<placement_service>(
        placement_service_options{id_of(instance), instance, {}});
    state.service->set_topology(
        std::make_shared<placement_topology>(state.topology), now);
    state.service->set_members(state.members, now);
    collect_output(instance, now);
}

void service_fleet::collect_output(std::size_t instance, time_point now)
{
    instance_state& state = instances_[instance];
    for (outgoing_message& message : state.service->take_outgoing())
    {
        wire::envelope_msg envelope;
        envelope.sender = id_of(instance);
        envelope.incarnation = 1;
        envelope.sequence = 1;
        envelope.payload = message.payload;
        state.bytes += encode(envelope).size() + frame_bytes;
        network_.push_back(
            {now + message_delay_, id_of(instance), std::move(message)});
    }
    for (const decided_placement& decided : state.service->take_decisions())
    {
        decisions_.push_back({instance, decided.decision});
    }
    state.service->take_records();
}

void service_fleet::submit(
    std::size_t instance, const placement_query& query, time_point now)
{
    instances_[instance].service->submit(query, now);
    collect_output(instance, now);
}

void service_fleet::finish(
    std::size_t instance, const attempt_report& report, time_point now)
{
    if (instances_[instance].service)
    {
        instances_[instance].service->finish(report, now);
        collect_output(instance, now);
    }
}

void service_fleet::advance(time_point now)
{
    while (delivered_count_ < network_.size() &&
           network_[delivered_count_].due <= now)
    {
        const message_in_flight message =
            std::move(network_[delivered_count_++]);
        const std::size_t to = message.message.destination - 1;
        if (instances_[to].service)
        {
            instances_[to].service->receive(
                message.from, message.message.payload, now);
            collect_output(to, now);
        }
    }
    if (delivered_count_ == network_.size())
    {
        network_.clear();
        delivered_count_ = 0;
    }
    if (now - last_tick_ >= tick_interval)
    {
        last_tick_ = now;
        for (std::size_t instance = 0; instance < instances_.size(); ++instance)
        {
            if (instances_[instance].service)
            {
                instances_[instance].service->tick(now);
                collect_output(instance, now);
            }
        }
    }
}

std::vector<fleet_decision> service_fleet::take_decisions()
{
    return std::exchange(decisions_, {});
}

void service_fleet::on_load_report(
    backend_server_id server, const load_report& report, time_point now)
{
    for (std::size_t instance = 0; instance < instances_.size(); ++instance)
    {
        if (instances_[instance].service)
        {
            instances_[instance].service->on_load_report(server, report, now);
            collect_output(instance, now);
        }
    }
}

void service_fleet::on_cache_event(
    backend_server_id server, const cache_event& event, time_point now)
{
    for (instance_state& state : instances_)
    {
        if (state.service)
        {
            state.service->on_cache_event(server, event, now);
        }
    }
}

void service_fleet::on_health(backend_server_id server, bool up, time_point now)
{
    for (std::size_t instance = 0; instance < instances_.size(); ++instance)
    {
        placement_service* service = instances_[instance].service.get();
        if (service == nullptr)
        {
            continue;
        }
        const auto polled = service->polled_backend_servers();
        if (up ||
            std::find(polled.begin(), polled.end(), server) != polled.end())
        {
            service->on_backend_health(server, up, now);
            collect_output(instance, now);
        }
    }
}

void service_fleet::set_serving(
    std::size_t instance, backend_server_id server, bool serving,
    time_point now)
{
    instance_state& state = instances_[instance];
    ++state.topology.version;
    state.topology.backend_servers[server].state =
        serving ? backend_server_state::serving : backend_server_state::leaving;
    if (state.service)
    {
        state.service->set_topology(
            std::make_shared<placement_topology>(state.topology), now);
        collect_output(instance, now);
    }
}

void service_fleet::kill(std::size_t instance)
{
    instances_[instance].service.reset();
}

void service_fleet::restart(std::size_t instance, time_point now)
{
    create(instance, now);
}

void service_fleet::set_members(
    std::size_t instance, const std::vector<bool>& live, time_point now)
{
    instance_state& state = instances_[instance];
    state.members.clear();
    for (std::size_t other = 0; other < live.size(); ++other)
    {
        if (live[other])
        {
            state.members.push_back(id_of(other));
        }
    }
    if (state.service)
    {
        state.service->set_members(state.members, now);
        collect_output(instance, now);
    }
}

std::vector<std::uint64_t> service_fleet::bytes_sent() const
{
    std::vector<std::uint64_t> result;
    for (const instance_state& state : instances_)
    {
        result.push_back(state.bytes);
    }
    return result;
}

policy_fleet::policy_fleet(
    std::vector<std::unique_ptr<placement_policy>> policies)
    : policies_(std::move(policies))
{
}

void policy_fleet::submit(
    std::size_t instance, const placement_query& query, time_point now)
{
    entry_instances_[query.request] = instance;
    const auto result = at(instance).place(query, now);
    if (const auto* grant = std::get_if<placement_grant>(&result))
    {
        decisions_.push_back({instance, *grant});
    }
    else if (const auto* refusal = std::get_if<placement_refusal>(&result))
    {
        decisions_.push_back({instance, *refusal});
    }
}

void policy_fleet::finish(
    std::size_t instance, const attempt_report& report, time_point now)
{
    at(instance).release(report, now);
}

void policy_fleet::advance(time_point now)
{
    const bool tick = now - last_tick_ >= tick_interval;
    last_tick_ = tick ? now : last_tick_;
    for (const auto& policy : policies_)
    {
        if (tick)
        {
            policy->tick(now);
        }
        for (const placement_decision& decision : policy->take_decided())
        {
            const request_id request = std::visit(
                [](const auto& made) { return made.request; }, decision);
            decisions_.push_back({entry_instances_[request], decision});
        }
    }
}

std::vector<fleet_decision> policy_fleet::take_decisions()
{
    return std::exchange(decisions_, {});
}

void policy_fleet::on_load_report(
    backend_server_id server, const load_report& report, time_point now)
{
    for (const auto& policy : policies_)
    {
        policy->on_load_report(server, report, now);
    }
}

void policy_fleet::on_cache_event(
    backend_server_id server, const cache_event& event, time_point now)
{
    for (const auto& policy : policies_)
    {
        policy->on_cache_event(server, event, now);
    }
}

void policy_fleet::on_health(backend_server_id server, bool up, time_point now)
{
    for (const auto& policy : policies_)
    {
        policy->on_backend_health(server, up, now);
    }
}

void policy_fleet::set_serving(
    std::size_t instance, backend_server_id server, bool serving,
    time_point now)
{
    at(instance).on_backend_health(server, serving, now);
}

void policy_fleet::kill(std::size_t)
{
}

void policy_fleet::restart(std::size_t, time_point)
{
}

void policy_fleet::set_members(
    std::size_t, const std::vector<bool>&, time_point)
{
}

std::vector<std::uint64_t> policy_fleet::bytes_sent() const
{
    return {0};
}

} // namespace hickorygap::bench
