#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_FLEET_CRASH_TRACKER_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_FLEET_CRASH_TRACKER_HPP

#include "common/time.hpp"
#include "messages/codec.hpp"
#include "process/fleet_process/crash_messages.hpp"
#include "request/blame/blame_tracker.hpp"
#include "request/blame/part_crash_tracker.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hickorygap
{

// The parts of a request's prompt that may have caused a crash, see part_crash;
// none when the answer had gone on for some time.
struct suspected_prompt
{
    std::vector<prompt_part_id> parts;
    time_point sent;
};

// Tracks, in one process of the fleet, the requests and the parts of prompts
// that crash backend servers, and chooses what the processes tell each other
// about them, see crash_report. Routers report crashes to the leader, which
// counts those of all routers and broadcasts what several crashes have in
// common. Each process derives from that what must not be sent any more.
//
// Needed because a caller may retry such a request, or send others with the
// same part, through any router: if each router counted only the crashes that
// it sees, as many servers could crash through each of them. Routers are told
// only of requests and parts with several crashes: when a server crashes with
// 60 requests in flight, one crash says nothing about the other 59. Has no
// clock of its own; all times are passed in.
class fleet_crash_tracker
{
public:
    fleet_crash_tracker() = default;

    // See blame_tracker.
    void on_crash(
        const suspect_notice& notice, const suspected_prompt& prompt,
        time_point now);
    void on_completed(request_fingerprint fingerprint);

    // A request with these parts got an answer that began then, and the server
    // survived it.
    void on_answered(std::span<const prompt_part_id> parts, time_point began);

    // Remaining time of the quarantine of the request or of its parts; nothing
    // when it may be sent. Uses up a trial that permits the request, see
    // part_crash_tracker.
    std::optional<duration> quarantine_left(
        request_fingerprint fingerprint, std::span<const prompt_part_id> parts,
        time_point now);

    // Whether take_report would return news.
    bool has_news() const;

    // Report of the crashes seen here since the last call, and of answers that
    // clear suspected parts; nothing when there are none.
    std::optional<wire::blame_report_msg> take_report(time_point now);

    // Report of all crashes and quarantines known here, for a new leader;
    // nothing when there are none.
    std::optional<wire::blame_report_msg> full_report(time_point now) const;

    // The leader's report for all routers: the quarantines of requests and
    // parts, the crashes of requests that have several, and the parts that were
    // cleared lately. Nothing when there are none.
    std::optional<wire::blame_report_msg> router_report(time_point now) const;

    // The part of router_report that changed since the last call.
    std::optional<wire::blame_report_msg> take_router_news(time_point now);

    // The leader's permit for one router to try quarantined parts again;
    // nothing when no trial is due.
    std::optional<wire::blame_report_msg> take_trials(time_point now);

    // Whether a server has already crashed while it ran the request.
    bool is_suspect(request_fingerprint fingerprint, time_point now) const;

    // Number of parts in quarantine.
    std::size_t quarantined_parts() const
    {
        return parts_.quarantined().size();
    }

    // Merges a report of another process. True when it contains news for the
    // routers.
    bool receive(const wire::blame_report_msg& message, time_point now);

private:
    // What routers are told, before its limits.
    struct router_news
    {
        std::vector<suspect_notice> suspects;
        std::vector<quarantine> quarantines;

        // Of these, routers get the proof against those in quarantine.
        std::vector<prompt_part_id> parts;
        std::vector<answered_part> cleared;
    };

    std::optional<wire::blame_report_msg>
    make_broadcast(router_news news, unix_millis now) const;
    void merge_requests(const crash_report& report, unix_millis now);
    void merge_parts(const crash_report& report, unix_millis now);
    void add_part_crash(
        const part_crash& crash, unix_millis now, std::string_view source);
    bool add_answer(const answered_part& answer);
    void on_request_news(request_fingerprint fingerprint);

    blame_tracker tracker_;
    part_crash_tracker parts_;

    // Crashes seen here and answers that clear parts, for the next report.
    std::vector<part_crash> new_part_crashes_;
    std::vector<answered_part> new_answers_;

    // Answers that have cleared parts, for the reports to routers, the newest
    // last.
    std::vector<answered_part> cleared_;

    // Number of changes that concern routers, and what changed since the last
    // take_router_news.
    std::uint64_t router_changes_ = 0;
    std::vector<request_fingerprint> changed_requests_;
    std::vector<prompt_part_id> changed_parts_;
    std::vector<answered_part> newly_cleared_;
};

// Converts a time of the monotonic clock, in milliseconds, for the tracker. The
// time of day is not used, because it may jump.
unix_millis tracker_time(time_point now);

} // namespace hickorygap

#endif
