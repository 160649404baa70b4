#include "request/dispatch/retry_allowance.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

// Share of the limit that is used. The rest covers requests that reach a
// server in another window than the one in which they were counted, and
// routers that are not known yet.
constexpr double used_share = 0.8;

void drop_before(std::deque<time_point>& times, time_point oldest)
{
    while (!times.empty() && times.front() < oldest)
    {
        times.pop_front();
    }
}

} // namespace

retry_allowance::retry_allowance(const retry_limits& limits)
    : limits_{limits}
{
}

void retry_allowance::set_routers(std::uint32_t routers)
{
    routers_ = std::max(routers, 1U);
}

void retry_allowance::drop_old(time_point now)
{
    drop_before(requests_, now - limits_.window);
    drop_before(repeats_, now - limits_.window);
}

void retry_allowance::on_request(time_point now)
{
    drop_old(now);
    requests_.push_back(now);
}

bool retry_allowance::try_take(time_point now)
{
    drop_old(now);
    const double allowed =
        used_share * (limits_.ratio * static_cast<double>(requests_.size()) +
                      limits_.slack / routers_);
    if (static_cast<double>(repeats_.size()) + 1 > allowed)
    {
        return false;
    }
    repeats_.push_back(now);
    return true;
}

} // namespace hickorygap
