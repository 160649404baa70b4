#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_FLEET_CRASH_TRACKER_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_FLEET_CRASH_TRACKER_HPP

#include "common/time.hpp"
#include "messages/codec.hpp"
#include "request/blame/blame_tracker.hpp"

#include <optional>
#include <span>

namespace hickorygap
{

// Tracks, in one process of the fleet, the requests that crash backend servers,
// and makes the reports that the processes exchange about them. Routers report
// crashes to the leader, which counts those of all routers and broadcasts to
// the routers which requests must not be sent any more.
//
// Needed because a caller may retry such a request through any router: if each
// router counted only the crashes that it sees, the request could crash as many
// servers through each of them. Routers are told only of requests with several
// crashes: when a server crashes with 60 requests in flight, one crash says
// nothing about the other 59. Has no clock of its own; all times are passed in.
class fleet_crash_tracker
{
public:
    fleet_crash_tracker() = default;

    // See blame_tracker.
    void on_crash(const suspect_notice& notice, time_point now);
    void on_completed(request_fingerprint fingerprint);

    // Remaining time of the request's quarantine; nothing when it may be sent.
    std::optional<duration>
    quarantine_left(request_fingerprint fingerprint, time_point now) const;

    // Report of the crashes seen here since the last call; nothing when there
    // are none.
    std::optional<wire::blame_report_msg> take_report(time_point now);

    // Report of all crashes seen here and all quarantines, for a new leader;
    // nothing when there are none.
    std::optional<wire::blame_report_msg> full_report(time_point now) const;

    // The leader's report for all routers: the quarantines, and the crashes of
    // requests that have several. Nothing when there are none.
    std::optional<wire::blame_report_msg> router_report(time_point now) const;

    // Whether a server has already crashed while it ran the request.
    bool is_suspect(request_fingerprint fingerprint, time_point now) const;

    // Merges a report of another process. True when that changes the result of
    // router_report.
    bool receive(const wire::blame_report_msg& report, time_point now);

private:
    blame_tracker tracker_;
};

// Converts a time of the monotonic clock, in milliseconds, for the tracker. The
// time of day is not used, because it may jump.
unix_millis tracker_time(time_point now);

} // namespace hickorygap

#endif
