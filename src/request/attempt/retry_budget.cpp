#include "request/attempt/retry_budget.hpp"

#include <algorithm>

namespace hickorygap
{

retry_budget::retry_budget(retry_budget_options options)
    : options_(options)
{
}

retry_budget::token_bucket&
retry_budget::refill(service_id service, time_point now)
{
    const auto [entry, inserted] =
        buckets_.try_emplace(service, token_bucket{options_.capacity, now});
    token_bucket& current = entry->second;
    if (now > current.updated)
    {
        const double seconds =
            std::chrono::duration<double>(now - current.updated).count();
        current.retries = std::min(
            options_.capacity,
            current.retries + seconds * options_.min_retries_per_second);
        current.updated = now;
    }
    return current;
}

void retry_budget::on_success(service_id service, time_point now)
{
    token_bucket& current = refill(service, now);
    current.retries = std::min(
        options_.capacity, current.retries + options_.retries_per_success);
}

bool retry_budget::try_take(service_id service, time_point now)
{
    token_bucket& current = refill(service, now);
    if (current.retries < 1.0)
    {
        return false;
    }
    current.retries -= 1.0;
    return true;
}

} // namespace hickorygap
