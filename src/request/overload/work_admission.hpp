#ifndef HICKORYGAP_REQUEST_OVERLOAD_WORK_ADMISSION_HPP
#define HICKORYGAP_REQUEST_OVERLOAD_WORK_ADMISSION_HPP

#include "common/random.hpp"
#include "request/dispatch/admission_controller.hpp"

#include <cstdint>
#include <map>

namespace hickorygap
{

// Turns away what costs callers least when there is too little room. The rank
// decides first, as in admission_controller. Within a rank those are refused
// that need much work, because one of them makes room for several others, and
// those that can come back before their objective; a request of any size keeps
// at least half of its rank's share. A request that would not be served before
// its caller gives up is refused at once.
//
// Answers a flood of long requests among short ones, and a queue that is longer
// than callers wait. Pure: all times are passed in.
class work_admission final : public admission_policy
{
public:
    explicit work_admission(std::uint64_t seed);

    admission_decision
    decide(const admission_query& query, time_point now) override;

private:
    // The work of the latest requests of a rank that were sent and refused.
    struct rank_balance
    {
        double offered = 0;
        double expected = 0;
        time_point at;
    };

    double scale_of(const rank_balance& balance) const;

    admission_controller ranks_;
    random_engine random_;

    // By rank below the first.
    std::map<std::uint32_t, rank_balance> balances_;
};

} // namespace hickorygap

#endif
