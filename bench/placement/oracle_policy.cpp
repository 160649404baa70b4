#include "oracle_policy.hpp"

#include <utility>

namespace hickorygap::bench
{

oracle_policy::oracle_policy(
    const cell_description& description,
    const std::map<backend_server_id, engine_model>& engines)
    : description_(description)
    , models_(engines)
    , engines_(description.load_bound)
    , admission_(queue_, rate_, backlogs_)
{
    engines_.set_servers(description.servers);
    std::array<double, rank_count> floors{};
    for (std::size_t number = 0; number < rank_count; ++number)
    {
        floors[number] = description.ranks[number].floor;
    }
    queue_.set_floors(floors);
    queue_.set_weights(description.weights);
}

engine_index oracle_policy::longest_cached(
    chat_id chat, const std::vector<engine_index>& room) const
{
    engine_index best = no_engine;
    std::uint32_t most = 0;
    for (const engine_index engine : room)
    {
        const auto tokens =
            models_.at(engines_.id_of(engine)).cached_tokens(chat);
        if (tokens > most)
        {
            most = tokens;
            best = engine;
        }
    }
    return best;
}

placement_result
oracle_policy::place(const placement_query& query, time_point now)
{
    queued_request item;
    item.key = {query.request, query.attempt};
    item.organisation = query.organisation;
    item.request_rank = query.request_rank;
    item.cost = query.expected_cost;
    item.queued_at = now;
    item.first_byte_due =
        now - query.waited +
        description_.ranks[static_cast<std::size_t>(query.request_rank)].target;
    item.deadline = query.deadline;
    waiting_[item.key] = {no_engine, query, now, {}};
    queue_.push(item);
    dispatch(now);
    if (queue_.contains(item.key))
    {
        if (const auto retry_after = admission_.refuse_new(item, now))
        {
            queue_.remove(item.key);
            waiting_.erase(item.key);
            return placement_refusal{
                query.request, query.attempt, wire::refusal_reason::overloaded,
                *retry_after};
        }
    }
    rate_.record_arrival(item.request_rank, item.cost, now);
    return placement_queued{};
}

std::vector<engine_index> oracle_policy::live_engines() const
{
    std::vector<engine_index> live = engines_.listed();
    std::erase_if(
        live, [&](engine_index engine) { return !engines_.is_live(engine); });
    return live;
}

void oracle_policy::dispatch(time_point now)
{
    queue_.set_slots(engines_.live_slots());
    while (queue_.size() > 0)
    {
        const auto room = engines_.with_capacity({}, now);
        if (room.empty())
        {
            return;
        }
        const auto item = queue_.take_next(
            [&](const queued_request& candidate)
            {
                const placed_state& waiting = waiting_.at(candidate.key);
                const chat_id chat = waiting.query.chat;
                if (longest_cached(chat, room) != no_engine)
                {
                    return slot_fit::preferred;
                }
                const duration target =
                    description_
                        .ranks[static_cast<std::size_t>(candidate.request_rank)]
                        .target;
                const bool waits =
                    now - waiting.queued_at <
                        cell_owner::context_wait(
                            target - waiting.query.waited) &&
                    longest_cached(chat, live_engines()) != no_engine;
                return waits ? slot_fit::impossible : slot_fit::possible;
            },
            now);
        if (!item)
        {
            return;
        }
        placed_state placed = waiting_.at(item->key);
        waiting_.erase(item->key);
        const auto allowed = engines_.with_capacity(placed.query.excluded, now);
        placed.engine = longest_cached(placed.query.chat, allowed);
        if (placed.engine == no_engine)
        {
            placed.engine = engines_.least_loaded(
                allowed.empty() ? room : allowed, placed.query.chat);
        }
        placed.granted = now;
        engines_.add(placed.engine);
        queue_.slot_used(item->request_rank);
        placement_grant grant;
        grant.request = item->key.request;
        grant.attempt = item->key.attempt;
        grant.granting_cell = description_.id;
        grant.backend_server = engines_.id_of(placed.engine);
        grant.queued = now - placed.queued_at;
        placed_[item->key] = placed;
        decided_.push_back(grant);
    }
}

void oracle_policy::withdraw(request_id, std::uint8_t, time_point)
{
}

void oracle_policy::release(const attempt_report& report, time_point now)
{
    const auto position = placed_.find({report.request, report.attempt});
    if (position == placed_.end())
    {
        return;
    }
    const placed_state placed = position->second;
    placed_.erase(position);
    engines_.remove(placed.engine);
    queue_.slot_freed(placed.query.request_rank);
    if (report.actual_cost > 0)
    {
        rate_.record_end(report.actual_cost, now - placed.granted);
        rate_.record_first_byte(
            report.first_byte - placed.query.waited -
            (placed.granted - placed.queued_at));
        queue_.correct_cost(
            placed.query.request_rank, placed.query.organisation,
            placed.query.expected_cost, report.actual_cost);
    }
    dispatch(now);
}

void oracle_policy::on_load_report(
    backend_server_id, const load_report&, time_point)
{
}

void oracle_policy::on_cache_event(
    backend_server_id, const cache_event&, time_point)
{
}

void oracle_policy::on_backend_health(
    backend_server_id server, bool up, time_point now)
{
    engines_.set_up(engines_.find(server), up);
    dispatch(now);
}

void oracle_policy::tick(time_point now)
{
    dispatch(now);
    for (const infeasible_request& hopeless : admission_.find_infeasible(now))
    {
        queue_.remove(hopeless.item.key);
        waiting_.erase(hopeless.item.key);
        decided_.push_back(placement_refusal{
            hopeless.item.key.request, hopeless.item.key.attempt,
            wire::refusal_reason::overloaded, hopeless.retry_after});
    }
}

std::vector<placement_decision> oracle_policy::take_decided()
{
    return std::exchange(decided_, {});
}

} // namespace hickorygap::bench
