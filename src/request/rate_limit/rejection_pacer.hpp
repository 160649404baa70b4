#ifndef HICKORYGAP_REQUEST_RATE_LIMIT_REJECTION_PACER_HPP
#define HICKORYGAP_REQUEST_RATE_LIMIT_REJECTION_PACER_HPP

#include "common/time.hpp"

#include <cstdint>
#include <deque>

namespace hickorygap
{

// Paces the requests to a backend server that fails when it has to reject more
// requests in a second than it tolerates.
//
// The rate is the one at which the requests in flight fill the slots of the
// server but for a margin, by Little's law: the load reports of all routers
// tell the requests in flight and those completed, hence the time that one
// takes. The counts are up to a second old, so a server that holds too many
// requests already is not left to the counts alone: each rejection pauses the
// server, and at half of the tolerated number in a second it gets nothing for a
// second.
//
// The queue of the server is not used: it may shrink at any time.
//
// Has no clock of its own; all times are passed in.
class rejection_pacer
{
public:
    // rejections_tolerated: per second.
    rejection_pacer(double rejections_tolerated, time_point now);

    void set_tolerated(double rejections_per_second)
    {
        tolerated_ = rejections_per_second;
    }
    double tolerated() const
    {
        return tolerated_;
    }

    // Requests that the server processes at the same time; zero is ignored.
    void set_slots(std::uint32_t slots);

    // The sum of the load reports: requests in flight at the server, and
    // requests that it completed since the last call.
    void
    on_load(std::uint32_t in_flight, std::uint32_t completed, time_point now);

    void on_rejected(std::uint32_t requests, time_point now);

    // Requests per second that may be sent to the server.
    double rate() const;

    // Requests that may be sent at the same moment.
    double burst() const;

    // The server gets no requests before this time.
    time_point paused_until() const
    {
        return paused_until_;
    }

private:
    // Requests in flight to aim for.
    double target() const;
    double rejected_lately(time_point now);
    void raise_caution(time_point now);

    struct rejection
    {
        time_point at;
        std::uint32_t requests = 0;
    };

    double tolerated_;
    double slots_;

    // Factor of the target: lowered after rejections, raised while there are
    // none.
    double caution_ = 1;
    time_point raised_at_;
    time_point lowered_at_;

    // Exponentially decayed sums, as of loads_at_: seconds that slots were
    // taken, and requests that were completed.
    double busy_s_ = 0;
    double completed_ = 0;
    double in_flight_ = 0;
    bool has_load_ = false;
    time_point loads_at_;

    // In the last second, the oldest first.
    std::deque<rejection> rejections_;
    time_point paused_until_;
};

} // namespace hickorygap

#endif
