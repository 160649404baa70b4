#include "request/placement/two_choices_policy.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

constexpr duration retry_after_no_server{std::chrono::seconds{2}};

} // namespace

two_choices_policy::two_choices_policy(
    const cell_description& description, std::uint64_t seed)
    : cell_(description.id)
    , random_(seed)
{
    for (const engine_description& server : description.servers)
    {
        if (!server.leaving)
        {
            engines_.push_back({server.id, true, 0, 0});
        }
    }
}

placement_result
two_choices_policy::place(const placement_query& query, time_point)
{
    std::vector<engine_state*> candidates;
    for (engine_state& engine : engines_)
    {
        if (engine.up && std::find(
                             query.excluded.begin(), query.excluded.end(),
                             engine.id) == query.excluded.end())
        {
            candidates.push_back(&engine);
        }
    }
    if (candidates.empty())
    {
        return placement_refusal{
            query.request, query.attempt,
            wire::refusal_reason::no_backend_server, retry_after_no_server};
    }
    engine_state* first = candidates[random_below(random_, candidates.size())];
    engine_state* second = candidates[random_below(random_, candidates.size())];
    engine_state* chosen =
        second->reported_load + second->placed_since_report <
                first->reported_load + first->placed_since_report
            ? second
            : first;
    ++chosen->placed_since_report;
    placement_grant grant;
    grant.request = query.request;
    grant.attempt = query.attempt;
    grant.granting_cell = cell_;
    grant.backend_server = chosen->id;
    return grant;
}

void two_choices_policy::withdraw(request_id, std::uint8_t, time_point)
{
}

void two_choices_policy::release(const attempt_report&, time_point)
{
}

void two_choices_policy::on_load_report(
    backend_server_id server, const load_report& report, time_point)
{
    if (engine_state* engine = find(server))
    {
        engine->reported_load = report.running + report.waiting;
        engine->placed_since_report = 0;
    }
}

void two_choices_policy::on_cache_event(
    backend_server_id, const cache_event&, time_point)
{
}

void two_choices_policy::on_backend_health(
    backend_server_id server, bool up, time_point)
{
    if (engine_state* engine = find(server))
    {
        engine->up = up;
    }
}

void two_choices_policy::tick(time_point)
{
}

std::vector<placement_decision> two_choices_policy::take_decided()
{
    return {};
}

two_choices_policy::engine_state*
two_choices_policy::find(backend_server_id server)
{
    const auto found = std::find_if(
        engines_.begin(), engines_.end(),
        [&](const engine_state& engine) { return engine.id == server; });
    return found == engines_.end() ? nullptr : &*found;
}

} // namespace hickorygap
