#ifndef HICKORYGAP_REQUEST_SCHEDULING_ADMISSION_HPP
#define HICKORYGAP_REQUEST_SCHEDULING_ADMISSION_HPP

#include "common/time.hpp"
#include "request/scheduling/backlog_tracker.hpp"
#include "request/scheduling/rank_queue.hpp"
#include "request/scheduling/service_rate.hpp"

#include <optional>
#include <vector>

namespace hickorygap
{

// A waiting request that can no longer meet its target and is to be refused,
// with the Retry-After for its caller.
struct infeasible_request
{
    queued_request item;
    duration retry_after{0};
};

// Admission control: decides which waiting requests can still meet the latency
// target of their rank, from the cost ahead of them in the queue and the
// measured service rate.
class admission
{
public:
    // The queue, the rate and the backlogs must outlive this object.
    admission(
        const rank_queue& queue, const service_rate& rate,
        const backlog_tracker& backlogs)
        : queue_(queue)
        , rate_(rate)
        , backlogs_(backlogs)
    {
    }

    // Expected wait of a queued request; zero when it is not in the queue.
    duration predicted_wait(const request_key& key, time_point now) const;

    // Returns nullopt when a request that was just queued can meet its target,
    // otherwise its Retry-After.
    std::optional<duration>
    refuse_new(const queued_request& item, time_point now) const;

    // Queued requests that can no longer meet their target, in service order.
    // The cost ahead of a request leaves out other infeasible requests, because
    // these are refused.
    std::vector<infeasible_request> find_infeasible(time_point now) const;

    // Retry-After of a request whose predicted wait exceeds the allowed one by
    // the given time.
    static duration retry_after(duration excess);

private:
    // Service rate available to the rank, in tokens per second, after the
    // arrivals of higher ranks and the floors of lower ones.
    double available_rate(rank request_rank, time_point now) const;
    duration
    wait_for_cost(rank request_rank, double cost_ahead, time_point now) const;

    // Wait of a request behind the queued requests of its own organisation, at
    // the rate at which requests of the organisation were started recently.
    // Zero when the organisation has no backlog.
    duration wait_behind_own_requests(
        rank request_rank, organisation_id organisation, double own_cost_ahead,
        time_point now) const;

    // Longest wait for a slot, from now, with which the request still meets its
    // target and deadline; negative when it is too late.
    duration allowed_wait(const queued_request& item, time_point now) const;

    const rank_queue& queue_;
    const service_rate& rate_;
    const backlog_tracker& backlogs_;
};

} // namespace hickorygap

#endif
