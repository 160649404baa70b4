#include "process/control/quarantine_exchange.hpp"

#include "common/logging.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

wire::suspect_report_msg make_report(const suspect_notice& notice)
{
    wire::suspect_report_msg report;
    report.fingerprint = notice.fingerprint;
    report.backend_server = notice.backend_server;
    report.crashed_unix_ms = notice.crashed;
    report.confirmed = notice.confirmed;
    return report;
}

} // namespace

quarantine_exchange::quarantine_exchange(
    instance_id self, shared_blame_tracker& tracker)
    : self_(self)
    , tracker_(tracker)
{
}

void quarantine_exchange::receive(
    const wire::payloadUnion& payload, const clock_reading& now)
{
    const auto* report = message_in<wire::suspect_report_msg>(payload);
    if (report == nullptr)
    {
        return;
    }
    const suspect_notice notice{
        report->fingerprint, report->backend_server, report->crashed_unix_ms,
        report->confirmed};
    tracker_.with([&](blame_tracker& blame)
                  { blame.merge(notice, now.unix_time); });
}

void quarantine_exchange::tick(
    membership& members, std::span<const instance_id> live,
    const clock_reading& now)
{
    report_crashes(live);
    exchange_quarantines(members, now);
}

void quarantine_exchange::report_crashes(std::span<const instance_id> live)
{
    const auto notices = tracker_.with(
        [](blame_tracker& blame) { return blame.take_suspect_reports(); });
    for (const suspect_notice& notice : notices)
    {
        log(log_level::warning, subsystem::attempt,
            "backend_server_crashed backend_server={:016x} "
            "fingerprint={:016x} isolated={}",
            notice.backend_server, notice.fingerprint, notice.confirmed);
        for (const instance_id member : live)
        {
            if (member != self_)
            {
                outgoing_.push_back(make_outgoing(member, make_report(notice)));
            }
        }
    }
}

void quarantine_exchange::exchange_quarantines(
    membership& members, const clock_reading& now)
{
    const auto own = tracker_.with(
        [&](blame_tracker& blame) { return blame.quarantines(now.unix_time); });
    for (const quarantine& entry : own)
    {
        log_quarantine(entry);
        members.add_quarantine(entry.fingerprint, entry.until);
    }
    for (const auto& entry : members.quarantines(now.unix_time))
    {
        const quarantine known{entry.fingerprint, entry.until_unix_ms};
        tracker_.with([&](blame_tracker& blame)
                      { blame.merge(known, now.unix_time); });
    }
}

// Logs each quarantine once.
void quarantine_exchange::log_quarantine(const quarantine& entry)
{
    // Bounds the memory. After a reset a quarantine may be logged twice.
    constexpr std::size_t max_logged_quarantines = 4096;
    if (logged_until_.size() > max_logged_quarantines)
    {
        logged_until_.clear();
    }
    unix_millis& logged_until = logged_until_[entry.fingerprint];
    if (logged_until != entry.until)
    {
        logged_until = entry.until;
        log(log_level::warning, subsystem::attempt,
            "request_quarantined fingerprint={:016x} until={}",
            entry.fingerprint, format_utc(entry.until));
    }
}

std::vector<outgoing_message> quarantine_exchange::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

} // namespace hickorygap
