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

// Time within which an owner answers; the round trip takes at most a few
// milliseconds.
constexpr duration answer_timeout{milliseconds{200}};

// Sendings without an answer after which the next owner is asked.
constexpr std::uint32_t sendings_per_owner = 2;

// A queued query is repeated after this time, or after a quarter of its
// target if that is longer, so that the loss of the grant or of the owner is
// noticed. The time doubles with each repeat: at a fixed second, a long queue
// of background work cost 83 KB/s on one instance.
constexpr duration first_queued_repeat{seconds{1}};

// Time for which a cell that refused work as overloaded gets no spillover of
// the same rank; in a flood each refusal would otherwise cost two requests.
constexpr duration spill_pause{milliseconds{500}};

// Time for which an owner that did not answer is left out. One query in this
// time finds out whether it answers again.
constexpr duration unanswered_skip{seconds{1}};

// Time for which an instance that does not consider itself the owner is left
// out; views of the members converge within seconds.
constexpr duration declined_skip{milliseconds{300}};

// Longest wait for a place while no owner can be reached.
constexpr duration without_owner_limit{seconds{1}};

// Queries that may wait at once while no owner can be reached.
constexpr std::size_t without_owner_queries = 256;

constexpr duration retry_after_without_owner{seconds{1}};
constexpr duration least_retry_after{seconds{1}};
constexpr duration retry_after_partitioned{seconds{10}};

// Grants are renewed when half of their lease has passed.
constexpr duration renewal_age = cell_owner::grant_lease / 2;

// Time for which queries of an organisation and rank are refused here after
// the owner refused one as overloaded. The queue ahead of such a query is at
// least a second long, so that the pause leaves no slot unused; it saves the
// messages of a surge.
constexpr duration refusal_pause{milliseconds{200}};

// Cells that are asked for one query: the chat's cell and one for spillover.
constexpr std::size_t cells_per_query = 2;

// Chats that this instance remembers: those of the last 10 minutes at the
// target's 8 requests/s per instance. Takes 150 KB.
constexpr std::size_t recent_chats = 4096;

// Chats named in one answer to a new owner, 16 bytes each.
constexpr std::size_t announced_chats = 512;

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

bool is_ordinary(const placement_query& query)
{
    return query.attempt == 1 && !query.isolated;
}

bool may_spill(wire::refusal_reason reason)
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
    , recent_chats_(recent_chats)
{
}

void entry_router::set_topology(topology_ptr topology, time_point now)
{
    topology_ = std::move(topology);
    follow_moved_servers(now);
    members_changed(now);
}

// Tells the owner of the new cell about work on a server that changed its
// cell; the grant expires at the owner of the old one.
void entry_router::follow_moved_servers(time_point now)
{
    std::map<backend_server_id, cell_id> cells;
    for (const cell& present : topology_->cells)
    {
        for (const backend_server_id server : present.backend_servers)
        {
            cells[server] = present.id;
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

// A query whose owner is gone is sent to the new owner without waiting for
// the timeout.
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
            pending.asked, [&](const asked_owner& asked)
            { return asked.owner == pending.owner; });
        ask(pending, now);
    }
}

void entry_router::set_partitioned(bool partitioned, time_point)
{
    partitioned_ = partitioned;
    while (partitioned_ && !pending_.empty())
    {
        give_up(
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
        refuse_here(
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
        refuse_here(
            position, wire::refusal_reason::no_backend_server,
            retry_after_without_owner);
        return;
    }
    const auto paused = paused_.find(pause_key(pending));
    if (is_ordinary(query) && paused != paused_.end() &&
        now - paused->second.refused < refusal_pause)
    {
        refuse_here(
            position, wire::refusal_reason::overloaded,
            paused->second.retry_after);
        return;
    }
    ask(pending, now);
    if (pending.owner == 0)
    {
        ask_without_owner(position, now);
    }
}

entry_router::organisation_key
entry_router::pause_key(const pending_query& pending) const
{
    return {
        pending.cells.front(), pending.query.request_rank,
        pending.query.organisation};
}

// Chooses the owner to ask and sends the request; the owner is 0 afterwards
// when none can be reached.
void entry_router::ask(pending_query& pending, time_point now)
{
    const cell_id cell = pending.cells[pending.cell_position];
    pending.owner = owners_.candidate(cell, now);
    pending.unanswered = 0;
    pending.acknowledged = false;
    pending.repeat = first_repeat(pending.query);
    if (pending.owner != 0)
    {
        send_request(pending, now);
    }
}

duration entry_router::first_repeat(const placement_query& query) const
{
    const auto asked = topology_->services.find(query.service);
    if (asked == topology_->services.end())
    {
        return first_queued_repeat;
    }
    const auto number = static_cast<std::size_t>(query.request_rank);
    return std::max(
        first_queued_repeat, asked->second.ranks[number].target / 4);
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
    pending.sent = now;
    const bool known = std::any_of(
        pending.asked.begin(), pending.asked.end(),
        [&](const asked_owner& asked)
        { return asked.owner == pending.owner && asked.cell == cell; });
    if (!known)
    {
        pending.asked.push_back({pending.owner, cell});
    }
    send(pending.owner, std::move(message));
}

// No owner of the cell answers: place locally within this instance's share,
// which keeps the chat in its cell, else use the other cell.
void entry_router::ask_without_owner(
    pending_map::iterator position, time_point now)
{
    pending_query& pending = position->second;
    if (pending.first_refusal)
    {
        // Placing locally would go around the refusal.
        decide_refusal(
            position, pending.first_refusal->reason,
            pending.first_refusal->retry_after);
        return;
    }
    if (try_local(position, now))
    {
        return;
    }
    while (pending.cell_position + 1 < pending.cells.size())
    {
        ++pending.cell_position;
        ask(pending, now);
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
    if (waiting > without_owner_queries)
    {
        give_up(
            position, wire::refusal_reason::overloaded,
            retry_after_without_owner);
    }
}

// Refuses a query that an owner may still know of.
void entry_router::give_up(
    pending_map::iterator position, wire::refusal_reason reason,
    duration retry_after)
{
    withdraw_from_others(position->second, position->first, {});
    refuse_here(position, reason, retry_after);
}

bool entry_router::try_local(pending_map::iterator position, time_point now)
{
    const pending_query& pending = position->second;
    // Isolation can't be promised without the owner's view of the load.
    if (pending.query.isolated || pending.query.deadline <= now)
    {
        return false;
    }
    const cell* chosen = topology_->find_cell(pending.cells.front());
    if (chosen == nullptr)
    {
        return false;
    }
    const backend_server_id server = choose_local(*chosen, pending);
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

// This instance's share of the cell's slots, over all that it has in flight
// there. One is allowed always, so that a large fleet still serves.
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

backend_server_id entry_router::choose_local(
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
    const engine_index number = recent_chats_.find(pending.query.chat)[0];
    const backend_server_id home =
        number == no_engine ? 0 : numbered_servers_[number];
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
            id == home ? std::numeric_limits<std::uint64_t>::max()
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
    give_up(position, wire::refusal_reason::withdrawn, duration{0});
}

// Tells every owner that was asked, except the one whose answer was taken,
// to forget the query or to release what it granted.
void entry_router::withdraw_from_others(
    const pending_query& pending, const request_key& key,
    const asked_owner& kept)
{
    for (const asked_owner& asked : pending.asked)
    {
        if (asked.owner == kept.owner && asked.cell == kept.cell)
        {
            continue;
        }
        wire::placement_withdraw_msg message;
        message.request = key.request;
        message.attempt = key.attempt;
        message.cell = asked.cell;
        send(asked.owner, message);
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
    // After a change of owner the one that granted may still count it.
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
        pending.asked, [&](const asked_owner& asked)
        { return asked.owner == from && asked.cell == refusal.cell; });
    if (removed == 0 || pending.owner != from ||
        pending.cells[pending.cell_position] != refusal.cell)
    {
        // An answer to an earlier sending; the current owner decides.
        return;
    }
    if (refusal.reason == wire::refusal_reason::not_owner ||
        refusal.reason == wire::refusal_reason::cut_off)
    {
        owners_.skip(refusal.cell, from, now + declined_skip);
        ask(pending, now);
        if (pending.owner == 0)
        {
            ask_without_owner(position, now);
        }
        return;
    }
    owners_.unskip(refusal.cell, from);
    pending.without_owner_since.reset();
    const duration retry_after = milliseconds{refusal.retry_after_ms};
    if (refusal.reason == wire::refusal_reason::overloaded)
    {
        overloaded_[{refusal.cell, pending.query.request_rank}] = now;
    }
    if (can_spill(pending, refusal.reason, now))
    {
        pending.first_refusal = placement_refusal{
            refusal.request, refusal.attempt, refusal.reason, retry_after};
        ++pending.cell_position;
        ask(pending, now);
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
    // Later attempts and isolated ones may be refused for their own sake.
    if (reason == wire::refusal_reason::overloaded &&
        is_ordinary(pending.query))
    {
        paused_[pause_key(pending)] = {now, earliest};
    }
    decide_refusal(position, reason, earliest);
}

bool entry_router::can_spill(
    const pending_query& pending, wire::refusal_reason reason,
    time_point now) const
{
    if (!may_spill(reason) || pending.first_refusal ||
        pending.cell_position + 1 >= pending.cells.size())
    {
        return false;
    }
    const cell_id next = pending.cells[pending.cell_position + 1];
    const auto refused = overloaded_.find({next, pending.query.request_rank});
    return refused == overloaded_.end() || now - refused->second >= spill_pause;
}

void entry_router::on_queued(
    instance_id from, const wire::placement_queued_msg& queued, time_point)
{
    const auto position = pending_.find({queued.request, queued.attempt});
    if (position == pending_.end())
    {
        // The withdrawal was lost or overtaken.
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
        position->second.unanswered = 0;
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
    auto position =
        std::find(numbered_servers_.begin(), numbered_servers_.end(), server);
    if (position == numbered_servers_.end())
    {
        position = numbered_servers_.insert(position, server);
    }
    const auto number = position - numbered_servers_.begin();
    if (chat != 0 && number < no_engine)
    {
        recent_chats_.put(chat, static_cast<engine_index>(number), now);
    }
}

void entry_router::add_recent_chats(
    cell_id cell_number, wire::grants_held_msg& message) const
{
    const cell* asked = topology_->find_cell(cell_number);
    if (asked == nullptr)
    {
        return;
    }
    const std::set<backend_server_id> servers{
        asked->backend_servers.begin(), asked->backend_servers.end()};
    recent_chats_.visit_latest(
        [&](chat_id chat, engine_index number)
        {
            const backend_server_id server = numbered_servers_[number];
            if (servers.contains(server))
            {
                message.chats.push_back(chat);
                message.backend_servers.push_back(server);
            }
            return message.chats.size() < announced_chats;
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
            pending.acknowledged ? pending.repeat : answer_timeout;
        if (pending.owner == 0 || now - pending.sent >= timeout)
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
        paused_, [&](const auto& entry)
        { return now - entry.second.refused >= refusal_pause; });
}

void entry_router::check_pending(pending_map::iterator position, time_point now)
{
    pending_query& pending = position->second;
    if (pending.query.deadline <= now)
    {
        give_up(
            position, wire::refusal_reason::deadline,
            retry_after_without_owner);
        return;
    }
    if (pending.without_owner_since &&
        now - *pending.without_owner_since >= without_owner_limit)
    {
        if (!try_local(position, now))
        {
            give_up(
                position, wire::refusal_reason::overloaded,
                retry_after_without_owner);
        }
        return;
    }
    if (pending.owner == 0)
    {
        pending.cell_position = 0;
        ask(pending, now);
        if (pending.owner == 0)
        {
            ask_without_owner(position, now);
        }
        return;
    }
    if (pending.acknowledged)
    {
        // The next answer decides whether the owner is still there.
        pending.acknowledged = false;
        pending.repeat *= 2;
        send_request(pending, now);
        return;
    }
    ++pending.unanswered;
    if (pending.unanswered < sendings_per_owner)
    {
        send_request(pending, now);
        return;
    }
    owners_.skip(
        pending.cells[pending.cell_position], pending.owner,
        now + unanswered_skip);
    ask(pending, now);
    if (pending.owner == 0)
    {
        ask_without_owner(position, now);
    }
}

// Renewals go to the owner by the present view, which thus learns of grants
// made by an earlier owner or without owner.
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
    // The owner learns of a grant that it did not make as soon as possible.
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
    // Every refusal says when it pays to come back, except to a caller that
    // has gone.
    const duration earliest = reason == wire::refusal_reason::withdrawn
                                  ? retry_after
                                  : std::max(retry_after, least_retry_after);
    decisions_.push_back(
        {key.request, key.attempt,
         placement_refusal{key.request, key.attempt, reason, earliest}});
}

// A refusal that no owner has recorded.
void entry_router::refuse_here(
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
