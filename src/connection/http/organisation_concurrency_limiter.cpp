#include "connection/http/organisation_concurrency_limiter.hpp"

namespace hickorygap
{

organisation_concurrency_limiter::slot::slot(
    organisation_concurrency_limiter& limiter, organisation_id organisation)
    : limiter_(limiter)
    , organisation_(organisation)
    , acquired_(limiter.try_acquire(organisation))
{
}

organisation_concurrency_limiter::slot::~slot()
{
    if (acquired_)
    {
        limiter_.release(organisation_);
    }
}

organisation_concurrency_limiter::organisation_concurrency_limiter(
    std::size_t limit)
    : limit_(limit)
{
}

bool organisation_concurrency_limiter::try_acquire(organisation_id organisation)
{
    const std::lock_guard lock{mutex_};
    std::size_t& count = in_flight_[organisation];
    if (count >= limit_)
    {
        return false;
    }
    ++count;
    return true;
}

void organisation_concurrency_limiter::release(organisation_id organisation)
{
    const std::lock_guard lock{mutex_};
    const auto found = in_flight_.find(organisation);
    if (--found->second == 0)
    {
        in_flight_.erase(found);
    }
}

} // namespace hickorygap
