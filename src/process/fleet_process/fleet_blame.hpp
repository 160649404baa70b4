#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_FLEET_BLAME_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_FLEET_BLAME_HPP

#include "common/time.hpp"
#include "messages/codec.hpp"
#include "request/blame/blame_tracker.hpp"

#include <optional>
#include <span>

namespace hickorygap
{

// What one process of the fleet knows of requests that crash backend servers,
// and its exchange with the others. Routers report crashes to the leader, which
// counts those of all routers and tells all of them which requests must not be
// sent any more.
//
// Answers the pattern of a caller that sends such a request again through any
// router: a router that counts only what it sees lets the request crash as many
// servers as each other one does. Crashes are told to routers only of requests
// with several: one that ends with 60 requests in flight is no news about 59.
// Pure: all times are passed in.
class fleet_blame
{
public:
    fleet_blame() = default;

    // See blame_tracker.
    void on_crash(const suspect_notice& notice, time_point now);
    void on_completed(request_fingerprint fingerprint);

    // How much longer no server gets the request; nothing when it may be sent.
    std::optional<duration>
    quarantine_left(request_fingerprint fingerprint, time_point now) const;

    // What was seen here since the last call; nothing when that is empty.
    std::optional<wire::blame_report_msg> take_report(time_point now);

    // All crashes seen here and all quarantines, for a new leader; nothing
    // when there are none.
    std::optional<wire::blame_report_msg> full_report(time_point now) const;

    // For routers: the quarantines, and the crashes of requests that several
    // count against. Nothing when there are none.
    std::optional<wire::blame_report_msg> advice(time_point now) const;

    // Whether a server has crashed under the request already.
    bool is_suspect(request_fingerprint fingerprint, time_point now) const;

    // Takes over a report. True when it changes what routers are told.
    bool receive(const wire::blame_report_msg& report, time_point now);

private:
    blame_tracker tracker_;
};

// A time in the tracker's clock, which is that of the process's timers: the
// time of day may jump.
unix_millis tracker_time(time_point now);

} // namespace hickorygap

#endif
