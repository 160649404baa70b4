#ifndef HICKORYGAP_REQUEST_DISPATCH_RETRY_AFTER_ESTIMATOR_HPP
#define HICKORYGAP_REQUEST_DISPATCH_RETRY_AFTER_ESTIMATOR_HPP

#include "common/random.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <optional>

namespace hickorygap
{

// What the Retry-After of a refused request depends on.
struct retry_after_query
{
    // Time until the caller gives up.
    duration time_left{0};

    // Ranks between the most urgent requests of the service and this one; zero
    // for the most urgent.
    std::uint32_t rank_below_first = 0;

    // Time until the first server accepts requests again, when all have said
    // that they accept none.
    std::optional<duration> until_accepting = std::nullopt;
};

// Computes the Retry-After of requests that were refused without being run:
// short when a single server was full, close to the limit when most requests
// are refused, and longer for less urgent requests.
//
// If all callers refused in a surge retried at once, they would be refused
// again and would crowd out new callers. Pure: all times are passed in.
class retry_after_estimator
{
public:
    explicit retry_after_estimator(std::uint64_t seed);

    // A request to the service ended, refused or not.
    void on_end(bool refused, time_point now);

    // At most a share of the caller's remaining time, unless all servers have
    // said when they accept requests again.
    duration retry_after(const retry_after_query& caller, time_point now);

private:
    // Share of refusals among the latest requests, 0 to 1.
    double refused_share(time_point now) const;
    void decay(time_point now);

    random_engine random_;

    // Exponentially decayed counts of finished and of refused requests, as of
    // `at_`.
    double finished_ = 0;
    double refusals_ = 0;
    time_point at_;
};

} // namespace hickorygap

#endif
