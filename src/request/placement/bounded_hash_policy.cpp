#include "request/placement/bounded_hash_policy.hpp"

#include <algorithm>
#include <limits>

namespace hickorygap
{

namespace
{

constexpr duration retry_after_no_server{std::chrono::seconds{2}};

} // namespace

bounded_hash_policy::bounded_hash_policy(const cell_description& description)
    : cell_(description.id)
    , engines_(description.load_bound)
{
    // This policy does not queue; the engines queue requests themselves, so the
    // number of slots must not limit placement here.
    std::vector<engine_description> servers = description.servers;
    for (engine_description& server : servers)
    {
        server.slots = std::numeric_limits<std::uint16_t>::max();
    }
    engines_.set_servers(servers);
}

placement_result
bounded_hash_policy::place(const placement_query& query, time_point now)
{
    const auto available = engines_.with_capacity(query.excluded, now);
    const std::uint64_t key = query.chat != 0 ? query.chat : query.request;
    engine_index engine = engines_.by_rendezvous(available, key);
    if (engine == no_engine)
    {
        // The load bound can exclude all remaining servers when some are
        // excluded by the query. Without a queue, the request must exceed the
        // bound.
        std::vector<engine_index> live = engines_.listed();
        std::erase_if(
            live,
            [&](engine_index other)
            {
                const backend_server_id id = engines_.id_of(other);
                return !engines_.is_live(other) ||
                       std::find(
                           query.excluded.begin(), query.excluded.end(), id) !=
                           query.excluded.end();
            });
        engine = engines_.least_loaded(live, key);
    }
    if (engine == no_engine)
    {
        return placement_refusal{
            query.request, query.attempt,
            wire::refusal_reason::no_backend_server, retry_after_no_server};
    }
    engines_.add(engine);
    placed_[{query.request, query.attempt}] = engine;
    placement_grant grant;
    grant.request = query.request;
    grant.attempt = query.attempt;
    grant.granting_cell = cell_;
    grant.backend_server = engines_.id_of(engine);
    return grant;
}

void bounded_hash_policy::withdraw(
    request_id request, std::uint8_t attempt, time_point)
{
    const auto position = placed_.find({request, attempt});
    if (position != placed_.end())
    {
        engines_.remove(position->second);
        placed_.erase(position);
    }
}

void bounded_hash_policy::release(const attempt_report& report, time_point now)
{
    withdraw(report.request, report.attempt, now);
}

void bounded_hash_policy::on_load_report(
    backend_server_id, const load_report&, time_point)
{
}

void bounded_hash_policy::on_cache_event(
    backend_server_id, const cache_event&, time_point)
{
}

void bounded_hash_policy::on_backend_health(
    backend_server_id server, bool up, time_point)
{
    const engine_index engine = engines_.find(server);
    if (engine != no_engine)
    {
        engines_.set_up(engine, up);
    }
}

void bounded_hash_policy::tick(time_point)
{
}

std::vector<placement_decision> bounded_hash_policy::take_decided()
{
    return {};
}

} // namespace hickorygap
