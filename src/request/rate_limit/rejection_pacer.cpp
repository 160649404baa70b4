#include "request/rate_limit/rejection_pacer.hpp"

#include <algorithm>
#include <cmath>

namespace hickorygap
{

namespace
{

// Slots that are assumed until the list tells them. Few servers have fewer.
constexpr double default_slots = 6;

// Largest share of the slots to aim for. The rest is for requests that are
// counted late and for those of routers without a leader.
constexpr double max_slot_share = 0.95;

// Time in which free slots are filled when requests take longer than that. Load
// counts are up to a second old.
constexpr double fill_time_s = 1.5;

// Half-life of the sums from which the time of a request is computed.
constexpr double time_half_life_s = 2.0;

// Completed requests from which on their mean time is used.
constexpr double min_completed = 3;

// Shortest time of a request that is assumed: loads are sampled, and requests
// that take less are rarely in flight at a report.
constexpr double min_request_s = 0.005;

// Share of the slots in flight that is assumed before the first load.
constexpr double unknown_load_share = 0.5;

constexpr duration rejection_window = std::chrono::seconds{1};

// From this share of the tolerated rejections on, the server gets no requests
// until they are out of the window. The other half is for requests that are on
// their way, and for routers without a leader.
constexpr double full_pause_share = 0.5;

// Pause after each single rejection: as long as a report takes to arrive, and
// many requests take to end.
constexpr duration short_pause = std::chrono::milliseconds{50};

// Share of the tolerated rejections in a second from which on the target is
// lowered, and factor by which it is, at most once per interval, because loads
// show the effect that late.
constexpr double caution_share = 0.25;
constexpr double caution_factor = 0.75;
constexpr double min_caution = 0.3;
constexpr duration caution_interval = std::chrono::milliseconds{500};

// Growth of the factor per second without rejections.
constexpr double caution_growth = 0.1;
constexpr double max_caution = 1.5;

// Requests that may be sent at the same moment, as a share of the slots.
constexpr double burst_slot_share = 0.125;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

rejection_pacer::rejection_pacer(double rejections_tolerated, time_point now)
    : tolerated_{rejections_tolerated}
    , slots_{default_slots}
    , raised_at_{now}
    , lowered_at_{now - caution_interval}
    , loads_at_{now}
    , paused_until_{now}
{
}

void rejection_pacer::set_slots(std::uint32_t slots)
{
    if (slots > 0)
    {
        slots_ = slots;
    }
}

void rejection_pacer::on_load(
    std::uint32_t in_flight, std::uint32_t completed, time_point now)
{
    const double age = seconds(now - loads_at_);
    const double decay = std::exp2(-age / time_half_life_s);
    in_flight_ = in_flight;
    busy_s_ = busy_s_ * decay + std::min(in_flight_, slots_) * age;
    completed_ = completed_ * decay + completed;
    has_load_ = true;
    loads_at_ = now;
    raise_caution(now);
}

// Raises the target slowly while nothing is rejected.
void rejection_pacer::raise_caution(time_point now)
{
    const double age = seconds(now - raised_at_);
    raised_at_ = now;
    if (rejected_lately(now) == 0)
    {
        caution_ = std::min(caution_ + caution_growth * age, max_caution);
    }
}

double rejection_pacer::rejected_lately(time_point now)
{
    while (!rejections_.empty() &&
           rejections_.front().at + rejection_window <= now)
    {
        rejections_.pop_front();
    }
    double sum = 0;
    for (const rejection& item : rejections_)
    {
        sum += item.requests;
    }
    return sum;
}

void rejection_pacer::on_rejected(std::uint32_t requests, time_point now)
{
    rejections_.push_back({now, requests});
    const double rejected = rejected_lately(now);
    const bool is_near_failure = rejected >= full_pause_share * tolerated_;
    const duration pause =
        is_near_failure ? rejection_window : short_pause * requests;
    paused_until_ = std::max(paused_until_, now + pause);
    if (rejected >= caution_share * tolerated_ &&
        now - lowered_at_ >= caution_interval)
    {
        caution_ = std::max(caution_ * caution_factor, min_caution);
        lowered_at_ = now;
    }
}

// Requests arrive at random, so a server with few slots needs a larger margin:
// a standard deviation of the requests in flight.
double rejection_pacer::target() const
{
    return std::min(
        (slots_ - std::sqrt(slots_)) * caution_, slots_ * max_slot_share);
}

double rejection_pacer::rate() const
{
    const double aim = target();
    const double in_flight =
        has_load_ ? in_flight_ : slots_ * unknown_load_share;
    const double fill_rate = std::max(aim - in_flight, 0.0) / fill_time_s;
    if (completed_ < min_completed)
    {
        return fill_rate;
    }
    const double request_s = std::max(busy_s_ / completed_, min_request_s);
    return std::max(
        fill_rate,
        aim / request_s * std::min(1.0, aim / std::max(in_flight, 1.0)));
}

double rejection_pacer::burst() const
{
    return std::max(slots_ * burst_slot_share, 1.0);
}

} // namespace hickorygap
