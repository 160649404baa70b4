#ifndef HICKORYGAP_REQUEST_DISPATCH_RETRY_ALLOWANCE_HPP
#define HICKORYGAP_REQUEST_DISPATCH_RETRY_ALLOWANCE_HPP

#include "common/time.hpp"

#include <cstdint>
#include <deque>

namespace hickorygap
{

// The fleet's limit on repeated sends to one service.
struct retry_limits
{
    // Repeats for each request of callers.
    double ratio = 0;

    // Repeats of the whole fleet beyond that in one window.
    double slack = 0;
    duration window = std::chrono::seconds{10};
};

// This router's part of the fleet's limit on repeated sends to one service.
// The part grows with its own requests, and the slack is divided evenly among
// the routers, so that no messages are needed and the sum keeps the limit.
class retry_allowance
{
public:
    explicit retry_allowance(const retry_limits& limits);

    // Number of routers that share the slack; at least 1.
    void set_routers(std::uint32_t routers);

    void on_request(time_point now);

    // Whether one more send is allowed now; counts it if so.
    bool try_take(time_point now);

private:
    void drop_old(time_point now);

    retry_limits limits_;
    std::uint32_t routers_ = 1;
    std::deque<time_point> requests_;
    std::deque<time_point> repeats_;
};

} // namespace hickorygap

#endif
