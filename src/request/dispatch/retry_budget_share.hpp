#ifndef HICKORYGAP_REQUEST_DISPATCH_RETRY_BUDGET_SHARE_HPP
#define HICKORYGAP_REQUEST_DISPATCH_RETRY_BUDGET_SHARE_HPP

#include "common/time.hpp"

#include <cstdint>
#include <deque>

namespace hickorygap
{

// The fleet's limit on the retries of one service in a sliding window: ratio
// times the requests plus slack.
struct retry_limits
{
    // Retries per request of callers.
    double ratio = 0;

    // Retries of the whole fleet that are allowed beyond the ratio.
    double slack = 0;
    duration window = std::chrono::seconds{10};
};

// This router's share of the fleet's retry limit for one service. The ratio
// applies to the router's own requests and the slack is divided evenly among
// the routers, so the fleet keeps its limit without coordination.
class retry_budget_share
{
public:
    explicit retry_budget_share(const retry_limits& limits);

    // Number of routers that share the slack; at least 1.
    void set_routers(std::uint32_t routers);

    void on_request(time_point now);

    // Whether one more retry is allowed now; counts it if so.
    bool try_take(time_point now);

private:
    void drop_expired(time_point now);

    retry_limits limits_;
    std::uint32_t routers_ = 1;
    std::deque<time_point> requests_;
    std::deque<time_point> retries_;
};

} // namespace hickorygap

#endif
