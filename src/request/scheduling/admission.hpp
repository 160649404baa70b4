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

// A waiting request that is to be refused, and when it pays to come back.
struct hopeless_request
{
    queued_request item;
    duration retry_after{0};
};

// Decides which waiting requests can still meet their rank's target, from the
// work ahead of them in the queue and the measured service rate.
class admission
{
public:
    // The arguments must outlive this object.
    admission(
        const rank_queue& queue, const service_rate& rate,
        const backlog_tracker& backlogs)
        : queue_(queue)
        , rate_(rate)
        , backlogs_(backlogs)
    {
    }

    // Expected wait of a request that is in the queue.
    duration predicted_wait(const request_key& key, time_point now) const;

    // Judges a request that was just queued: nullopt when it can meet its
    // target, otherwise the time after which it pays to come back.
    std::optional<duration>
    refuse_new(const queued_request& item, time_point now) const;

    // Requests that can't meet their target any more, in service order. The
    // work ahead of a request leaves out those that are hopeless themselves.
    std::vector<hopeless_request> find_hopeless(time_point now) const;

    // When it pays to come back for a request that can't be served now.
    static duration retry_after(duration excess);

private:
    // Tokens per second that are left for the rank.
    double available_rate(rank request_rank, time_point now) const;
    duration
    wait_for_cost(rank request_rank, double cost_ahead, time_point now) const;

    // Wait of a request behind the organisation's own cost, by the rate at
    // which its backlog was served lately; zero when it has no backlog.
    duration wait_behind_own(
        rank request_rank, organisation_id organisation, double own_cost_ahead,
        time_point now) const;

    // Longest useful wait for a slot from now; negative when it is too late.
    duration budget(const queued_request& item, time_point now) const;

    const rank_queue& queue_;
    const service_rate& rate_;
    const backlog_tracker& backlogs_;
};

} // namespace hickorygap

#endif
