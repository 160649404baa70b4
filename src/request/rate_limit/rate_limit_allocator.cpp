#include "request/rate_limit/rate_limit_allocator.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

// Capacity of a bucket: the requests of this time, and at least one.
constexpr double bucket_s = 0.5;

double bucket_size(double limit)
{
    return std::max(1.0, permitted_rate(limit) * bucket_s);
}

} // namespace

rate_limit_allocator::rate_limit_allocator(std::uint64_t epoch)
    : version_{epoch}
{
}

bool rate_limit_allocator::observe(
    std::span<const backend_limit> observed, time_point now)
{
    bool has_changed = false;
    for (const backend_limit& limit : observed)
    {
        if (!limit.requests_per_second)
        {
            has_changed = buckets_.erase(limit.backend) > 0 || has_changed;
            continue;
        }
        const auto [found, is_new] = buckets_.try_emplace(limit.backend);
        bucket& item = found->second;
        if (is_new)
        {
            item.filled_at = now;
        }
        fill(item, now);
        has_changed = has_changed || is_new ||
                      item.requests_per_second != *limit.requests_per_second;
        item.requests_per_second = *limit.requests_per_second;
        fill(item, now);
    }
    version_ += has_changed ? 1 : 0;
    return has_changed;
}

bool rate_limit_allocator::keep_only(std::span<const backend_server_id> listed)
{
    const auto removed = std::erase_if(
        buckets_, [&](const auto& item)
        { return std::ranges::find(listed, item.first) == listed.end(); });
    version_ += removed > 0 ? 1 : 0;
    return removed > 0;
}

void rate_limit_allocator::fill(bucket& item, time_point now)
{
    const double age =
        std::chrono::duration<double>(now - item.filled_at).count();
    item.tokens = std::min(
        item.tokens + permitted_rate(item.requests_per_second) * age,
        bucket_size(item.requests_per_second));
    item.filled_at = now;
}

std::optional<backend_server_id> rate_limit_allocator::take(
    std::span<const backend_server_id> candidates, time_point now)
{
    for (const backend_server_id backend : candidates)
    {
        const auto found = buckets_.find(backend);
        if (found == buckets_.end())
        {
            return backend;
        }
        bucket& item = found->second;
        fill(item, now);
        if (item.tokens >= 1)
        {
            item.tokens -= 1;
            return backend;
        }
    }
    return std::nullopt;
}

limit_table rate_limit_allocator::table() const
{
    limit_table result;
    result.version = version_;
    for (const auto& [backend, item] : buckets_)
    {
        result.limits.push_back({backend, item.requests_per_second});
    }
    return result;
}

} // namespace hickorygap
