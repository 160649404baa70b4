#include "request/rate_limit/rate_limit_allocator.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorygap
{

namespace
{

// Capacity of a bucket: the requests of this time, and at least one.
constexpr double bucket_s = 0.5;

constexpr duration unlisted_retention = std::chrono::seconds{20};

// A bucket of a cold server that was not used for this long is full.
constexpr duration cold_bucket_retention = std::chrono::seconds{5};

// A router that misses a removal learns it from the answer to its next query.
constexpr std::size_t max_removed = 256;

} // namespace

rate_limit_allocator::rate_limit_allocator(std::uint64_t term)
    : version_{term << limits_term_shift}
{
}

bool rate_limit_allocator::has_same_term(std::uint64_t version) const
{
    return term_of_limits(version) == term_of_limits(version_);
}

permit_answer
rate_limit_allocator::answer(const permit_query& query, time_point now)
{
    drop_ended(now);
    learn_from(query, now);
    permit_answer result;
    if (!query.candidates.empty())
    {
        result.backend = take(query, now);
    }
    result.changes = changes_since(query.version);
    for (const backend_limit& candidate : query.candidates)
    {
        const backend_limit none{candidate.backend, {}};
        if (!buckets_.contains(candidate.backend) &&
            std::ranges::find(result.changes.limits, none) ==
                result.changes.limits.end())
        {
            result.changes.limits.push_back(none);
        }
    }
    return result;
}

// Version of the last change of the server's limit; zero if this leader has
// never heard of one, or has forgotten that it ended.
std::uint64_t
rate_limit_allocator::last_change_of(backend_server_id backend) const
{
    if (const auto found = buckets_.find(backend); found != buckets_.end())
    {
        return found->second.changed_in;
    }
    const auto removed = std::ranges::find(
        removed_.rbegin(), removed_.rend(), backend, &removed_limit::backend);
    return removed == removed_.rend() ? 0 : removed->removed_in;
}

// Learns what the router has observed, and the limits by which it knows the
// candidates if they are missing or larger here: this leader was elected since,
// or a report was lost. A router with a version before the last change of the
// server's limit may not have heard yet that it has ended or risen. A limit
// that was ending under the leader before ends once more from now on.
void rate_limit_allocator::learn_from(const permit_query& query, time_point now)
{
    for (const backend_limit& candidate : query.candidates)
    {
        const auto found = buckets_.find(candidate.backend);
        const bool is_unlimited =
            found == buckets_.end() || found->second.ended_at;
        const bool knows_change =
            !has_same_term(query.version) ||
            query.version >= last_change_of(candidate.backend);
        if (!knows_change || !candidate.requests_per_second)
        {
            continue;
        }
        if (!candidate.is_ending)
        {
            if (is_unlimited || *candidate.requests_per_second <
                                    found->second.requests_per_second)
            {
                observe(candidate, now);
            }
        }
        else if (last_change_of(candidate.backend) == 0)
        {
            // Its rate was growing under the leader before.
            observe(candidate, now);
            observe({candidate.backend, {}}, now);
        }
    }
    for (const backend_limit& limit : query.observed)
    {
        observe(limit, now);
    }
}

void rate_limit_allocator::observe(const backend_limit& limit, time_point now)
{
    if (!limit.requests_per_second)
    {
        if (const auto found = buckets_.find(limit.backend);
            found != buckets_.end() && !found->second.ended_at)
        {
            fill(found->second, now);
            found->second.ended_at = now;
            found->second.changed_in = ++version_;
        }
        return;
    }
    const auto [found, is_new] = buckets_.try_emplace(limit.backend);
    bucket& item = found->second;
    if (is_new)
    {
        item.filled_at = now;
    }
    fill(item, now);
    item.listed_at = now;
    if (update(item, limit, now) || is_new)
    {
        item.changed_in = ++version_;
        fill(item, now);
    }
    if (item.pacer && limit.rejections > 0)
    {
        item.tokens = 0;
        item.pacer->on_rejected(limit.rejections, now);
    }
}

// Returns whether the limit has changed.
bool rate_limit_allocator::update(
    bucket& item, const backend_limit& limit, time_point now)
{
    const bool is_change =
        item.ended_at || item.pacer.has_value() != limit.is_brittle ||
        item.requests_per_second != *limit.requests_per_second;
    if (is_change)
    {
        item.earlier_limit =
            item.ended_at || item.pacer || limit.is_brittle
                ? 0
                : std::max(item.earlier_limit, item.requests_per_second);
    }
    item.requests_per_second = *limit.requests_per_second;
    if (item.earlier_limit <= item.requests_per_second)
    {
        item.earlier_limit = 0;
    }
    item.ended_at.reset();
    if (!limit.is_brittle)
    {
        item.pacer.reset();
    }
    else if (item.pacer)
    {
        item.pacer->set_tolerated(*limit.requests_per_second);
    }
    else
    {
        item.pacer.emplace(*limit.requests_per_second, now);
        item.pacer->set_slots(item.listed.slots);
    }
    return is_change;
}

void rate_limit_allocator::on_loads(
    std::span<const backend_load> loads, time_point now)
{
    for (auto& [backend, item] : buckets_)
    {
        if (!item.pacer)
        {
            continue;
        }
        const std::uint32_t id = short_backend_id(backend);
        const auto found =
            std::ranges::lower_bound(loads, id, {}, &backend_load::backend);
        const backend_load load = found != loads.end() && found->backend == id
                                      ? *found
                                      : backend_load{};
        fill(item, now);
        item.pacer->on_load(load.in_flight, load.outcomes - load.failures, now);
    }
}

void rate_limit_allocator::remove(bucket_map::iterator item)
{
    removed_.push_back({item->first, ++version_});
    if (removed_.size() > max_removed)
    {
        removed_.pop_front();
    }
    buckets_.erase(item);
}

void rate_limit_allocator::drop_ended(time_point now)
{
    for (auto item = buckets_.begin(); item != buckets_.end();)
    {
        const auto next = std::next(item);
        bucket& limited = item->second;
        if (limited.ended_at && now - *limited.ended_at > limit_growth_period)
        {
            if (limited.earlier_limit > 0)
            {
                fill(limited, now);
                limited.requests_per_second =
                    std::exchange(limited.earlier_limit, 0);
                limited.ended_at = now;
                limited.changed_in = ++version_;
            }
            else
            {
                remove(item);
            }
        }
        item = next;
    }
}

void rate_limit_allocator::keep_listed(
    std::span<const listed_server> listed, time_point now)
{
    drop_ended(now);
    for (const listed_server& server : listed)
    {
        const auto found = buckets_.find(server.id);
        if (found != buckets_.end())
        {
            found->second.listed_at = now;
            found->second.listed = server;
            if (found->second.pacer)
            {
                found->second.pacer->set_slots(server.slots);
            }
        }
    }
    for (auto item = buckets_.begin(); item != buckets_.end();)
    {
        const auto next = std::next(item);
        if (now - item->second.listed_at > unlisted_retention)
        {
            remove(item);
        }
        item = next;
    }
}

limit_changes rate_limit_allocator::changes_since(std::uint64_t version) const
{
    limit_changes result;
    result.version = version_;
    result.base_version = has_same_term(version) ? version : 0;
    for (const removed_limit& item : removed_)
    {
        if (item.removed_in > result.base_version)
        {
            result.limits.push_back({item.backend, {}});
        }
    }
    for (const auto& [backend, item] : buckets_)
    {
        if (item.changed_in > result.base_version)
        {
            result.limits.push_back(
                {backend, item.requests_per_second, item.ended_at.has_value(),
                 item.pacer.has_value()});
        }
    }
    return result;
}

double
rate_limit_allocator::permitted_rate_at(const bucket& item, time_point at)
{
    const double base =
        item.pacer ? item.pacer->rate() : item.requests_per_second;
    if (!item.ended_at)
    {
        return permitted_rate(base);
    }
    const double rate = permitted_rate_after_end(base, at - *item.ended_at);
    return item.earlier_limit > 0
               ? std::min(rate, permitted_rate(item.earlier_limit))
               : rate;
}

void rate_limit_allocator::fill(bucket& item, time_point now)
{
    const time_point begin =
        item.pacer ? std::max(item.filled_at, item.pacer->paused_until())
                   : item.filled_at;
    const double age =
        std::chrono::duration<double>(std::max(now - begin, duration{0}))
            .count();
    const double rate = permitted_rate_at(item, item.filled_at);
    const double capacity =
        item.pacer ? item.pacer->burst() : std::max(1.0, rate * bucket_s);
    item.tokens = std::min(item.tokens + rate * age, capacity);
    item.filled_at = now;
}

// Whether the request may take a permit. It has to compete with requests of
// other ranks if only servers with limits are left for it.
bool rate_limit_allocator::competes(const permit_query& query, time_point now)
{
    const permit_request& request = query.request;
    const bool has_unlimited = std::ranges::any_of(
        query.candidates, [this](const backend_limit& candidate)
        { return !buckets_.contains(candidate.backend); });
    if (has_unlimited || !request.others_too)
    {
        return true;
    }
    double capacity = 0;
    for (const auto& [backend, item] : buckets_)
    {
        const bool is_unknown = item.listed.id == 0;
        if (is_unknown ||
            (item.listed.service == request.service && !item.listed.is_leaving))
        {
            capacity += permitted_rate_at(item, now);
        }
    }
    return admissions_.try_emplace(request.service, request.service)
        .first->second.admits(request.rank_below_first, capacity, now);
}

std::optional<backend_server_id>
rate_limit_allocator::take(const permit_query& query, time_point now)
{
    if (!competes(query, now))
    {
        return std::nullopt;
    }
    for (const backend_limit& candidate : query.candidates)
    {
        const auto found = buckets_.find(candidate.backend);
        if (found == buckets_.end())
        {
            if (take_cold(candidate.backend, query.request.service, now))
            {
                return candidate.backend;
            }
            continue;
        }
        bucket& item = found->second;
        fill(item, now);
        if (item.tokens >= 1)
        {
            item.tokens -= 1;
            return candidate.backend;
        }
    }
    if (bucket* other = find_other(query.request, now))
    {
        other->tokens -= 1;
        return other->listed.id;
    }
    return std::nullopt;
}

void rate_limit_allocator::set_cold_rates(std::map<std::uint64_t, double> rates)
{
    cold_rates_ = std::move(rates);
}

// Whether a cold server of the service accepts one more request. True for all
// servers of services without a rate.
bool rate_limit_allocator::take_cold(
    backend_server_id backend, std::uint64_t service, time_point now)
{
    const auto rate = cold_rates_.find(service);
    if (rate == cold_rates_.end())
    {
        return true;
    }
    std::erase_if(
        cold_buckets_, [now](const auto& item)
        { return now - item.second.filled_at > cold_bucket_retention; });
    const double capacity = std::max(1.0, rate->second * bucket_s);
    const auto [found, is_new] =
        cold_buckets_.try_emplace(backend, cold_bucket{capacity, now});
    cold_bucket& item = found->second;
    const double age =
        std::chrono::duration<double>(now - item.filled_at).count();
    item.tokens = std::min(item.tokens + rate->second * age, capacity);
    item.filled_at = now;
    if (item.tokens < 1)
    {
        return false;
    }
    item.tokens -= 1;
    return true;
}

// The server with the most tokens that the request may go to; nullptr for none.
rate_limit_allocator::bucket*
rate_limit_allocator::find_other(const permit_request& request, time_point now)
{
    bucket* best = nullptr;
    for (auto& [backend, item] : buckets_)
    {
        const bool is_allowed =
            request.others_too && item.listed.service == request.service &&
            !item.listed.is_leaving &&
            (request.software_version == 0 ||
             item.listed.software_version == request.software_version) &&
            std::ranges::find(request.excluded, backend) ==
                request.excluded.end();
        if (!is_allowed)
        {
            continue;
        }
        fill(item, now);
        if (item.tokens >= 1 && (best == nullptr || item.tokens > best->tokens))
        {
            best = &item;
        }
    }
    return best;
}

} // namespace hickorygap
