#include "request/scheduling/admission.hpp"

#include <algorithm>
#include <map>

namespace hickorygap
{

namespace
{

// A new request is accepted only when its predicted wait is at most this share
// of the allowed wait, so that errors of the prediction do not make accepted
// requests late.
constexpr double new_request_wait_share = 0.75;

// Minimum share of the service rate that a rank is assumed to get when higher
// ranks use all of it; avoids a division by zero.
constexpr double min_rate_share = 0.01;

constexpr duration min_retry_after{std::chrono::seconds{1}};
constexpr duration max_retry_after{std::chrono::seconds{120}};

duration from_seconds(double value)
{
    constexpr double max_seconds = 3600.0;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(value, max_seconds)));
}

} // namespace

double admission::available_rate(rank request_rank, time_point now) const
{
    const double total = queue_.slots() * rate_.cost_per_slot_second();
    double left = total;
    for (std::size_t number = 0; number < rank_count; ++number)
    {
        const rank other{static_cast<std::uint8_t>(number)};
        if (other < request_rank)
        {
            left -= rate_.arriving_cost_per_second(other, now);
        }
        else if (other > request_rank && queue_.size(other) > 0)
        {
            left -= queue_.floor_of(other) * total;
        }
    }
    const double kept =
        std::max(queue_.floor_of(request_rank), min_rate_share) * total;
    return std::max(left, kept);
}

duration admission::wait_for_cost(
    rank request_rank, double cost_ahead, time_point now) const
{
    double higher_rank_cost = 0.0;
    for (std::size_t number = 0;
         number < static_cast<std::size_t>(request_rank); ++number)
    {
        higher_rank_cost +=
            queue_.waiting_cost(rank{static_cast<std::uint8_t>(number)});
    }
    const double total = queue_.slots() * rate_.cost_per_slot_second();
    const double with_higher =
        (higher_rank_cost + cost_ahead + rate_.mean_cost()) /
        available_rate(request_rank, now);
    const double floor = queue_.floor_of(request_rank) * total;
    if (floor <= 0.0)
    {
        return from_seconds(with_higher);
    }
    // The floor of a rank is served at the same time as higher ranks, not after
    // them.
    return from_seconds(
        std::min(with_higher, (cost_ahead + rate_.mean_cost()) / floor));
}

duration admission::wait_behind_own_requests(
    rank request_rank, organisation_id organisation, double own_cost_ahead,
    time_point now) const
{
    if (!backlogs_.is_backlogged(request_rank, organisation))
    {
        return duration{0};
    }
    const double rate =
        backlogs_.started_cost_per_second(request_rank, organisation, now);
    return rate > 0.0 ? from_seconds(own_cost_ahead / rate) : duration{0};
}

duration admission::predicted_wait(const request_key& key, time_point now) const
{
    const auto request_rank = queue_.rank_of(key);
    if (request_rank)
    {
        return wait_for_cost(*request_rank, queue_.cost_ahead(key), now);
    }
    return duration{0};
}

duration
admission::allowed_wait(const queued_request& item, time_point now) const
{
    const time_point latest = std::min(item.first_byte_due, item.deadline);
    return latest - now - rate_.first_byte_estimate();
}

std::optional<duration>
admission::refuse_new(const queued_request& item, time_point now) const
{
    const duration allowed = std::chrono::duration_cast<duration>(
        allowed_wait(item, now) * new_request_wait_share);
    const duration wait = std::max(
        wait_for_cost(item.request_rank, queue_.cost_ahead(item.key), now),
        wait_behind_own_requests(
            item.request_rank, item.organisation,
            queue_.own_cost_ahead(item.key), now));
    if (wait <= allowed)
    {
        return std::nullopt;
    }
    return retry_after(wait - std::max(allowed, duration{0}));
}

std::vector<infeasible_request> admission::find_infeasible(time_point now) const
{
    std::vector<infeasible_request> result;
    for (std::size_t number = 0; number < rank_count; ++number)
    {
        const rank candidate{static_cast<std::uint8_t>(number)};
        double ahead = 0.0;
        std::map<organisation_id, double> own_cost_ahead_of;
        for (const queued_request& item : queue_.in_service_order(candidate))
        {
            // The request's own cost is not ahead of it. wait_for_cost adds the
            // mean cost once, for the next free slot; it does not grow with the
            // wait.
            const duration wait = std::max(
                wait_for_cost(candidate, ahead, now),
                wait_behind_own_requests(
                    candidate, item.organisation,
                    own_cost_ahead_of[item.organisation], now));
            const duration left = allowed_wait(item, now);
            if (wait > left)
            {
                result.push_back(
                    {item, retry_after(wait - std::max(left, duration{0}))});
            }
            else
            {
                ahead += item.cost;
                own_cost_ahead_of[item.organisation] += item.cost;
            }
        }
    }
    return result;
}

// After `excess`, the work ahead has shrunk so far that the same request would
// just meet its target.
duration admission::retry_after(duration excess)
{
    return std::clamp(excess, min_retry_after, max_retry_after);
}

} // namespace hickorygap
