#include "request/placement/engine_table.hpp"

#include "common/hashing.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickorygap
{

namespace
{

// Time for which external load from a report counts. Reports arrive about once
// a second; after several missed ones the value is stale.
constexpr duration report_lifetime{std::chrono::seconds{5}};

} // namespace

engine_table::engine_table(double load_bound)
    : load_bound_(load_bound)
{
}

void engine_table::set_load_bound(double load_bound)
{
    load_bound_ = load_bound;
}

std::vector<engine_index>
engine_table::set_servers(std::span<const engine_description> servers)
{
    std::vector<engine_index> dropped;
    for (std::size_t index = 0; index < engines_.size(); ++index)
    {
        engine_state& engine = engines_[index];
        const bool kept = std::any_of(
            servers.begin(), servers.end(),
            [&](const engine_description& server)
            { return server.id == engine.description.id; });
        if (engine.listed && !kept)
        {
            dropped.push_back(static_cast<engine_index>(index));
        }
        engine.listed = kept;
    }
    for (const engine_description& server : servers)
    {
        const auto known = std::find_if(
            engines_.begin(), engines_.end(),
            [&](const engine_state& engine)
            { return engine.description.id == server.id; });
        if (known != engines_.end())
        {
            known->description = server;
            continue;
        }
        engine_state added;
        added.description = server;
        added.listed = true;
        const auto unused = std::find_if(
            engines_.begin(), engines_.end(),
            [](const engine_state& engine)
            { return !engine.listed && engine.in_flight == 0; });
        if (unused != engines_.end())
        {
            *unused = added;
        }
        else
        {
            engines_.push_back(added);
        }
    }
    update_totals();
    return dropped;
}

engine_index engine_table::find(backend_server_id server) const
{
    for (std::size_t index = 0; index < engines_.size(); ++index)
    {
        if (engines_[index].listed && engines_[index].description.id == server)
        {
            return static_cast<engine_index>(index);
        }
    }
    return no_engine;
}

backend_server_id engine_table::id_of(engine_index engine) const
{
    return engine < engines_.size() ? engines_[engine].description.id : 0;
}

std::uint32_t engine_table::load(engine_index engine) const
{
    return engines_[engine].in_flight + engines_[engine].external_load;
}

std::uint32_t engine_table::in_flight(engine_index engine) const
{
    return engines_[engine].in_flight;
}

bool engine_table::is_live(engine_index engine) const
{
    if (engine >= engines_.size())
    {
        return false;
    }
    const engine_state& state = engines_[engine];
    return state.listed && state.up && !state.description.leaving;
}

bool engine_table::accepts_requests(const engine_state& engine) const
{
    return engine.listed && engine.up && !engine.description.leaving &&
           !engine.reserved;
}

std::uint32_t engine_table::limit(engine_index engine) const
{
    const std::uint32_t slots = engines_[engine].description.slots;
    const double mean =
        (total_load_ + 1.0) / std::max<std::uint32_t>(live_count_, 1);
    // The tolerance keeps rounding errors from turning 1.25 * 4 into 6.
    const auto bounded =
        static_cast<std::uint32_t>(std::ceil(load_bound_ * mean - 1e-9));
    const auto usable = static_cast<std::uint32_t>(slots * usable_share_);
    return std::min({std::max(bounded, 1U), slots, std::max(usable, 1U)});
}

bool engine_table::has_capacity(engine_index engine, time_point now) const
{
    return is_live(engine) && accepts_requests(engines_[engine]) &&
           engines_[engine].suspended_until <= now &&
           load(engine) < limit(engine);
}

std::vector<engine_index> engine_table::with_capacity(
    std::span<const backend_server_id> excluded, time_point now) const
{
    std::vector<engine_index> result;
    for (std::size_t index = 0; index < engines_.size(); ++index)
    {
        const auto engine = static_cast<engine_index>(index);
        if (has_capacity(engine, now) &&
            std::find(excluded.begin(), excluded.end(), id_of(engine)) ==
                excluded.end())
        {
            result.push_back(engine);
        }
    }
    return result;
}

engine_index engine_table::by_rendezvous(
    std::span<const engine_index> candidates, std::uint64_t key) const
{
    engine_index best = no_engine;
    std::uint64_t best_score = 0;
    for (const engine_index candidate : candidates)
    {
        const std::uint64_t score = rendezvous_score(key, id_of(candidate));
        if (best == no_engine || score > best_score)
        {
            best = candidate;
            best_score = score;
        }
    }
    return best;
}

engine_index engine_table::least_loaded(
    std::span<const engine_index> candidates, std::uint64_t key) const
{
    std::uint32_t least = 0;
    std::vector<engine_index> tied;
    for (const engine_index candidate : candidates)
    {
        const std::uint32_t value = load(candidate);
        if (tied.empty() || value < least)
        {
            least = value;
            tied.clear();
        }
        if (value == least)
        {
            tied.push_back(candidate);
        }
    }
    return by_rendezvous(tied, key);
}

void engine_table::add(engine_index engine)
{
    engine_state& state = engines_[engine];
    ++state.in_flight;
    state.peak = std::max(state.peak, state.in_flight);
    update_totals();
}

void engine_table::remove(engine_index engine)
{
    engine_state& state = engines_[engine];
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
    update_totals();
}

void engine_table::set_reserved(engine_index engine, bool reserved)
{
    engines_[engine].reserved = reserved;
    update_totals();
}

void engine_table::set_up(engine_index engine, bool up)
{
    engines_[engine].up = up;
    engines_[engine].suspended_until = time_point{};
    update_totals();
}

void engine_table::suspend(engine_index engine, time_point until)
{
    engines_[engine].suspended_until = until;
}

bool engine_table::on_load_report(
    engine_index engine, const load_report& report, time_point now)
{
    engine_state& state = engines_[engine];
    const bool restarted = state.start_number != 0 &&
                           report.start_number != 0 &&
                           state.start_number != report.start_number;
    state.start_number = report.start_number;
    state.suspended_until = time_point{};
    // The report lags behind the placements. It is compared with the maximum in
    // flight over the last two report periods, so that only the excess counts
    // as placed by others.
    const std::uint32_t own = std::max(state.peak, state.previous_peak);
    const std::uint32_t reported = report.running + report.waiting;
    state.external_load = reported > own ? reported - own : 0;
    state.previous_peak = std::exchange(state.peak, state.in_flight);
    state.reported = now;
    update_totals();
    return restarted;
}

void engine_table::expire_reports(time_point now)
{
    for (engine_state& engine : engines_)
    {
        if (engine.external_load > 0 && now - engine.reported > report_lifetime)
        {
            engine.external_load = 0;
        }
    }
    update_totals();
}

void engine_table::set_usable_share(double share)
{
    usable_share_ = share;
}

std::uint32_t engine_table::live_slots() const
{
    return live_slots_;
}

std::uint32_t engine_table::live_count() const
{
    return live_count_;
}

std::uint32_t engine_table::total_load() const
{
    return total_load_;
}

std::vector<engine_index> engine_table::listed() const
{
    std::vector<engine_index> result;
    for (std::size_t index = 0; index < engines_.size(); ++index)
    {
        if (engines_[index].listed)
        {
            result.push_back(static_cast<engine_index>(index));
        }
    }
    return result;
}

void engine_table::update_totals()
{
    live_count_ = 0;
    live_slots_ = 0;
    total_load_ = 0;
    for (const engine_state& engine : engines_)
    {
        if (accepts_requests(engine))
        {
            ++live_count_;
            live_slots_ += engine.description.slots;
            total_load_ += engine.in_flight + engine.external_load;
        }
    }
}

} // namespace hickorygap
