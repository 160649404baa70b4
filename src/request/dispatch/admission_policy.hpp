#ifndef HICKORYGAP_REQUEST_DISPATCH_ADMISSION_POLICY_HPP
#define HICKORYGAP_REQUEST_DISPATCH_ADMISSION_POLICY_HPP

#include "common/time.hpp"

#include <cstdint>
#include <string_view>

namespace hickorygap
{

// What the admission of a request depends on.
struct admission_query
{
    // Ranks between the most urgent requests of the service and this one; zero
    // for the most urgent.
    std::uint32_t rank_below_first = 0;

    // Empty for a caller without an organisation.
    std::string_view organisation;

    // Mean over the engines of the service: requests in flight, and requests
    // processed at the same time.
    double mean_load = 0;
    double slots = 0;

    // Expected time in a slot of an engine, of this request and of the mean
    // request to the service; zero if unknown.
    duration work{0};
    duration mean_work{0};

    // Time until the caller gives up, and until the latency objective.
    duration time_left = duration::max();
    duration objective_left = duration::max();
};

enum class admission_decision
{
    admitted,

    // There is too little room now.
    refused,

    // Would not be served before the caller gives up.
    hopeless
};

// Decides whether a request may be sent to an engine.
class admission_policy
{
public:
    admission_policy() = default;
    admission_policy(const admission_policy&) = delete;
    admission_policy& operator=(const admission_policy&) = delete;
    virtual ~admission_policy() = default;

    // Counts an arriving request and decides about it.
    virtual admission_decision
    decide(const admission_query& query, time_point now) = 0;

    bool admits(const admission_query& query, time_point now)
    {
        return decide(query, now) == admission_decision::admitted;
    }
};

} // namespace hickorygap

#endif
