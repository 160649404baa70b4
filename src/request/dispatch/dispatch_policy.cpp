#include "request/dispatch/dispatch_policy.hpp"

#include "common/hashing.hpp"

#include <algorithm>
#include <limits>
#include <vector>

namespace hickorygap
{

namespace
{

// Load of a server above which affinity gives way: a multiple of the mean load
// of its service plus a few requests. The fleet guarantees twice the mean plus
// three; the difference covers requests that other routers place between two
// exchanges of load counts.
struct load_bound
{
    double factor = 1;
    double slack = 0;
};
constexpr load_bound long_prefix_bound{1.6, 2.0};
constexpr load_bound short_prefix_bound{1.2, 1.0};

// Prefixes of at least so many tokens are long: an engine takes longer to
// compute them again than for one step of all its running requests.
constexpr std::uint32_t long_prefix_tokens = 3000;

// An engine without progress for this long gets no new requests. A healthy one
// emits an event at least every 300 ms.
constexpr duration engine_stall_limit = std::chrono::milliseconds{800};

// A plain server without progress for this long gets no new requests.
constexpr duration plain_server_stall_limit = std::chrono::milliseconds{250};

// A server is avoided when its failure share exceeds the lowest of its service
// by more than this.
constexpr double failure_margin = 0.25;

// Time to first byte that is assumed before any server of the service has
// responded.
constexpr double default_first_byte_ms = 20.0;

// Cost factor of servers in the router's own failure domain: traffic between
// failure domains is slower and is charged for.
constexpr double own_domain_factor = 0.9;

bool contains(
    std::span<const backend_server_id> servers, const backend_record& record)
{
    return std::ranges::find(servers, record.id) != servers.end();
}

bool is_responsive(
    const backend_record& record, duration stall_limit, time_point now)
{
    return record.avoided_until <= now &&
           time_without_progress(record, now) <= stall_limit;
}

// Servers that may be chosen, by health.
struct candidate_set
{
    // Responsive, with a failure share near the lowest.
    std::vector<const backend_record*> healthy;

    // Responsive, with a clearly higher failure share.
    std::vector<const backend_record*> failing;

    // Avoided after failures, or without progress.
    std::vector<const backend_record*> unresponsive;

    double mean_load = 0;
    double mean_slots = 0;
};

candidate_set candidates_of(
    std::span<const backend_record* const> members, const dispatch_query& query,
    duration stall_limit, time_point now)
{
    candidate_set result;
    double lowest_failure = 1;
    double total = 0;
    double slots = 0;
    std::size_t in_service = 0;
    const bool all_limited = std::ranges::all_of(
        members, [&](const backend_record* record)
        { return contains(query.limited, *record); });
    for (const backend_record* record : members)
    {
        if (is_in_service(*record) &&
            (all_limited || !contains(query.limited, *record)))
        {
            lowest_failure =
                std::min(lowest_failure, recent_failure_share(*record, now));
            total += estimated_load(*record, now);
            slots += record->listed.slots;
            ++in_service;
        }
    }
    if (in_service > 0)
    {
        result.mean_load = total / static_cast<double>(in_service);
        result.mean_slots = slots / static_cast<double>(in_service);
    }
    for (const backend_record* record : members)
    {
        if (!is_in_service(*record) || record->declines_until > now ||
            contains(query.excluded, *record))
        {
            continue;
        }
        if (!is_responsive(*record, stall_limit, now))
        {
            result.unresponsive.push_back(record);
        }
        else if (
            recent_failure_share(*record, now) >
            lowest_failure + failure_margin)
        {
            result.failing.push_back(record);
        }
        else
        {
            result.healthy.push_back(record);
        }
    }
    return result;
}

// Chooses the unresponsive server whose avoidance ends first.
dispatch_choice last_resort(const candidate_set& candidates, time_point now)
{
    dispatch_choice choice;
    choice.reason = dispatch_reason::last_resort;
    choice.mean_load = candidates.mean_load;
    choice.mean_slots = candidates.mean_slots;
    const auto first = std::ranges::min_element(
        candidates.unresponsive, {}, &backend_record::avoided_until);
    if (first != candidates.unresponsive.end())
    {
        choice.backend = *first;
        choice.load = estimated_load(**first, now);
    }
    return choice;
}

// The server with the highest rendezvous score for the key among those within
// the load bound; without a key, the least loaded one of them. nullptr when all
// exceed the bound.
const backend_record* preferred_within_bound(
    std::span<const backend_record* const> records, std::uint64_t key,
    double bound, time_point now)
{
    const backend_record* best = nullptr;
    std::uint64_t best_score = 0;
    double best_load = 0;
    for (const backend_record* record : records)
    {
        const double load = estimated_load(*record, now);
        const std::uint64_t score =
            key == 0 ? 0 : rendezvous_score(key, record->id);
        const bool better = best == nullptr || score > best_score ||
                            (score == best_score && load < best_load);
        if (load <= bound && better)
        {
            best = record;
            best_score = score;
            best_load = load;
        }
    }
    return best;
}

// The responsive server of the same version with the highest rendezvous score
// for the key, other than the chosen one. nullptr without a key.
const backend_record* prefix_source(
    std::span<const backend_record* const> members, const dispatch_query& query,
    const backend_record* chosen, time_point now)
{
    const backend_record* best = nullptr;
    std::uint64_t best_score = 0;
    for (const backend_record* record : members)
    {
        const std::uint64_t score =
            rendezvous_score(query.affinity_key, record->id);
        if (query.affinity_key != 0 && record != chosen &&
            record->listed.version == chosen->listed.version &&
            score >= best_score &&
            is_responsive(*record, engine_stall_limit, now))
        {
            best = record;
            best_score = score;
        }
    }
    return best;
}

// Time to first byte that is assumed for servers without a sample: the mean of
// the others.
double mean_first_byte_ms(std::span<const backend_record* const> records)
{
    double sum = 0;
    std::size_t known = 0;
    for (const backend_record* record : records)
    {
        sum += record->first_byte_ms;
        known += record->first_byte_ms > 0 ? 1 : 0;
    }
    return known == 0 ? default_first_byte_ms
                      : sum / static_cast<double>(known);
}

// Expected time of a request, retries after failures included. The load of a
// server counts only when all its slots are taken.
double expected_time(
    const backend_record& record, double default_ms,
    const dispatch_query& query, time_point now)
{
    const double slots = std::max(record.listed.slots, 1U);
    const double waiting =
        std::max(estimated_load(record, now) + 1 - slots, 0.0);
    const double time =
        record.first_byte_ms > 0 ? record.first_byte_ms : default_ms;
    const double domain = record.listed.failure_domain == query.failure_domain
                              ? own_domain_factor
                              : 1.0;
    // Older reports are ignored: the time that work takes changes several times
    // a second.
    constexpr duration max_report_age = std::chrono::milliseconds{100};
    constexpr double baseline_percent = 100;
    const double work_time =
        record.report && now - record.reported_at <= max_report_age
            ? std::max(record.report->work_time_percent, 1U) / baseline_percent
            : 1.0;
    constexpr double max_failure_share = 0.9;
    const double success =
        1 - std::min(recent_failure_share(record, now), max_failure_share);
    return time * work_time * domain * (1 + waiting / slots) / success;
}

} // namespace

std::string_view dispatch_reason_name(dispatch_reason reason)
{
    switch (reason)
    {
    case dispatch_reason::preferred:
        return "preferred";
    case dispatch_reason::spilled:
        return "spilled";
    case dispatch_reason::last_resort:
        return "last_resort";
    }
    return "unknown";
}

dispatch_choice prefix_affinity_policy::choose(
    std::span<const backend_record* const> members, const dispatch_query& query,
    time_point now)
{
    const candidate_set candidates =
        candidates_of(members, query, engine_stall_limit, now);
    std::vector<const backend_record*> responsive = candidates.healthy;
    responsive.insert(
        responsive.end(), candidates.failing.begin(), candidates.failing.end());
    if (responsive.empty())
    {
        return last_resort(candidates, now);
    }
    const load_bound& limits = query.shared_tokens >= long_prefix_tokens
                                   ? long_prefix_bound
                                   : short_prefix_bound;
    const double bound = limits.factor * candidates.mean_load + limits.slack;
    constexpr double any_load = std::numeric_limits<double>::max();
    dispatch_choice choice;
    choice.mean_load = candidates.mean_load;
    choice.mean_slots = candidates.mean_slots;
    choice.backend = preferred_within_bound(
        candidates.healthy, query.affinity_key, bound, now);
    if (choice.backend == nullptr)
    {
        // The few healthy servers must not take the load of all.
        choice.backend =
            preferred_within_bound(responsive, query.affinity_key, bound, now);
    }
    if (choice.backend == nullptr)
    {
        choice.backend = preferred_within_bound(responsive, 0, any_load, now);
    }
    choice.load = estimated_load(*choice.backend, now);
    if (query.affinity_key != 0 &&
        choice.backend != preferred_within_bound(
                              responsive, query.affinity_key, any_load, now))
    {
        choice.reason = dispatch_reason::spilled;
    }
    choice.prefix_source = prefix_source(members, query, choice.backend, now);
    return choice;
}

least_cost_policy::least_cost_policy(std::uint64_t seed)
    : random_{seed}
{
}

dispatch_choice least_cost_policy::choose(
    std::span<const backend_record* const> members, const dispatch_query& query,
    time_point now)
{
    const candidate_set candidates =
        candidates_of(members, query, plain_server_stall_limit, now);
    const auto& records =
        candidates.healthy.empty() ? candidates.failing : candidates.healthy;
    if (records.empty())
    {
        return last_resort(candidates, now);
    }
    dispatch_choice choice;
    choice.mean_load = candidates.mean_load;
    choice.mean_slots = candidates.mean_slots;
    const std::size_t first = random_below(random_, records.size());
    choice.backend = records[first];
    if (records.size() > 1)
    {
        const std::size_t offset =
            1 + random_below(random_, records.size() - 1);
        const backend_record* second =
            records[(first + offset) % records.size()];
        const double default_ms = mean_first_byte_ms(records);
        const double first_time =
            expected_time(*choice.backend, default_ms, query, now);
        const double second_time =
            expected_time(*second, default_ms, query, now);
        // Prefers the faster server without always choosing it: all routers
        // have the same load counts and would all choose the same server.
        const double first_weight = second_time * second_time;
        const double second_weight = first_time * first_time;
        if (std::uniform_real_distribution<>{0, first_weight + second_weight}(
                random_) > first_weight)
        {
            choice.backend = second;
        }
    }
    choice.load = estimated_load(*choice.backend, now);
    return choice;
}

} // namespace hickorygap
