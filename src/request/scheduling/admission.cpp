#include "request/scheduling/admission.hpp"

#include <algorithm>
#include <map>

namespace hickorygap
{

namespace
{

// A new request is taken in only when the predicted wait leaves this share of
// its time unused, so that errors of the prediction don't turn accepted
// requests into late ones.
constexpr double new_request_margin = 0.75;

// Least share of the service rate that a rank is assumed to get when higher
// ranks use up everything; avoids a division by zero.
constexpr double least_share = 0.01;

constexpr duration shortest_retry_after{std::chrono::seconds{1}};
constexpr duration longest_retry_after{std::chrono::seconds{120}};

duration seconds(double value)
{
    constexpr double limit = 3600.0;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(value, limit)));
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
        std::max(queue_.floor_of(request_rank), least_share) * total;
    return std::max(left, kept);
}

duration admission::wait_for_cost(
    rank request_rank, double cost_ahead, time_point now) const
{
    double higher = 0.0;
    for (std::size_t number = 0;
         number < static_cast<std::size_t>(request_rank); ++number)
    {
        higher += queue_.waiting_cost(rank{static_cast<std::uint8_t>(number)});
    }
    const double total = queue_.slots() * rate_.cost_per_slot_second();
    const double with_higher = (higher + cost_ahead + rate_.mean_cost()) /
                               available_rate(request_rank, now);
    const double floor = queue_.floor_of(request_rank) * total;
    if (floor <= 0.0)
    {
        return seconds(with_higher);
    }
    // A floor is served beside higher ranks, not after them.
    return seconds(
        std::min(with_higher, (cost_ahead + rate_.mean_cost()) / floor));
}

duration admission::wait_behind_own(
    rank request_rank, organisation_id organisation, double own_cost_ahead,
    time_point now) const
{
    if (!backlogs_.is_backlogged(request_rank, organisation))
    {
        return duration{0};
    }
    const double rate =
        backlogs_.started_cost_per_second(request_rank, organisation, now);
    return rate > 0.0 ? seconds(own_cost_ahead / rate) : duration{0};
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

duration admission::budget(const queued_request& item, time_point now) const
{
    const time_point latest = std::min(item.first_byte_due, item.deadline);
    return latest - now - rate_.first_byte_estimate();
}

std::optional<duration>
admission::refuse_new(const queued_request& item, time_point now) const
{
    const duration allowed = std::chrono::duration_cast<duration>(
        budget(item, now) * new_request_margin);
    const duration wait = std::max(
        wait_for_cost(item.request_rank, queue_.cost_ahead(item.key), now),
        wait_behind_own(
            item.request_rank, item.organisation,
            queue_.own_cost_ahead(item.key), now));
    if (wait <= allowed)
    {
        return std::nullopt;
    }
    return retry_after(wait - std::max(allowed, duration{0}));
}

std::vector<hopeless_request> admission::find_hopeless(time_point now) const
{
    std::vector<hopeless_request> result;
    for (std::size_t number = 0; number < rank_count; ++number)
    {
        const rank candidate{static_cast<std::uint8_t>(number)};
        double ahead = 0.0;
        std::map<organisation_id, double> own_ahead;
        for (const queued_request& item : queue_.in_service_order(candidate))
        {
            // The request's own cost is not ahead of it, and the mean cost
            // that wait_for_cost adds for the next free slot does not grow
            // with the wait.
            const duration wait = std::max(
                wait_for_cost(candidate, ahead, now),
                wait_behind_own(
                    candidate, item.organisation, own_ahead[item.organisation],
                    now));
            const duration left = budget(item, now);
            if (wait > left)
            {
                result.push_back(
                    {item, retry_after(wait - std::max(left, duration{0}))});
            }
            else
            {
                ahead += item.cost;
                own_ahead[item.organisation] += item.cost;
            }
        }
    }
    return result;
}

// After `excess` the work ahead has shrunk so far that the same request would
// just meet its target.
duration admission::retry_after(duration excess)
{
    return std::clamp(excess, shortest_retry_after, longest_retry_after);
}

} // namespace hickorygap
