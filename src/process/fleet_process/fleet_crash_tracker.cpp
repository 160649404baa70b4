#include "process/fleet_process/fleet_crash_tracker.hpp"

#include "common/logging.hpp"

#include <algorithm>
#include <limits>

namespace hickorygap
{

namespace
{

// Limit for the suspects and for the quarantines in one report; of more
// suspects the newest are sent. Such requests are rare, and a server that
// crashes holds some hundred requests at most.
constexpr std::size_t max_entries_per_kind = 512;

// The remaining time of a quarantine that comes back through other instances is
// off by the time in transit. A later end within this tolerance is not new.
constexpr unix_millis quarantine_tolerance_ms = 2000;

std::uint32_t saturate_to_uint32(unix_millis value)
{
    return static_cast<std::uint32_t>(std::min<unix_millis>(
        value, std::numeric_limits<std::uint32_t>::max()));
}

void add_suspects(
    wire::blame_report_msg& report, std::span<const suspect_notice> notices,
    unix_millis now)
{
    if (notices.size() > max_entries_per_kind)
    {
        notices = notices.last(max_entries_per_kind);
    }
    for (const suspect_notice& notice : notices)
    {
        wire::crash_suspect_msg entry;
        entry.fingerprint = notice.fingerprint;
        entry.backend_server = notice.backend_server;
        entry.ago_ms = saturate_to_uint32(now - std::min(now, notice.crashed));
        entry.midway = notice.midway;
        report.suspects.push_back(
            std::make_unique<wire::crash_suspect_msg>(entry));
    }
}

void add_quarantines(
    wire::blame_report_msg& report, std::span<const quarantine> entries,
    unix_millis now)
{
    for (const quarantine& known :
         entries.first(std::min(entries.size(), max_entries_per_kind)))
    {
        wire::quarantine_left_msg entry;
        entry.fingerprint = known.fingerprint;
        entry.left_ms = saturate_to_uint32(known.until - now);
        report.quarantines.push_back(
            std::make_unique<wire::quarantine_left_msg>(entry));
    }
}

// nullopt when there is nothing to report.
std::optional<wire::blame_report_msg> make_report(
    std::span<const suspect_notice> suspects,
    std::span<const quarantine> quarantines, unix_millis now)
{
    wire::blame_report_msg report;
    add_suspects(report, suspects, now);
    add_quarantines(report, quarantines, now);
    if (report.suspects.empty() && report.quarantines.empty())
    {
        return std::nullopt;
    }
    return report;
}

void log_quarantine(request_fingerprint fingerprint, std::string_view source)
{
    log(log_level::warning, subsystem::attempt,
        "request_quarantined fingerprint={:016x} source={}", fingerprint,
        source);
}

} // namespace

unix_millis tracker_time(time_point now)
{
    return static_cast<unix_millis>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now.since_start)
            .count());
}

void fleet_crash_tracker::on_crash(const suspect_notice& notice, time_point now)
{
    const unix_millis time = tracker_time(now);
    const bool was_known = tracker_.is_quarantined(notice.fingerprint, time);
    tracker_.on_crash(notice, time);
    if (!was_known && tracker_.is_quarantined(notice.fingerprint, time))
    {
        log_quarantine(notice.fingerprint, "own_crashes");
    }
}

void fleet_crash_tracker::on_completed(request_fingerprint fingerprint)
{
    tracker_.on_completed(fingerprint);
}

std::optional<duration> fleet_crash_tracker::quarantine_left(
    request_fingerprint fingerprint, time_point now) const
{
    const unix_millis time = tracker_time(now);
    const unix_millis until = tracker_.quarantined_until(fingerprint);
    if (until <= time)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds{until - time};
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::take_report(time_point now)
{
    return make_report(tracker_.take_suspect_reports(), {}, tracker_time(now));
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::full_report(time_point now) const
{
    const unix_millis time = tracker_time(now);
    return make_report(
        tracker_.suspects(time), tracker_.quarantines(time), time);
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::router_report(time_point now) const
{
    const unix_millis time = tracker_time(now);
    return make_report(
        tracker_.repeated_crashes(time), tracker_.quarantines(time), time);
}

bool fleet_crash_tracker::is_suspect(
    request_fingerprint fingerprint, time_point now) const
{
    return tracker_.must_isolate(fingerprint, tracker_time(now));
}

bool fleet_crash_tracker::receive(
    const wire::blame_report_msg& report, time_point now)
{
    const unix_millis time = tracker_time(now);
    const std::size_t repeated_before = tracker_.repeated_crashes(time).size();
    bool has_new_quarantine = false;
    const auto on_new_quarantine = [&](request_fingerprint fingerprint)
    {
        log_quarantine(fingerprint, "fleet");
        has_new_quarantine = true;
    };
    for (const auto& entry : report.suspects)
    {
        const bool was_known =
            tracker_.is_quarantined(entry->fingerprint, time);
        suspect_notice notice;
        notice.fingerprint = entry->fingerprint;
        notice.backend_server = entry->backend_server;
        notice.crashed = time - std::min<unix_millis>(time, entry->ago_ms);
        notice.midway = entry->midway;
        tracker_.merge(notice, time);
        if (!was_known && tracker_.is_quarantined(entry->fingerprint, time))
        {
            on_new_quarantine(entry->fingerprint);
        }
    }
    for (const auto& entry : report.quarantines)
    {
        const unix_millis until = time + entry->left_ms;
        if (tracker_.quarantined_until(entry->fingerprint) +
                quarantine_tolerance_ms <
            until)
        {
            tracker_.merge(quarantine{entry->fingerprint, until}, time);
            on_new_quarantine(entry->fingerprint);
        }
    }
    return has_new_quarantine ||
           tracker_.repeated_crashes(time).size() > repeated_before;
}

} // namespace hickorygap
