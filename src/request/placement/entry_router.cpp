#include "request/placement/entry_router.hpp"

#include "common/hashing.hpp"
#include "version/configuration/cell_map.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <span>
#include <utility>

namespace hickorygap
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time within which an owner should answer; the round trip takes at most a few
// milliseconds.
constexpr duration answer_timeout{milliseconds{200}};

// Number of unanswered sends to one owner after which the next candidate is
// contacted.
constexpr std::uint32_t max_sends_per_owner = 2;

// A queued query is sent again after this time, or after a quarter of its
// target if that is longer, to detect the loss of the grant or of the owner.
// The interval doubles with each resend: at a fixed second, a long queue of
// background requests cost 83 KB/s on one instance.
constexpr duration min_queued_resend_interval{seconds{1}};

// Time for which a cell that refused a rank because of overload gets no
// spillover of that rank. Without it, each refusal in a flood would cost two
// requests.
constexpr duration spillover_backoff{milliseconds{500}};

// Time for which an owner that did not answer is skipped. One query per such
// period tests whether it answers again.
constexpr duration unresponsive_skip_time{seconds{1}};

// Time for which an instance is skipped that does not consider itself the
// owner; the membership views converge within seconds.
constexpr duration not_owner_skip_time{milliseconds{300}};

// Maximum wait for a placement while no owner is reachable.
constexpr duration max_wait_without_owner{seconds{1}};

// Maximum number of queries that wait while no owner is reachable.
constexpr std::size_t max_queries_without_owner = 256;

constexpr duration retry_after_without_owner{seconds{1}};
constexpr duration min_retry_after{seconds{1}};
constexpr duration retry_after_partitioned{seconds{10}};

// Grants are renewed after half of their lease.
constexpr duration renewal_age = cell_owner::grant_lease / 2;

// Time for which a refusal because of overload is reused for other queries of
// the same organisation and rank, to save messages during a surge. The queue
// ahead of such a query takes at least a second, so no slot stays unused.
constexpr duration refusal_reuse_time{milliseconds{200}};

// Cells contacted for one query: the chat's cell, and one for spillover.
constexpr std::size_t cells_per_query = 2;

// Chats that this instance remembers: those of the last 10 minutes at the
// design load of 8 requests/s per instance. Takes 150 KB.
constexpr std::size_t max_recent_chats = 4096;

// Chats in one answer to a new owner, 16 bytes each.
constexpr std::size_t max_chats_per_answer = 512;

request_key key_of(const placement_query& query)
{
    return {query.request, query.attempt};
}

std::uint32_t to_ms(duration value)
{
    const auto count = std::chrono::duration_cast<milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        count, 0, std::numeric_limits<std::uint32_t>::max()));
}

bool shares_refusals(const placement_query& query)
{
    return query.attempt == 1 && !query.isolated;
}

bool allows_spillover(wire::refusal_reason reason)
{
    return reason == wire::refusal_reason::overloaded ||
           reason == wire::refusal_reason::no_backend_server ||
           reason == wire::refusal_reason::unknown_cell;
}

} // namespace

entry_router::entry_router(instance_id self, owner_map& owners)
    : self_(self)
    , owners_(owners)
    , topology_(std::make_shared<placement_topology>())
    , recent_chats_(max_recent_chats)
{
}

void entry_router::set_topology(topology_ptr topology, time_point now)
{
    topology_ = std::move(topology);
    move_grants_to_new_cells(now);
    members_changed(now);
}

// Moves grants on servers that changed their cell to the new cell, and renews
// them there at once. At the owner of the old cell they expire.
void entry_router::move_grants_to_new_cells(time_point now)
{
    std::map<backend_server_id, cell_id> cells;
    for (const cell& listed_cell : topology_->cells)
    {
        for (const backend_server_id server : listed_cell.backend_servers)
        {
            cells[server] = listed_cell.id;
        }
    }
    for (auto& [key, held] : held_)
    {
        const auto found = cells.find(held.server);
        if (found != cells.end() && found->second != held.cell)
        {
            --held_per_cell_[held.cell];
            held.cell = found->second;
            ++held_per_cell_[held.cell];
            held.renew_at = now;
        }
    }
}

// Queries whose owner is no longer a member are sent to the new owner without
// waiting for the timeout.
void entry_router::members_changed(time_point now)
{
    const auto members = owners_.members();
    std::vector<request_key> orphans;
    for (auto& [key, pending] : pending_)
    {
        const bool live =
            std::binary_search(members.begin(), members.end(), pending.owner);
        if (pending.owner != 0 && !live)
        {
            orphans.push_back(key);
        }
    }
    for (const request_key& key : orphans)
    {
        pending_query& pending = pending_.at(key);
        std::erase_if(
            pending.contacted, [&](const contacted_owner& contacted)
            { return contacted.owner == pending.owner; });
        contact_owner(pending, now);
    }
}

void entry_router::set_partitioned(bool partitioned, time_point)
{
    partitioned_ = partitioned;
    while (partitioned_ && !pending_.empty())
    {
        withdraw_and_refuse(
            pending_.begin(), wire::refusal_reason::cut_off,
            retry_after_partitioned);
    }
}

void entry_router::submit(const placement_query& query, time_point now)
{
    const request_key key = key_of(query);
    if (held_.contains(key) || pending_.contains(key))
    {
        return;
    }
    const auto position = pending_.emplace(key, pending_query{}).first;
    pending_query& pending = position->second;
    pending.query = query;
    pending.submitted = now;
    if (partitioned_)
    {
        refuse_locally(
            position, wire::refusal_reason::cut_off, retry_after_partitioned);
        return;
    }
    const std::uint64_t hash_key = query.chat != 0 ? query.chat : query.request;
    for (const cell* candidate :
         cells_in_order(topology_->cells, query.service, hash_key))
    {
        if (pending.cells.size() < cells_per_query)
        {
            pending.cells.push_back(candidate->id);
        }
    }
    if (pending.cells.empty())
    {
        refuse_locally(
            position, wire::refusal_reason::no_backend_server,
            retry_after_without_owner);
        return;
    }
    const auto recent = recent_refusals_.find(refusal_key(pending));
    if (shares_refusals(query) && recent != recent_refusals_.end() &&
        now - recent->second.refused < refusal_reuse_time)
    {
        refuse_locally(
            position, wire::refusal_reason::overloaded,
            recent->second.retry_after);
        return;
    }
    contact_owner(pending, now);
    if (pending.owner == 0)
    {
        handle_no_owner(position, now);
    }
}

entry_router::organisation_key
entry_router::refusal_key(const pending_query& pending) const
{
    return {
        pending.cells.front(), pending.query.request_rank,
        pending.query.organisation};
}

// Chooses the owner to contact and sends it the query. Sets the owner to 0 when
// none is reachable.
void entry_router::contact_owner(pending_query& pending, time_point now)
{
    const cell_id cell = pending.cells[pending.cell_position];
    pending.owner = owners_.candidate(cell, now);
    pending.unanswered_sends = 0;
    pending.acknowledged = false;
    pending.resend_interval = initial_resend_interval(pending.query);
    if (pending.owner != 0)
    {
        send_request(pending, now);
    }
}

duration
entry_router::initial_resend_interval(const placement_query& query) const
{
    const auto found = topology_->services.find(query.service);
    if (found == topology_->services.end())
    {
        return min_queued_resend_interval;
    }
    const auto rank_number = static_cast<std::size_t>(query.request_rank);
    return std::max(
        min_queued_resend_interval,
        found->second.ranks[rank_number].target / 4);
}

void entry_router::send_request(pending_query& pending, time_point now)
{
    const cell_id cell = pending.cells[pending.cell_position];
    const placement_query& query = pending.query;
    wire::placement_request_msg message;
    message.request = query.request;
    message.attempt = query.attempt;
    message.cell = cell;
    message.chat = query.chat;
    message.organisation = query.organisation;
    message.rank = static_cast<std::uint8_t>(query.request_rank);
    message.expected_cost = query.expected_cost;
    message.deadline_ms = to_ms(query.deadline - now);
    message.excluded = query.excluded;
    message.isolated = query.isolated;
    message.waited_ms = to_ms(query.waited + (now - pending.submitted));
    pending.last_sent = now;
    const bool known = std::any_of(
        pending.contacted.begin(), pending.contacted.end(),
        [&](const contacted_owner& contacted)
        { return contacted.owner == pending.owner && contacted.cell == cell; });
    if (!known)
    {
        pending.contacted.push_back({pending.owner, cell});
    }
    send(pending.owner, std::move(message));
}

// When no owner of the cell is reachable: places the request locally within
// this instance's share of the slots, which keeps the chat in its cell; if that
// is not possible, contacts the owner of the other cell.
void entry_router::handle_no_owner(
    pending_map::iterator position, time_point now)
{
    pending_query& pending = position->second;
    if (pending.first_refusal)
    {
        // A cell has already refused the query; local placement would bypass
        // this.
        decide_refusal(
            position, pending.first_refusal->reason,
            pending.first_refusal->retry_after);
        return;
    }
    if (try_place_locally(position, now))
    {
        return;
    }
    while (pending.cell_position + 1 < pending.cells.size())
    {
        ++pending.cell_position;
        contact_owner(pending, now);
        if (pending.owner != 0)
        {
            return;
        }
    }
    if (!pending.without_owner_since)
    {
        pending.without_owner_since = now;
    }
    const std::size_t waiting = static_cast<std::size_t>(std::count_if(
        pending_.begin(), pending_.end(),
        [](const auto& entry)
        { return entry.second.without_owner_since.has_value(); }));
    if (waiting > max_queries_without_owner)
    {
        withdraw_and_refuse(
            position, wire::refusal_reason::overloaded,
            retry_after_without_owner);
    }
}

// Refuses a query after withdrawing it from all owners that may have queued or
// granted it.
void entry_router::withdraw_and_refuse(
    pending_map::iterator position, wire::refusal_reason reason,
    duration retry_after)
{
    withdraw_from_others(position->second, position->first, {});
    refuse_locally(position, reason, retry_after);
}

bool entry_router::try_place_locally(
    pending_map::iterator position, time_point now)
{
    const pending_query& pending = position->second;
    // Isolation needs the owner's view of the load.
    if (pending.query.isolated || pending.query.deadline <= now)
    {
        return false;
    }
    const cell* chosen = topology_->find_cell(pending.cells.front());
    if (chosen == nullptr)
    {
        return false;
    }
    const backend_server_id server = choose_local_server(*chosen, pending);
    if (server == 0)
    {
        return false;
    }
    record_local(pending, *chosen, server);
    withdraw_from_others(pending, position->first, {});
    placement_grant grant;
    grant.request = pending.query.request;
    grant.attempt = pending.query.attempt;
    grant.granting_cell = chosen->id;
    grant.backend_server = server;
    grant.queued = now - pending.submitted;
    decide_grant(position, grant, self_, now);
    return true;
}

// This instance's share of the slots of the cell, compared with all its grants
// there. At least one, so that placement also works when there are more members
// than slots.
std::size_t entry_router::local_limit(const cell& chosen) const
{
    std::size_t slots = 0;
    for (const backend_server_id id : chosen.backend_servers)
    {
        const auto server = topology_->backend_servers.find(id);
        slots += server == topology_->backend_servers.end()
                     ? 0
                     : server->second.slots;
    }
    return std::max<std::size_t>(1, slots / owners_.members().size());
}

backend_server_id entry_router::choose_local_server(
    const cell& chosen, const pending_query& pending) const
{
    if (owners_.members().empty())
    {
        return 0;
    }
    const auto in_cell = held_per_cell_.find(chosen.id);
    if (in_cell != held_per_cell_.end() &&
        in_cell->second >= local_limit(chosen))
    {
        return 0;
    }
    const std::uint64_t hash_key =
        pending.query.chat != 0 ? pending.query.chat : pending.query.request;
    const engine_index server_index = recent_chats_.find(pending.query.chat)[0];
    const backend_server_id last_server =
        server_index == no_engine ? 0 : recent_chat_servers_[server_index];
    backend_server_id best = 0;
    std::uint64_t best_score = 0;
    for (const backend_server_id id : chosen.backend_servers)
    {
        const auto server = topology_->backend_servers.find(id);
        const std::vector<backend_server_id>& excluded = pending.query.excluded;
        if (server == topology_->backend_servers.end() ||
            server->second.state != backend_server_state::serving ||
            down_.contains(id) ||
            std::find(excluded.begin(), excluded.end(), id) != excluded.end())
        {
            continue;
        }
        const double share = server->second.slots /
                             static_cast<double>(owners_.members().size());
        const auto limit = std::max(1.0, std::ceil(share));
        const auto held = held_per_server_.find(id);
        if (held != held_per_server_.end() && held->second >= limit)
        {
            continue;
        }
        const std::uint64_t score =
            id == last_server ? std::numeric_limits<std::uint64_t>::max()
                              : rendezvous_score(hash_key, id);
        if (best == 0 || score > best_score)
        {
            best = id;
            best_score = score;
        }
    }
    return best;
}

void entry_router::withdraw(
    request_id request, std::uint8_t attempt, time_point)
{
    const auto position = pending_.find({request, attempt});
    if (position == pending_.end())
    {
        return;
    }
    withdraw_and_refuse(position, wire::refusal_reason::withdrawn, duration{0});
}

// Withdraws the query from every contacted owner except the one whose grant was
// accepted; an owner that granted it releases the grant.
void entry_router::withdraw_from_others(
    const pending_query& pending, const request_key& key,
    const contacted_owner& kept)
{
    for (const contacted_owner& contacted : pending.contacted)
    {
        if (contacted.owner == kept.owner && contacted.cell == kept.cell)
        {
            continue;
        }
        wire::placement_withdraw_msg message;
        message.request = key.request;
        message.attempt = key.attempt;
        message.cell = contacted.cell;
        send(contacted.owner, message);
    }
}

void entry_router::finish(const attempt_report& report, time_point)
{
    const request_key key{report.request, report.attempt};
    const auto position = held_.find(key);
    if (position == held_.end())
    {
        return;
    }
    const held_grant held = position->second;
    held_.erase(position);
    --held_per_server_[held.server];
    --held_per_cell_[held.cell];
    wire::grant_end_msg message;
    message.request = key.request;
    message.attempt = key.attempt;
    message.cell = held.cell;
    message.backend_server = held.server;
    message.outcome = report.outcome;
    message.actual_cost = report.actual_cost;
    message.first_token_ms = to_ms(report.first_byte);
    message.duration_ms = to_ms(report.total);
    const instance_id owner = owners_.owner_of(held.cell);
    if (owner != 0)
    {
        send(owner, message);
    }
    // After a change of owner, the instance that made the grant may still count
    // it.
    const auto members = owners_.members();
    if (held.granted_by != owner && held.granted_by != self_ &&
        std::binary_search(members.begin(), members.end(), held.granted_by))
    {
        send(held.granted_by, message);
    }
}

void entry_router::on_grant(
    instance_id from, const wire::placement_grant_msg& grant, time_point now)
{
    const request_key key{grant.request, grant.attempt};
    const auto held = held_.find(key);
    if (held != held_.end())
    {
        const bool duplicate = held->second.granted_by == from &&
                               held->second.cell == grant.cell &&
                               held->second.server == grant.backend_server;
        if (!duplicate)
        {
            return_grant(from, grant);
        }
        return;
    }
    const auto position = pending_.find(key);
    if (position == pending_.end())
    {
        return_grant(from, grant);
        return;
    }
    owners_.unskip(grant.cell, from);
    placement_grant accepted;
    accepted.request = grant.request;
    accepted.attempt = grant.attempt;
    accepted.granting_cell = grant.cell;
    accepted.backend_server = grant.backend_server;
    accepted.reused = grant.reused;
    accepted.queued = milliseconds{grant.queued_ms};
    withdraw_from_others(position->second, key, {from, grant.cell});
    decide_grant(position, accepted, from, now);
}

void entry_router::return_grant(
    instance_id to, const wire::placement_grant_msg& grant)
{
    wire::grant_end_msg message;
    message.request = grant.request;
    message.attempt = grant.attempt;
    message.cell = grant.cell;
    message.backend_server = grant.backend_server;
    message.outcome = wire::attempt_outcome::never_used;
    send(to, message);
}

void entry_router::on_refusal(
    instance_id from, const wire::placement_refusal_msg& refusal,
    time_point now)
{
    const auto position = pending_.find({refusal.request, refusal.attempt});
    if (position == pending_.end())
    {
        return;
    }
    pending_query& pending = position->second;
    const auto removed = std::erase_if(
        pending.contacted, [&](const contacted_owner& contacted)
        { return contacted.owner == from && contacted.cell == refusal.cell; });
    if (removed == 0 || pending.owner != from ||
        pending.cells[pending.cell_position] != refusal.cell)
    {
        // A late answer to an earlier request; the current owner decides.
        return;
    }
    if (refusal.reason == wire::refusal_reason::not_owner ||
        refusal.reason == wire::refusal_reason::cut_off)
    {
        owners_.skip(refusal.cell, from, now + not_owner_skip_time);
        contact_owner(pending, now);
        if (pending.owner == 0)
        {
            handle_no_owner(position, now);
        }
        return;
    }
    owners_.unskip(refusal.cell, from);
    pending.without_owner_since.reset();
    const duration retry_after = milliseconds{refusal.retry_after_ms};
    if (refusal.reason == wire::refusal_reason::overloaded)
    {
        last_overloaded_[{refusal.cell, pending.query.request_rank}] = now;
    }
    if (may_spill_over(pending, refusal.reason, now))
    {
        pending.first_refusal = placement_refusal{
            refusal.request, refusal.attempt, refusal.reason, retry_after};
        ++pending.cell_position;
        contact_owner(pending, now);
        if (pending.owner != 0)
        {
            return;
        }
    }
    const duration earliest =
        pending.first_refusal
            ? std::min(retry_after, pending.first_refusal->retry_after)
            : retry_after;
    const wire::refusal_reason reason =
        pending.first_refusal ? pending.first_refusal->reason : refusal.reason;
    // Retries and isolated requests may be refused for reasons that do not
    // apply to other queries.
    if (reason == wire::refusal_reason::overloaded &&
        shares_refusals(pending.query))
    {
        recent_refusals_[refusal_key(pending)] = {now, earliest};
    }
    decide_refusal(position, reason, earliest);
}

bool entry_router::may_spill_over(
    const pending_query& pending, wire::refusal_reason reason,
    time_point now) const
{
    if (!allows_spillover(reason) || pending.first_refusal ||
        pending.cell_position + 1 >= pending.cells.size())
    {
        return false;
    }
    const cell_id next = pending.cells[pending.cell_position + 1];
    const auto refused =
        last_overloaded_.find({next, pending.query.request_rank});
    return refused == last_overloaded_.end() ||
           now - refused->second >= spillover_backoff;
}

void entry_router::on_queued(
    instance_id from, const wire::placement_queued_msg& queued, time_point)
{
    const auto position = pending_.find({queued.request, queued.attempt});
    if (position == pending_.end())
    {
        // The withdrawal was lost or arrived before the query.
        wire::placement_withdraw_msg message;
        message.request = queued.request;
        message.attempt = queued.attempt;
        message.cell = queued.cell;
        if (!held_.contains({queued.request, queued.attempt}))
        {
            send(from, message);
        }
        return;
    }
    if (position->second.owner == from)
    {
        position->second.acknowledged = true;
        position->second.unanswered_sends = 0;
        position->second.without_owner_since.reset();
        owners_.unskip(queued.cell, from);
    }
}

void entry_router::on_grants_query(
    instance_id from, const wire::grants_query_msg& query)
{
    wire::grants_held_msg message;
    message.cell = query.cell;
    message.complete = true;
    for (const auto& [key, held] : held_)
    {
        if (held.cell == query.cell)
        {
            message.grants.push_back(std::make_unique<wire::held_grant_msg>(
                describe_held(key, held)));
        }
    }
    add_recent_chats(query.cell, message);
    send(from, std::move(message));
}

void entry_router::remember_chat(
    chat_id chat, backend_server_id server, time_point now)
{
    auto position = std::find(
        recent_chat_servers_.begin(), recent_chat_servers_.end(), server);
    if (position == recent_chat_servers_.end())
    {
        position = recent_chat_servers_.insert(position, server);
    }
    const auto server_index = position - recent_chat_servers_.begin();
    if (chat != 0 && server_index < no_engine)
    {
        recent_chats_.put(chat, static_cast<engine_index>(server_index), now);
    }
}

void entry_router::add_recent_chats(
    cell_id queried, wire::grants_held_msg& message) const
{
    const cell* queried_cell = topology_->find_cell(queried);
    if (queried_cell == nullptr)
    {
        return;
    }
    const std::set<backend_server_id> servers{
        queried_cell->backend_servers.begin(),
        queried_cell->backend_servers.end()};
    recent_chats_.visit_latest(
        [&](chat_id chat, engine_index server_index)
        {
            const backend_server_id server = recent_chat_servers_[server_index];
            if (servers.contains(server))
            {
                message.chats.push_back(chat);
                message.backend_servers.push_back(server);
            }
            return message.chats.size() < max_chats_per_answer;
        });
}

wire::held_grant_msg entry_router::describe_held(
    const request_key& key, const held_grant& held) const
{
    wire::held_grant_msg described;
    described.request = key.request;
    described.attempt = key.attempt;
    described.backend_server = held.server;
    described.chat = held.chat;
    described.organisation = held.organisation;
    described.rank = static_cast<std::uint8_t>(held.request_rank);
    described.expected_cost = held.cost;
    described.isolated = held.isolated;
    return described;
}

void entry_router::tick(time_point now)
{
    std::vector<request_key> due;
    for (const auto& [key, pending] : pending_)
    {
        const duration timeout =
            pending.acknowledged ? pending.resend_interval : answer_timeout;
        if (pending.owner == 0 || now - pending.last_sent >= timeout)
        {
            due.push_back(key);
        }
    }
    for (const request_key& key : due)
    {
        const auto position = pending_.find(key);
        if (position != pending_.end())
        {
            check_pending(position, now);
        }
    }
    renew_grants(now);
    std::erase_if(
        recent_refusals_, [&](const auto& entry)
        { return now - entry.second.refused >= refusal_reuse_time; });
}

void entry_router::check_pending(pending_map::iterator position, time_point now)
{
    pending_query& pending = position->second;
    if (pending.query.deadline <= now)
    {
        withdraw_and_refuse(
            position, wire::refusal_reason::deadline,
            retry_after_without_owner);
        return;
    }
    if (pending.without_owner_since &&
        now - *pending.without_owner_since >= max_wait_without_owner)
    {
        if (!try_place_locally(position, now))
        {
            withdraw_and_refuse(
                position, wire::refusal_reason::overloaded,
                retry_after_without_owner);
        }
        return;
    }
    if (pending.owner == 0)
    {
        pending.cell_position = 0;
        contact_owner(pending, now);
        if (pending.owner == 0)
        {
            handle_no_owner(position, now);
        }
        return;
    }
    if (pending.acknowledged)
    {
        // The next answer shows whether the owner is still reachable.
        pending.acknowledged = false;
        pending.resend_interval *= 2;
        send_request(pending, now);
        return;
    }
    ++pending.unanswered_sends;
    if (pending.unanswered_sends < max_sends_per_owner)
    {
        send_request(pending, now);
        return;
    }
    owners_.skip(
        pending.cells[pending.cell_position], pending.owner,
        now + unresponsive_skip_time);
    contact_owner(pending, now);
    if (pending.owner == 0)
    {
        handle_no_owner(position, now);
    }
}

// Renewals go to the current owner, which so learns of grants that an earlier
// owner made or that were placed locally.
void entry_router::renew_grants(time_point now)
{
    std::map<cell_id, wire::grants_held_msg> messages;
    for (auto& [key, held] : held_)
    {
        if (held.renew_at <= now)
        {
            held.renew_at = now + renewal_age;
            messages[held.cell].grants.push_back(
                std::make_unique<wire::held_grant_msg>(
                    describe_held(key, held)));
        }
    }
    for (auto& [cell, message] : messages)
    {
        message.cell = cell;
        const instance_id owner = owners_.owner_of(cell);
        if (owner != 0)
        {
            send(owner, std::move(message));
        }
    }
}

void entry_router::decide_grant(
    pending_map::iterator position, const placement_grant& grant,
    instance_id granted_by, time_point now)
{
    const request_key key = position->first;
    const placement_query& query = position->second.query;
    held_grant held;
    held.cell = grant.granting_cell;
    held.server = grant.backend_server;
    held.granted_by = granted_by;
    held.chat = query.chat;
    held.organisation = query.organisation;
    held.request_rank = query.request_rank;
    held.cost = query.expected_cost;
    held.isolated = query.isolated;
    // Reports a locally placed grant to the owner as soon as possible.
    held.renew_at = granted_by == self_ && owners_.owner_of(held.cell) != self_
                        ? now
                        : now + renewal_age;
    held_.emplace(key, held);
    remember_chat(query.chat, held.server, now);
    ++held_per_server_[held.server];
    ++held_per_cell_[held.cell];
    pending_.erase(position);
    decisions_.push_back({key.request, key.attempt, grant});
}

void entry_router::decide_refusal(
    pending_map::iterator position, wire::refusal_reason reason,
    duration retry_after)
{
    const request_key key = position->first;
    pending_.erase(position);
    // Every refusal has a Retry-After, except to a caller that has gone.
    const duration earliest = reason == wire::refusal_reason::withdrawn
                                  ? retry_after
                                  : std::max(retry_after, min_retry_after);
    decisions_.push_back(
        {key.request, key.attempt,
         placement_refusal{key.request, key.attempt, reason, earliest}});
}

// Refuses the query and records the decision, which no owner has recorded.
void entry_router::refuse_locally(
    pending_map::iterator position, wire::refusal_reason reason,
    duration retry_after)
{
    const placement_query& query = position->second.query;
    wire::decision_record_msg record = make_record(query);
    record.cell =
        position->second.cells.empty() ? 0 : position->second.cells.front();
    record.reason = static_cast<std::uint8_t>(placement_reason::refused);
    record.outcome = static_cast<std::uint8_t>(reason);
    records_.push_back(std::move(record));
    decide_refusal(position, reason, retry_after);
}

wire::decision_record_msg
entry_router::make_record(const placement_query& query) const
{
    wire::decision_record_msg record;
    record.request = query.request;
    record.chat = query.chat;
    record.organisation = query.organisation;
    record.rank = static_cast<std::uint8_t>(query.request_rank);
    record.version = topology_->version;
    return record;
}

void entry_router::on_backend_health(backend_server_id server, bool up)
{
    if (up)
    {
        down_.erase(server);
    }
    else
    {
        down_.insert(server);
    }
}

void entry_router::record_local(
    const pending_query& pending, const cell& chosen, backend_server_id server)
{
    wire::decision_record_msg record = make_record(pending.query);
    record.cell = chosen.id;
    for (const backend_server_id id : chosen.backend_servers)
    {
        const auto held = held_per_server_.find(id);
        record.candidates.push_back(id);
        record.loads.push_back(static_cast<std::uint16_t>(
            held == held_per_server_.end() ? 0 : held->second));
    }
    record.choice = server;
    record.reason = static_cast<std::uint8_t>(placement_reason::local);
    records_.push_back(std::move(record));
}

std::vector<outgoing_message> entry_router::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

std::vector<decided_placement> entry_router::take_decisions()
{
    return std::exchange(decisions_, {});
}

std::vector<wire::decision_record_msg> entry_router::take_records()
{
    return std::exchange(records_, {});
}

} // namespace hickorygap
