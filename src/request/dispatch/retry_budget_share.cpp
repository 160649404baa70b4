#include "request/dispatch/retry_budget_share.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

// Share of the limit that is used. The rest covers requests that reach a server
// in a later window than the one in which they were counted, and routers that
// are not known yet.
constexpr double used_share = 0.8;

void drop_older(std::deque<time_point>& times, time_point earliest)
{
    while (!times.empty() && times.front() < earliest)
    {
        times.pop_front();
    }
}

} // namespace

retry_budget_share::retry_budget_share(const retry_limits& limits)
    : limits_{limits}
{
}

void retry_budget_share::set_routers(std::uint32_t routers)
{
    routers_ = std::max(routers, 1U);
}

void retry_budget_share::drop_expired(time_point now)
{
    drop_older(requests_, now - limits_.window);
    drop_older(retries_, now - limits_.window);
}

void retry_budget_share::on_request(time_point now)
{
    drop_expired(now);
    requests_.push_back(now);
}

bool retry_budget_share::try_take(time_point now)
{
    drop_expired(now);
    const double allowed =
        used_share * (limits_.ratio * static_cast<double>(requests_.size()) +
                      limits_.slack / routers_);
    if (static_cast<double>(retries_.size()) + 1 > allowed)
    {
        return false;
    }
    retries_.push_back(now);
    return true;
}

} // namespace hickorygap
