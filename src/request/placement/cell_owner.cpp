#include "request/placement/cell_owner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorygap
{

namespace
{

// Interval at which leases, load reports and backlogs are checked.
constexpr duration maintenance_interval{std::chrono::milliseconds{50}};

// Interval at which the feasibility of waiting requests is checked again. The
// cost of a check grows with the queue, and targets are in the order of
// seconds.
constexpr duration feasibility_check_interval{std::chrono::milliseconds{100}};

// Time for which an engine gets no new requests after an attempt on it broke,
// unless it reports its load or is found up earlier.
constexpr duration suspension_time{std::chrono::seconds{1}};

// Retry-After when no backend server of the cell can run the request. Health
// checks detect a recovered server within about a second.
constexpr duration retry_after_no_server{std::chrono::seconds{2}};

// Maximum number of records kept between calls of take_records; further ones
// are dropped, which shows as a gap in the decision record.
constexpr std::size_t max_pending_records = 20000;

// Maximum wait for an engine with the chat's context while other engines have
// capacity. Recomputing the context usually takes longer and fills the memory
// of a second engine. A limit of 200 ms raised context reuse under churn at 95%
// load from 60.9% to 68.2% (placement_bench, seed 1) at a mean wait of 20 to 40
// ms.
constexpr duration max_context_wait{std::chrono::milliseconds{200}};

request_key key_of(const placement_query& query)
{
    return {query.request, query.attempt};
}

std::uint64_t hash_key_of(const placement_query& query)
{
    return query.chat != 0 ? query.chat : query.request;
}

std::chrono::milliseconds to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

bool contains_engine(std::span<const engine_index> list, engine_index engine)
{
    return std::find(list.begin(), list.end(), engine) != list.end();
}

bool contains(std::span<const backend_server_id> list, backend_server_id id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

cell_owner::cell_owner(
    const cell_description& description, cell_owner_limits limits)
    : limits_(limits)
    , engines_(description.load_bound)
    , directory_(limits.chats)
    , admission_(queue_, rate_, backlogs_)
{
    set_description(description, time_point{});
}

void cell_owner::set_description(
    const cell_description& description, time_point now)
{
    description_ = description;
    engines_.set_load_bound(description.load_bound);
    for (const engine_index dropped : engines_.set_servers(description.servers))
    {
        directory_.forget_engine(dropped);
    }
    std::array<double, rank_count> floors{};
    for (std::size_t number = 0; number < rank_count; ++number)
    {
        floors[number] = description.ranks[number].floor;
    }
    queue_.set_floors(floors);
    queue_.set_weights(description.weights);
    dispatch(now);
}

placement_result cell_owner::place(const placement_query& query, time_point now)
{
    return place_for(0, query, now);
}

// Idempotent: a repeated request gets the decision that it already has, so that
// a lost answer can be requested again and a duplicate takes no second slot.
placement_result cell_owner::place_for(
    instance_id entry, const placement_query& query, time_point now)
{
    const request_key key = key_of(query);
    const auto granted = grants_.find(key);
    if (granted != grants_.end())
    {
        granted->second.expires = now + grant_lease;
        return make_grant(key, granted->second);
    }
    const bool waits_isolated = std::any_of(
        isolated_.begin(), isolated_.end(),
        [&](const waiting_state& waiting)
        { return key_of(waiting.query) == key; });
    if (waiting_.contains(key) || waits_isolated)
    {
        return placement_queued{};
    }
    if (query.deadline <= now)
    {
        return refuse(
            query, wire::refusal_reason::deadline, admission::retry_after({}));
    }
    if (!can_ever_run(query))
    {
        return refuse(
            query, wire::refusal_reason::no_backend_server,
            retry_after_no_server);
    }
    return query.isolated ? place_isolated(entry, query, now)
                          : place_new(entry, query, now);
}

placement_result cell_owner::place_new(
    instance_id entry, const placement_query& query, time_point now)
{
    const request_key key = key_of(query);
    const queued_request item = make_queued(query, now);
    waiting_.emplace(key, waiting_state{entry, query, now});
    queue_.push(item);
    dispatch(now);
    const auto granted = grants_.find(key);
    if (granted != grants_.end())
    {
        rate_.record_arrival(item.request_rank, item.cost, now);
        drop_decision(key);
        return make_grant(key, granted->second);
    }
    const auto retry_after = admission_.refuse_new(item, now);
    if (retry_after)
    {
        queue_.remove(key);
        waiting_.erase(key);
        return refuse(query, wire::refusal_reason::overloaded, *retry_after);
    }
    if (auto refusal = shed_if_full(key, now))
    {
        return *refusal;
    }
    rate_.record_arrival(item.request_rank, item.cost, now);
    return placement_queued{};
}

// When the queue is full, refuses the request that fair queueing would serve
// last. It belongs to the organisation with the largest backlog.
std::optional<placement_refusal>
cell_owner::shed_if_full(const request_key& newest, time_point now)
{
    if (queue_.size() <= limits_.queued)
    {
        return std::nullopt;
    }
    const request_key victim = queue_.first_to_shed()->key;
    const duration wait = admission_.predicted_wait(victim, now);
    queue_.remove(victim);
    const auto position = waiting_.find(victim);
    const waiting_state waiting = position->second;
    waiting_.erase(position);
    const placement_refusal refusal = refuse(
        waiting.query, wire::refusal_reason::overloaded,
        admission::retry_after(wait));
    if (victim == newest)
    {
        return refusal;
    }
    decide(waiting.entry, refusal);
    return std::nullopt;
}

placement_result cell_owner::place_isolated(
    instance_id entry, const placement_query& query, time_point now)
{
    if (isolated_.size() >= limits_.isolated)
    {
        return refuse(
            query, wire::refusal_reason::overloaded,
            admission::retry_after(std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(rate_.mean_held_seconds()))));
    }
    isolated_.push_back({entry, query, now});
    dispatch(now);
    const request_key key = key_of(query);
    const auto granted = grants_.find(key);
    if (granted == grants_.end())
    {
        return placement_queued{};
    }
    drop_decision(key);
    return make_grant(key, granted->second);
}

void cell_owner::drop_decision(const request_key& key)
{
    std::erase_if(
        decided_,
        [&](const owner_decision& decided)
        {
            const auto* grant = std::get_if<placement_grant>(&decided.decision);
            return grant != nullptr &&
                   request_key{grant->request, grant->attempt} == key;
        });
}

queued_request
cell_owner::make_queued(const placement_query& query, time_point now) const
{
    queued_request item;
    item.key = key_of(query);
    item.organisation = query.organisation;
    item.request_rank = query.request_rank;
    item.cost = std::max(query.expected_cost, 1U);
    item.queued_at = now;
    const rank_policy& policy =
        description_.ranks[static_cast<std::size_t>(query.request_rank)];
    item.first_byte_due = now - query.waited + policy.target;
    item.deadline = query.deadline;
    return item;
}

placement_grant
cell_owner::make_grant(const request_key& key, const grant_state& grant) const
{
    placement_grant result;
    result.request = key.request;
    result.attempt = key.attempt;
    result.granting_cell = description_.id;
    result.backend_server = grant.server;
    result.reused = grant.reused;
    result.queued = grant.queued;
    return result;
}

placement_refusal cell_owner::refuse(
    const placement_query& query, wire::refusal_reason reason,
    duration retry_after)
{
    record_decision(query, 0, placement_reason::refused, reason, duration{0});
    return {query.request, query.attempt, reason, retry_after};
}

// False when the query excludes all live servers, so that waiting would not
// help.
bool cell_owner::can_ever_run(const placement_query& query) const
{
    for (const engine_index engine : engines_.listed())
    {
        if (engines_.is_live(engine) &&
            !contains(query.excluded, engines_.id_of(engine)))
        {
            return true;
        }
    }
    return false;
}

std::array<engine_index, 2>
cell_owner::engines_with_context(const placement_query& query) const
{
    return query.chat != 0 ? directory_.find(query.chat)
                           : std::array{no_engine, no_engine};
}

// Prefers engines with the chat's context, then the least loaded engine.
// Choosing by rendezvous order instead of least load kept more chats in place
// after the loss of an owner, but filled the caches of the engines unevenly: it
// reused 72.7% of the context under churn, and least load 79.7%
// (placement_bench, seed 1, 60% load). Rendezvous order still breaks ties.
cell_owner::choice
cell_owner::choose(const placement_query& query, time_point now) const
{
    const auto available =
        usable_engines(query, engines_.with_capacity(query.excluded, now));
    if (available.empty())
    {
        return {};
    }
    for (const engine_index context_engine : engines_with_context(query))
    {
        if (std::find(available.begin(), available.end(), context_engine) !=
            available.end())
        {
            return {context_engine, placement_reason::directory};
        }
    }
    return {
        engines_.least_loaded(available, hash_key_of(query)),
        placement_reason::least_loaded};
}

std::vector<engine_index> cell_owner::usable_engines(
    const placement_query& query, std::span<const engine_index> available) const
{
    std::vector<engine_index> usable{available.begin(), available.end()};
    if (backlogs_.is_backlogged(query.request_rank, query.organisation))
    {
        std::erase_if(
            usable, [&](engine_index engine)
            { return !contains_engine(backlog_engines_, engine); });
    }
    return usable;
}

// Restricts backlogged organisations to the engines that the other
// organisations do not need. The order of the engines is fixed for the cell, so
// that the same engines stay reserved.
void cell_owner::update_backlog_engines()
{
    backlog_engines_.clear();
    if (!backlogs_.has_backlog())
    {
        return;
    }
    for (const engine_index engine : engines_.listed())
    {
        if (engines_.is_live(engine))
        {
            backlog_engines_.push_back(engine);
        }
    }
    std::sort(
        backlog_engines_.begin(), backlog_engines_.end(),
        [&](engine_index left, engine_index right)
        {
            return rendezvous_score(description_.id, engines_.id_of(left)) >
                   rendezvous_score(description_.id, engines_.id_of(right));
        });
    const double slots_per_engine =
        static_cast<double>(engines_.live_slots()) /
        std::max(1.0, static_cast<double>(backlog_engines_.size()));
    const auto reserved_engines = static_cast<std::size_t>(std::round(
        backlogs_.reserved_slots(queue_) / std::max(slots_per_engine, 1.0)));
    const std::size_t remaining =
        backlog_engines_.size() -
        std::min(reserved_engines, backlog_engines_.size());
    backlog_engines_.resize(std::max<std::size_t>(remaining, 1));
}

slot_fit cell_owner::fit_of(
    const waiting_state& waiting, std::span<const engine_index> available,
    time_point now) const
{
    const placement_query& query = waiting.query;
    if (available.empty())
    {
        return slot_fit::impossible;
    }
    const auto context_engines = engines_with_context(query);
    slot_fit fit = slot_fit::impossible;
    for (const engine_index engine : available)
    {
        if (contains(query.excluded, engines_.id_of(engine)))
        {
            continue;
        }
        if (engine == context_engines[0] || engine == context_engines[1])
        {
            return slot_fit::preferred;
        }
        fit = slot_fit::possible;
    }
    return waits_for_context_engine(waiting, context_engines, now)
               ? slot_fit::impossible
               : fit;
}

duration cell_owner::context_wait(duration until_first_byte_due)
{
    return std::min(max_context_wait, until_first_byte_due / 4);
}

// Whether the request should wait for an engine with its chat's context instead
// of using another one now.
bool cell_owner::waits_for_context_engine(
    const waiting_state& waiting,
    const std::array<engine_index, 2>& context_engines, time_point now) const
{
    const duration target =
        description_.ranks[static_cast<std::size_t>(waiting.query.request_rank)]
            .target;
    const duration left = target - waiting.query.waited;
    if (now - waiting.queued_at >= context_wait(left))
    {
        return false;
    }
    return std::any_of(
        context_engines.begin(), context_engines.end(),
        [&](engine_index context_engine)
        {
            return engines_.is_live(context_engine) &&
                   !contains(
                       waiting.query.excluded, engines_.id_of(context_engine));
        });
}

placement_grant cell_owner::start_grant(
    const waiting_state& waiting, const choice& chosen, time_point now)
{
    const placement_query& query = waiting.query;
    const request_key key = key_of(query);
    grant_state grant;
    grant.entry = waiting.entry;
    grant.engine = chosen.engine;
    grant.server = engines_.id_of(chosen.engine);
    grant.chat = query.chat;
    grant.organisation = query.organisation;
    grant.request_rank = query.request_rank;
    grant.cost = std::max(query.expected_cost, 1U);
    grant.granted = now;
    grant.expires = now + grant_lease;
    grant.queued = now - waiting.queued_at;
    grant.waited = query.waited;
    grant.reused = chosen.reason == placement_reason::directory;
    grant.isolated = query.isolated;
    record_decision(
        query, grant.server, chosen.reason, wire::refusal_reason::none,
        grant.queued);
    engines_.add(chosen.engine);
    engines_.set_reserved(chosen.engine, query.isolated);
    queue_.slot_used(query.request_rank);
    backlogs_.started(query.request_rank, query.organisation, grant.cost, now);
    if (query.chat != 0)
    {
        directory_.put(query.chat, chosen.engine, now);
    }
    grants_.emplace(key, grant);
    return make_grant(key, grant);
}

void cell_owner::dispatch(time_point now)
{
    dispatch_isolated(now);
    queue_.set_slots(engines_.live_slots());
    while (queue_.size() > 0)
    {
        const auto available = engines_.with_capacity({}, now);
        if (available.empty())
        {
            return;
        }
        std::vector<engine_index> available_for_backlog = available;
        std::erase_if(
            available_for_backlog, [&](engine_index engine)
            { return !contains_engine(backlog_engines_, engine); });
        const auto item = queue_.take_next(
            [&](const queued_request& candidate)
            {
                const bool backlogged = backlogs_.is_backlogged(
                    candidate.request_rank, candidate.organisation);
                return fit_of(
                    waiting_.at(candidate.key),
                    backlogged ? available_for_backlog : available, now);
            },
            now);
        if (!item)
        {
            return;
        }
        const auto position = waiting_.find(item->key);
        const waiting_state waiting = std::move(position->second);
        waiting_.erase(position);
        decide(
            waiting.entry,
            start_grant(waiting, choose(waiting.query, now), now));
    }
}

// Drains one engine at a time for isolated requests, so that a flood of them
// takes at most one engine of the cell.
void cell_owner::dispatch_isolated(time_point now)
{
    const auto stop_draining = [&]
    {
        if (draining_engine_ != no_engine)
        {
            engines_.set_reserved(draining_engine_, false);
            draining_engine_ = no_engine;
        }
    };
    while (!isolated_.empty())
    {
        const placement_query& query = isolated_.front().query;
        if (draining_engine_ != no_engine &&
            (!engines_.is_live(draining_engine_) ||
             contains(query.excluded, engines_.id_of(draining_engine_))))
        {
            stop_draining();
        }
        if (draining_engine_ == no_engine)
        {
            draining_engine_ = choose_isolation_engine(query);
            if (draining_engine_ == no_engine)
            {
                return;
            }
            engines_.set_reserved(draining_engine_, true);
        }
        if (engines_.load(draining_engine_) > 0)
        {
            return;
        }
        const waiting_state waiting = isolated_.front();
        isolated_.pop_front();
        const engine_index engine = std::exchange(draining_engine_, no_engine);
        decide(
            waiting.entry,
            start_grant(waiting, {engine, placement_reason::isolated}, now));
    }
    stop_draining();
}

engine_index
cell_owner::choose_isolation_engine(const placement_query& query) const
{
    // An engine that runs an isolated request must not be chosen, and one
    // isolated request at a time leaves the rest of the cell in service.
    for (const auto& [key, grant] : grants_)
    {
        if (grant.isolated)
        {
            return no_engine;
        }
    }
    std::vector<engine_index> candidates;
    for (const engine_index engine : engines_.listed())
    {
        if (engines_.is_live(engine) &&
            !contains(query.excluded, engines_.id_of(engine)))
        {
            candidates.push_back(engine);
        }
    }
    return engines_.least_loaded(candidates, hash_key_of(query));
}

void cell_owner::withdraw(
    request_id request, std::uint8_t attempt, time_point now)
{
    const request_key key{request, attempt};
    queue_.remove(key);
    waiting_.erase(key);
    std::erase_if(
        isolated_, [&](const waiting_state& waiting)
        { return key_of(waiting.query) == key; });
    const auto granted = grants_.find(key);
    if (granted != grants_.end())
    {
        queue_.correct_cost(
            granted->second.request_rank, granted->second.organisation,
            granted->second.cost, 1);
        end_grant(granted);
    }
    dispatch(now);
}

void cell_owner::release(const attempt_report& report, time_point now)
{
    const request_key key{report.request, report.attempt};
    const auto position = grants_.find(key);
    if (position == grants_.end() ||
        position->second.server != report.backend_server)
    {
        return;
    }
    const grant_state& grant = position->second;
    const bool ran =
        report.outcome != wire::attempt_outcome::never_used &&
        report.outcome != wire::attempt_outcome::failed_before_start;
    if (ran)
    {
        const std::uint32_t actual =
            report.actual_cost > 0 ? report.actual_cost : grant.cost;
        rate_.record_end(actual, now - grant.granted);
        queue_.correct_cost(
            grant.request_rank, grant.organisation, grant.cost, actual);
    }
    else
    {
        queue_.correct_cost(
            grant.request_rank, grant.organisation, grant.cost, 1);
    }
    if (ran && report.first_byte > duration{0})
    {
        rate_.record_first_byte(
            report.first_byte - grant.queued - grant.waited);
    }
    if (report.outcome == wire::attempt_outcome::backend_server_lost)
    {
        engines_.suspend(grant.engine, now + suspension_time);
    }
    record_end(report, grant);
    end_grant(position);
    dispatch(now);
}

void cell_owner::end_grant(
    std::unordered_map<request_key, grant_state, request_key_hash>::iterator
        position)
{
    const grant_state grant = position->second;
    grants_.erase(position);
    if (engines_.id_of(grant.engine) == grant.server)
    {
        engines_.remove(grant.engine);
        if (grant.isolated)
        {
            engines_.set_reserved(grant.engine, false);
        }
    }
    queue_.slot_freed(grant.request_rank);
    backlogs_.ended(grant.request_rank, grant.organisation);
}

void cell_owner::on_load_report(
    backend_server_id server, const load_report& report, time_point now)
{
    const engine_index engine = engines_.find(server);
    if (engine == no_engine)
    {
        return;
    }
    if (engines_.on_load_report(engine, report, now))
    {
        directory_.forget_engine(engine);
    }
    dispatch(now);
}

void cell_owner::on_cache_event(
    backend_server_id server, const cache_event& event, time_point now)
{
    const engine_index engine = engines_.find(server);
    if (engine == no_engine)
    {
        return;
    }
    switch (event.kind)
    {
    case cache_event_kind::stored:
        directory_.add_if_unknown(event.chat, engine, now);
        break;
    case cache_event_kind::evicted:
        directory_.forget(event.chat, engine, event.happened);
        break;
    case cache_event_kind::cleared:
        directory_.forget_engine(engine);
        break;
    }
}

void cell_owner::on_backend_health(
    backend_server_id server, bool up, time_point now)
{
    const engine_index engine = engines_.find(server);
    if (engine == no_engine)
    {
        return;
    }
    engines_.set_up(engine, up);
    dispatch(now);
}

void cell_owner::tick(time_point now)
{
    // Requests that have waited long enough for an engine with their chat's
    // context may use other engines now.
    dispatch(now);
    if (now - last_maintenance_ < maintenance_interval)
    {
        return;
    }
    last_maintenance_ = now;
    engines_.expire_reports(now);
    expire_grants(now);
    backlogs_.update(queue_, now);
    update_backlog_engines();
    dispatch(now);
    if (now - last_feasibility_check_ >= feasibility_check_interval)
    {
        last_feasibility_check_ = now;
        refuse_infeasible(now);
        refuse_infeasible_isolated(now);
    }
}

void cell_owner::expire_grants(time_point now)
{
    for (auto position = grants_.begin(); position != grants_.end();)
    {
        const auto current = position++;
        if (current->second.expires <= now)
        {
            end_grant(current);
        }
    }
}

void cell_owner::refuse_infeasible(time_point now)
{
    for (const infeasible_request& infeasible : admission_.find_infeasible(now))
    {
        queue_.remove(infeasible.item.key);
        const auto position = waiting_.find(infeasible.item.key);
        const waiting_state waiting = std::move(position->second);
        waiting_.erase(position);
        decide(
            waiting.entry, refuse(
                               waiting.query, wire::refusal_reason::overloaded,
                               infeasible.retry_after));
    }
    std::vector<request_key> impossible;
    for (const auto& [key, waiting] : waiting_)
    {
        if (!can_ever_run(waiting.query))
        {
            impossible.push_back(key);
        }
    }
    for (const request_key& key : impossible)
    {
        queue_.remove(key);
        const waiting_state waiting = waiting_.at(key);
        waiting_.erase(key);
        decide(
            waiting.entry,
            refuse(
                waiting.query, wire::refusal_reason::no_backend_server,
                retry_after_no_server));
    }
}

void cell_owner::refuse_infeasible_isolated(time_point now)
{
    for (std::size_t index = 0; index < isolated_.size();)
    {
        const waiting_state waiting = isolated_[index];
        const queued_request item = make_queued(waiting.query, now);
        const duration target = item.first_byte_due - now;
        if (waiting.queued_at + target > now && item.deadline > now &&
            can_ever_run(waiting.query))
        {
            ++index;
            continue;
        }
        isolated_.erase(isolated_.begin() + static_cast<std::ptrdiff_t>(index));
        decide(
            waiting.entry,
            refuse(
                waiting.query, wire::refusal_reason::overloaded,
                admission::retry_after(std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(
                        rate_.mean_held_seconds())))));
    }
    dispatch_isolated(now);
}

std::vector<placement_decision> cell_owner::take_decided()
{
    std::vector<placement_decision> result;
    for (const owner_decision& decided : take_owner_decisions())
    {
        result.push_back(decided.decision);
    }
    return result;
}

std::vector<owner_decision> cell_owner::take_owner_decisions()
{
    return std::exchange(decided_, {});
}

void cell_owner::decide(instance_id entry, const placement_decision& decision)
{
    decided_.push_back({entry, decision});
}

void cell_owner::adopt(
    instance_id entry, const wire::held_grant_msg& held, time_point now)
{
    const request_key key{held.request, held.attempt};
    const auto known = grants_.find(key);
    if (known != grants_.end())
    {
        known->second.expires = now + grant_lease;
        if (entry != 0)
        {
            known->second.entry = entry;
        }
        return;
    }
    const engine_index engine = engines_.find(held.backend_server);
    if (engine == no_engine || held.rank >= rank_count)
    {
        return;
    }
    // The request is already running and must not be granted again.
    queue_.remove(key);
    waiting_.erase(key);
    grant_state grant;
    grant.entry = entry;
    grant.engine = engine;
    grant.server = held.backend_server;
    grant.chat = held.chat;
    grant.organisation = held.organisation;
    grant.request_rank = rank{held.rank};
    grant.cost = std::max(held.expected_cost, 1U);
    grant.granted = now;
    grant.expires = now + grant_lease;
    grant.isolated = held.isolated;
    engines_.add(engine);
    if (held.isolated)
    {
        engines_.set_reserved(engine, true);
    }
    queue_.slot_used(grant.request_rank);
    backlogs_.started(grant.request_rank, grant.organisation, grant.cost, now);
    if (held.chat != 0)
    {
        directory_.put(held.chat, engine, now);
    }
    grants_.emplace(key, grant);
}

void cell_owner::adopt_chat(
    chat_id chat, backend_server_id server, time_point now)
{
    const engine_index engine = engines_.find(server);
    if (engine != no_engine && chat != 0)
    {
        directory_.add_if_unknown(chat, engine, now);
    }
}

void cell_owner::on_entry_router_lost(instance_id entry, time_point now)
{
    for (auto position = grants_.begin(); position != grants_.end();)
    {
        const auto current = position++;
        if (current->second.entry == entry)
        {
            end_grant(current);
        }
    }
    for (auto position = waiting_.begin(); position != waiting_.end();)
    {
        const auto current = position++;
        if (current->second.entry == entry)
        {
            queue_.remove(current->first);
            waiting_.erase(current);
        }
    }
    std::erase_if(
        isolated_,
        [&](const waiting_state& waiting) { return waiting.entry == entry; });
    dispatch(now);
}

void cell_owner::set_usable_share(double share, time_point now)
{
    engines_.set_usable_share(share);
    dispatch(now);
}

void cell_owner::refuse_all(wire::refusal_reason reason)
{
    for (const auto& [key, waiting] : waiting_)
    {
        queue_.remove(key);
        decide(waiting.entry, refuse(waiting.query, reason, duration{0}));
    }
    waiting_.clear();
    for (const waiting_state& waiting : isolated_)
    {
        decide(waiting.entry, refuse(waiting.query, reason, duration{0}));
    }
    isolated_.clear();
}

std::vector<wire::held_grant_msg> cell_owner::held_grants() const
{
    std::vector<wire::held_grant_msg> result;
    for (const auto& [key, grant] : grants_)
    {
        wire::held_grant_msg held;
        held.request = key.request;
        held.attempt = key.attempt;
        held.backend_server = grant.server;
        held.chat = grant.chat;
        held.organisation = grant.organisation;
        held.rank = static_cast<std::uint8_t>(grant.request_rank);
        held.expected_cost = grant.cost;
        held.isolated = grant.isolated;
        result.push_back(held);
    }
    return result;
}

std::vector<std::pair<chat_id, backend_server_id>>
cell_owner::recent_chats(std::size_t limit) const
{
    std::vector<std::pair<chat_id, backend_server_id>> result;
    directory_.visit_latest(
        [&](chat_id chat, engine_index engine)
        {
            result.emplace_back(chat, engines_.id_of(engine));
            return result.size() < limit;
        });
    return result;
}

std::vector<wire::decision_record_msg> cell_owner::take_records()
{
    return std::exchange(records_, {});
}

void cell_owner::record_decision(
    const placement_query& query, backend_server_id choice,
    placement_reason reason, wire::refusal_reason outcome, duration queued)
{
    if (records_.size() >= max_pending_records)
    {
        return;
    }
    wire::decision_record_msg record;
    record.request = query.request;
    record.chat = query.chat;
    record.organisation = query.organisation;
    record.rank = static_cast<std::uint8_t>(query.request_rank);
    record.version = description_.version;
    record.cell = description_.id;
    for (const engine_index engine : engines_.listed())
    {
        record.candidates.push_back(engines_.id_of(engine));
        record.loads.push_back(
            static_cast<std::uint16_t>(engines_.load(engine)));
    }
    record.choice = choice;
    record.reason = static_cast<std::uint8_t>(reason);
    record.outcome = static_cast<std::uint8_t>(outcome);
    record.queued_ms = static_cast<std::uint32_t>(to_ms(queued).count());
    records_.push_back(std::move(record));
}

void cell_owner::record_end(
    const attempt_report& report, const grant_state& grant)
{
    if (records_.size() >= max_pending_records)
    {
        return;
    }
    wire::decision_record_msg record;
    record.request = report.request;
    record.chat = grant.chat;
    record.organisation = grant.organisation;
    record.rank = static_cast<std::uint8_t>(grant.request_rank);
    record.cell = description_.id;
    record.version = description_.version;
    record.choice = report.backend_server;
    record.reason = static_cast<std::uint8_t>(placement_reason::ended);
    record.outcome = static_cast<std::uint8_t>(report.outcome);
    records_.push_back(std::move(record));
}

} // namespace hickorygap
