#include "request/placement/placement_service.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

using std::chrono::milliseconds;

// Lease period of a lost owner. After this time, the new owner no longer
// assumes grants that it does not know.
constexpr duration lease_period{std::chrono::seconds{3}};

// Maximum number of chats in a handover, the most recently served first. At 16
// bytes each they stay well below the frame limit of 1 MiB.
constexpr std::size_t handover_chats = 32768;

std::uint32_t to_ms(duration value)
{
    const auto count = std::chrono::duration_cast<milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

// Rounds up, so that a caller never retries too early.
std::uint32_t to_ms_rounded_up(duration value)
{
    return to_ms(value + milliseconds{1} - duration{1});
}

placement_query
make_query(const wire::placement_request_msg& request, time_point now)
{
    placement_query query;
    query.request = request.request;
    query.attempt = request.attempt;
    query.service = request.service;
    query.chat = request.chat;
    query.organisation = request.organisation;
    query.request_rank =
        request.rank < rank_count ? rank{request.rank} : rank::background;
    query.expected_cost = request.expected_cost;
    query.deadline = now + milliseconds{request.deadline_ms};
    query.waited = milliseconds{request.waited_ms};
    query.excluded = request.excluded;
    query.fingerprint = request.fingerprint;
    query.isolated = request.isolated;
    return query;
}

} // namespace

placement_service::placement_service(placement_service_options options)
    : options_(options)
    , topology_(std::make_shared<placement_topology>())
    , owners_(options.self)
    , entry_(options.self, owners_)
{
}

void placement_service::set_configuration(
    const configuration_ptr& source, time_point now)
{
    set_topology(make_topology(*source), now);
}

void placement_service::set_topology(topology_ptr topology, time_point now)
{
    topology_ = std::move(topology);
    std::vector<cell_id> cells;
    for (const cell& listed_cell : topology_->cells)
    {
        cells.push_back(listed_cell.id);
    }
    owners_.set_cells(cells);
    refresh_ownership(now);
    for (auto& [id, owned] : owned_)
    {
        const cell* listed_cell = topology_->find_cell(id);
        owned->owner.set_description(topology_->describe(*listed_cell), now);
    }
    entry_.set_topology(topology_, now);
    flush(now);
}

void placement_service::set_members(
    std::span<const instance_id> live, time_point now)
{
    set_members(live, live, now);
}

void placement_service::set_members(
    std::span<const instance_id> owners, std::span<const instance_id> live,
    time_point now)
{
    const std::vector<instance_id> previous =
        std::exchange(live_, {live.begin(), live.end()});
    owners_.set_members(owners);
    release_lost_members(previous, now);
    refresh_ownership(now);
    entry_.members_changed(now);
    flush(now);
}

void placement_service::release_lost_members(
    std::span<const instance_id> previous, time_point now)
{
    for (const instance_id instance : previous)
    {
        if (std::binary_search(live_.begin(), live_.end(), instance))
        {
            continue;
        }
        for (auto& [id, owned] : owned_)
        {
            owned->owner.on_entry_router_lost(instance, now);
            owned->unreported_members.erase(instance);
            update_usable_share(*owned, now);
        }
    }
}

void placement_service::set_partitioned(bool partitioned, time_point now)
{
    partitioned_ = partitioned;
    entry_.set_partitioned(partitioned, now);
    for (auto& [id, owned] : owned_)
    {
        if (partitioned_)
        {
            owned->owner.refuse_all(wire::refusal_reason::cut_off);
        }
    }
    flush(now);
}

void placement_service::refresh_ownership(time_point now)
{
    std::vector<cell_id> lost;
    for (const auto& [id, owned] : owned_)
    {
        if (owners_.owner_of(id) != options_.self)
        {
            lost.push_back(id);
        }
    }
    for (const cell_id id : lost)
    {
        stop_owning(id);
    }
    for (const cell& listed_cell : topology_->cells)
    {
        if (owners_.owner_of(listed_cell.id) == options_.self &&
            !owned_.contains(listed_cell.id))
        {
            start_owning(listed_cell, now);
        }
    }
}

void placement_service::start_owning(const cell& owned, time_point now)
{
    auto created = std::make_unique<owned_cell>(
        topology_->describe(owned), options_.limits);
    for (const backend_server_id server : down_)
    {
        created->owner.on_backend_health(server, false, now);
    }
    created->share_limited_until = now + lease_period;
    wire::grants_query_msg query;
    query.cell = owned.id;
    for (const instance_id member : live_)
    {
        created->unreported_members.insert(member);
        send(member, query);
    }
    update_usable_share(*created, now);
    owned_.emplace(owned.id, std::move(created));
}

// Hands grants and chats over to the next owner. Entry routers send their
// waiting queries again to that owner.
void placement_service::stop_owning(cell_id cell)
{
    const auto position = owned_.find(cell);
    owned_cell& owned = *position->second;
    const bool known = topology_->find_cell(cell) != nullptr;
    const instance_id next = owners_.owner_of(cell);
    if (known && next != 0)
    {
        wire::cell_handover_msg handover;
        handover.cell = cell;
        for (const wire::held_grant_msg& held : owned.owner.held_grants())
        {
            handover.grants.push_back(
                std::make_unique<wire::held_grant_msg>(held));
        }
        for (const auto& [chat, server] :
             owned.owner.recent_chats(handover_chats))
        {
            handover.chats.push_back(chat);
            handover.backend_servers.push_back(server);
        }
        send(next, std::move(handover));
    }
    owned.owner.refuse_all(
        known ? wire::refusal_reason::not_owner
              : wire::refusal_reason::unknown_cell);
    collect(cell, owned.owner);
    owned_.erase(position);
}

// Members that have not answered may hold grants that this owner does not
// count. Their share of the slots is left unused until the lease period has
// passed.
void placement_service::update_usable_share(owned_cell& owned, time_point now)
{
    if (now >= owned.share_limited_until)
    {
        owned.unreported_members.clear();
    }
    const double members =
        std::max<double>(1.0, static_cast<double>(owners_.members().size()));
    const double known =
        members - static_cast<double>(owned.unreported_members.size());
    owned.owner.set_usable_share(known / members, now);
}

void placement_service::submit(const placement_query& query, time_point now)
{
    entry_.submit(query, now);
    flush(now);
}

void placement_service::withdraw(
    request_id request, std::uint8_t attempt, time_point now)
{
    entry_.withdraw(request, attempt, now);
    flush(now);
}

void placement_service::finish(const attempt_report& report, time_point now)
{
    entry_.finish(report, now);
    flush(now);
}

void placement_service::receive(
    instance_id from, const wire::payloadUnion& payload, time_point now)
{
    deliver(from, payload, now);
    flush(now);
}

void placement_service::deliver(
    instance_id from, const wire::payloadUnion& payload, time_point now)
{
    if (const auto* request = message_in<wire::placement_request_msg>(payload))
    {
        on_request(from, *request, now);
    }
    else if (const auto* grant = message_in<wire::placement_grant_msg>(payload))
    {
        entry_.on_grant(from, *grant, now);
    }
    else if (
        const auto* refusal = message_in<wire::placement_refusal_msg>(payload))
    {
        entry_.on_refusal(from, *refusal, now);
    }
    else if (
        const auto* queued = message_in<wire::placement_queued_msg>(payload))
    {
        entry_.on_queued(from, *queued, now);
    }
    else if (
        const auto* withdrawal =
            message_in<wire::placement_withdraw_msg>(payload))
    {
        const auto owned = owned_.find(withdrawal->cell);
        if (owned != owned_.end())
        {
            owned->second->owner.withdraw(
                withdrawal->request, withdrawal->attempt, now);
        }
    }
    else if (const auto* end = message_in<wire::grant_end_msg>(payload))
    {
        on_grant_end(from, *end, now);
    }
    else if (const auto* query = message_in<wire::grants_query_msg>(payload))
    {
        owners_.clear_departing(from);
        refresh_ownership(now);
        entry_.on_grants_query(from, *query);
    }
    else if (const auto* held = message_in<wire::grants_held_msg>(payload))
    {
        on_grants_held(from, *held, now);
    }
    else if (
        const auto* handover = message_in<wire::cell_handover_msg>(payload))
    {
        on_handover(from, *handover, now);
    }
}

void placement_service::on_request(
    instance_id from, const wire::placement_request_msg& request,
    time_point now)
{
    placement_refusal refusal{
        request.request, request.attempt, wire::refusal_reason::none,
        duration{0}};
    const auto position = owned_.find(request.cell);
    if (partitioned_)
    {
        refusal.reason = wire::refusal_reason::cut_off;
    }
    else if (topology_->find_cell(request.cell) == nullptr)
    {
        refusal.reason = wire::refusal_reason::unknown_cell;
    }
    else if (position == owned_.end())
    {
        refusal.reason = wire::refusal_reason::not_owner;
    }
    if (refusal.reason != wire::refusal_reason::none)
    {
        answer(from, request.cell, refusal);
        return;
    }
    const placement_result result =
        position->second->owner.place_for(from, make_query(request, now), now);
    if (const auto* grant = std::get_if<placement_grant>(&result))
    {
        answer(from, request.cell, *grant);
    }
    else if (const auto* refused = std::get_if<placement_refusal>(&result))
    {
        answer(from, request.cell, *refused);
    }
    else
    {
        wire::placement_queued_msg queued;
        queued.request = request.request;
        queued.attempt = request.attempt;
        queued.cell = request.cell;
        send(from, queued);
    }
}

void placement_service::answer(
    instance_id entry, cell_id cell, const placement_grant& grant)
{
    wire::placement_grant_msg message;
    message.request = grant.request;
    message.attempt = grant.attempt;
    message.cell = cell;
    message.backend_server = grant.backend_server;
    message.queued_ms = to_ms(grant.queued);
    message.reused = grant.reused;
    send(entry, message);
}

void placement_service::answer(
    instance_id entry, cell_id cell, const placement_refusal& refusal)
{
    wire::placement_refusal_msg message;
    message.request = refusal.request;
    message.attempt = refusal.attempt;
    message.cell = cell;
    message.reason = refusal.reason;
    message.retry_after_ms = to_ms_rounded_up(refusal.retry_after);
    send(entry, message);
}

void placement_service::on_grant_end(
    instance_id from, const wire::grant_end_msg& end, time_point now)
{
    const auto owned = owned_.find(end.cell);
    if (owned == owned_.end())
    {
        const instance_id next = owners_.owner_of(end.cell);
        if (handing_over_ && next != 0 && next != from)
        {
            // The entry router has not yet learned of the next owner.
            send(next, end);
        }
        return;
    }
    attempt_report report;
    report.request = end.request;
    report.attempt = end.attempt;
    report.granting_cell = end.cell;
    report.backend_server = end.backend_server;
    report.outcome = end.outcome;
    report.actual_cost = end.actual_cost;
    report.first_byte = milliseconds{end.first_token_ms};
    report.total = milliseconds{end.duration_ms};
    owned->second->owner.release(report, now);
}

void placement_service::on_grants_held(
    instance_id from, const wire::grants_held_msg& held, time_point now)
{
    const auto position = owned_.find(held.cell);
    if (position == owned_.end())
    {
        return;
    }
    owned_cell& owned = *position->second;
    for (const auto& grant : held.grants)
    {
        owned.owner.adopt(from, *grant, now);
    }
    adopt_chats(owned.owner, held.chats, held.backend_servers, now);
    if (held.complete)
    {
        owned.unreported_members.erase(from);
        update_usable_share(owned, now);
    }
}

void placement_service::on_handover(
    instance_id from, const wire::cell_handover_msg& handover, time_point now)
{
    if (owners_.owner_of(handover.cell) == from)
    {
        // Only an instance that is shutting down hands over a cell that it
        // still owns in this instance's membership view.
        owners_.set_departing(from);
        refresh_ownership(now);
    }
    const auto position = owned_.find(handover.cell);
    if (position == owned_.end())
    {
        return;
    }
    cell_owner& owner = position->second->owner;
    for (const auto& grant : handover.grants)
    {
        owner.adopt(0, *grant, now);
    }
    adopt_chats(owner, handover.chats, handover.backend_servers, now);
}

// The most recent chat comes first in the message and must be added last.
void placement_service::adopt_chats(
    cell_owner& owner, std::span<const chat_id> chats,
    std::span<const backend_server_id> servers, time_point now)
{
    for (std::size_t left = std::min(chats.size(), servers.size()); left-- > 0;)
    {
        owner.adopt_chat(chats[left], servers[left], now);
    }
}

void placement_service::tick(time_point now)
{
    entry_.tick(now);
    for (auto& [id, owned] : owned_)
    {
        if (!owned->unreported_members.empty() &&
            now >= owned->share_limited_until)
        {
            update_usable_share(*owned, now);
        }
        owned->owner.tick(now);
    }
    flush(now);
}

void placement_service::on_load_report(
    backend_server_id server, const load_report& report, time_point now)
{
    for (auto& [id, owned] : owned_)
    {
        owned->owner.on_load_report(server, report, now);
    }
    flush(now);
}

void placement_service::on_cache_event(
    backend_server_id server, const cache_event& event, time_point now)
{
    for (auto& [id, owned] : owned_)
    {
        owned->owner.on_cache_event(server, event, now);
    }
}

void placement_service::on_backend_health(
    backend_server_id server, bool up, time_point now)
{
    if (up)
    {
        down_.erase(server);
    }
    else
    {
        down_.insert(server);
    }
    entry_.on_backend_health(server, up);
    for (auto& [id, owned] : owned_)
    {
        owned->owner.on_backend_health(server, up, now);
    }
    flush(now);
}

void placement_service::begin_handover(time_point now)
{
    if (owners_.members().size() > 1)
    {
        handing_over_ = true;
        owners_.set_departing(options_.self);
        refresh_ownership(now);
        entry_.members_changed(now);
    }
    flush(now);
}

void placement_service::collect(cell_id cell, cell_owner& owner)
{
    for (const owner_decision& decided : owner.take_owner_decisions())
    {
        std::visit(
            [&](const auto& decision)
            { answer(decided.entry, cell, decision); },
            decided.decision);
    }
    auto records = owner.take_records();
    std::move(records.begin(), records.end(), std::back_inserter(records_));
}

void placement_service::flush(time_point now)
{
    bool again = true;
    while (again)
    {
        again = false;
        for (auto& [id, owned] : owned_)
        {
            collect(id, owned->owner);
        }
        std::vector<outgoing_message> messages = std::exchange(unrouted_, {});
        auto from_entry = entry_.take_outgoing();
        std::move(
            from_entry.begin(), from_entry.end(), std::back_inserter(messages));
        for (outgoing_message& message : messages)
        {
            if (message.destination == options_.self)
            {
                again = true;
                deliver(options_.self, message.payload, now);
            }
            else if (message.destination != 0)
            {
                outgoing_.push_back(std::move(message));
            }
        }
        again = again || !unrouted_.empty();
    }
}

std::vector<outgoing_message> placement_service::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

std::vector<decided_placement> placement_service::take_decisions()
{
    return entry_.take_decisions();
}

std::vector<wire::decision_record_msg> placement_service::take_records()
{
    auto result = std::exchange(records_, {});
    auto local = entry_.take_records();
    std::move(local.begin(), local.end(), std::back_inserter(result));
    return result;
}

std::vector<cell_id> placement_service::owned_cells() const
{
    std::vector<cell_id> result;
    for (const auto& [id, owned] : owned_)
    {
        result.push_back(id);
    }
    return result;
}

std::vector<backend_server_id> placement_service::polled_backend_servers() const
{
    std::vector<backend_server_id> result;
    for (const auto& [id, owned] : owned_)
    {
        const cell* listed_cell = topology_->find_cell(id);
        if (listed_cell != nullptr)
        {
            result.insert(
                result.end(), listed_cell->backend_servers.begin(),
                listed_cell->backend_servers.end());
        }
    }
    return result;
}

const cell_owner* placement_service::find_owned(cell_id cell) const
{
    const auto found = owned_.find(cell);
    return found == owned_.end() ? nullptr : &found->second->owner;
}

} // namespace hickorygap
