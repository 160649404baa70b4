#ifndef HICKORYGAP_REQUEST_DISPATCH_RETRY_ADVISOR_HPP
#define HICKORYGAP_REQUEST_DISPATCH_RETRY_ADVISOR_HPP

#include "common/random.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <optional>

namespace hickorygap
{

// What the advice to a refused caller depends on.
struct refused_caller
{
    // Until the caller gives up.
    duration time_left{0};

    // Ranks between the most urgent requests that the service gets and its own.
    std::uint32_t rank_below_first = 0;

    // Until the first server takes requests again, when all have said that they
    // want none.
    std::optional<duration> until_accepted = std::nullopt;
};

// Tells callers whose requests have not run when to come back, by how the
// service fares: soon when a single server was full, and late in their time
// when most requests are refused, the least urgent last.
//
// Answers the pattern of a surge whose callers all come back at once: they are
// refused again, and keep out those who come for the first time. Pure: all
// times are passed in.
class retry_advisor
{
public:
    explicit retry_advisor(std::uint64_t seed);

    // A request to the service ended, refused or not.
    void on_end(bool refused, time_point now);

    // At most the part of its time that a caller waits, unless all servers have
    // said for how long they want no requests.
    duration advice(const refused_caller& caller, time_point now);

private:
    // Share of refusals among the latest requests, 0 to 1.
    double refused_share(time_point now) const;
    void forget(time_point now);

    random_engine random_;

    // Weighted sums in which older ends count less, as of `at_`.
    double ends_ = 0;
    double refusals_ = 0;
    time_point at_;
};

} // namespace hickorygap

#endif
