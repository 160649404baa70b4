#include "process/fleet_process/crash_messages.hpp"

#include <algorithm>
#include <limits>
#include <memory>
#include <span>

namespace hickorygap
{

namespace
{

std::uint32_t saturate_to_uint32(unix_millis value)
{
    return static_cast<std::uint32_t>(std::min<unix_millis>(
        value, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t milliseconds_ago(unix_millis time, unix_millis now)
{
    return saturate_to_uint32(now - std::min(now, time));
}

unix_millis time_before(unix_millis now, std::uint32_t ago_ms)
{
    return now - std::min<unix_millis>(now, ago_ms);
}

template <typename Message, typename Entry, typename Convert>
void append(
    std::vector<std::unique_ptr<Message>>& messages,
    std::span<const Entry> entries, const Convert& convert)
{
    for (const Entry& entry : entries)
    {
        messages.push_back(std::make_unique<Message>(convert(entry)));
    }
}

} // namespace

std::optional<wire::blame_report_msg>
encode_report(const crash_report& report, unix_millis now)
{
    wire::blame_report_msg message;
    append(
        message.suspects, std::span{report.suspects},
        [&](const suspect_notice& notice)
        {
            wire::crash_suspect_msg entry;
            entry.fingerprint = notice.fingerprint;
            entry.backend_server = notice.backend_server;
            entry.ago_ms = milliseconds_ago(notice.crashed, now);
            entry.midway = notice.midway;
            return entry;
        });
    append(
        message.quarantines, std::span{report.quarantines},
        [&](const quarantine& known)
        {
            wire::quarantine_left_msg entry;
            entry.fingerprint = known.fingerprint;
            entry.left_ms = saturate_to_uint32(known.until - now);
            return entry;
        });
    append(
        message.part_suspects, std::span{report.part_crashes},
        [&](const part_crash& crash)
        {
            wire::part_suspect_msg entry;
            entry.fingerprint = crash.fingerprint;
            entry.backend_server = crash.backend_server;
            entry.sent_ago_ms = milliseconds_ago(crash.sent, now);
            entry.ago_ms = milliseconds_ago(crash.crashed, now);
            entry.parts = crash.parts;
            return entry;
        });
    append(
        message.parts_answered, std::span{report.answers},
        [&](const answered_part& answer)
        {
            wire::part_answered_msg entry;
            entry.part = answer.part;
            entry.ago_ms = milliseconds_ago(answer.began, now);
            return entry;
        });
    message.trials = report.trials;
    const bool is_empty =
        message.suspects.empty() && message.quarantines.empty() &&
        message.part_suspects.empty() && message.parts_answered.empty() &&
        message.trials.empty();
    if (is_empty)
    {
        return std::nullopt;
    }
    return message;
}

crash_report
decode_report(const wire::blame_report_msg& message, unix_millis now)
{
    crash_report report;
    for (const auto& entry : message.suspects)
    {
        suspect_notice& notice = report.suspects.emplace_back();
        notice.fingerprint = entry->fingerprint;
        notice.backend_server = entry->backend_server;
        notice.crashed = time_before(now, entry->ago_ms);
        notice.midway = entry->midway;
    }
    for (const auto& entry : message.quarantines)
    {
        report.quarantines.push_back(
            {entry->fingerprint, now + entry->left_ms});
    }
    for (const auto& entry : message.part_suspects)
    {
        report.part_crashes.push_back(
            {entry->fingerprint, entry->backend_server,
             time_before(now, entry->sent_ago_ms),
             time_before(now, entry->ago_ms), entry->parts});
    }
    for (const auto& entry : message.parts_answered)
    {
        report.answers.push_back(
            {entry->part, time_before(now, entry->ago_ms)});
    }
    report.trials = message.trials;
    return report;
}

} // namespace hickorygap
