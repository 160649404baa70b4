#include "process/fleet_process/fleet_crash_tracker.hpp"

#include "common/logging.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace hickorygap
{

namespace
{

// Limit for the entries of each kind in one report; of more the newest are
// sent. Such requests are rare, and a server that crashes holds some hundred
// requests at most.
constexpr std::size_t max_entries_per_kind = 512;

// The same in reports that go to all routers: in a fleet of 200 routers, 512
// entries would take the link of the leader for seconds.
constexpr std::size_t max_broadcast_entries = 64;

// The remaining time of a quarantine that comes back through other instances is
// off by the time in transit. A later end within this tolerance is not new.
constexpr unix_millis quarantine_tolerance_ms = 2000;

// How long routers are told of an answer that has cleared a part; a frozen
// router may miss the first reports.
constexpr unix_millis cleared_report_time_ms = 15'000;

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

template <typename Entry>
std::span<const Entry>
newest(std::span<const Entry> entries, std::size_t max_entries)
{
    return entries.last(std::min(entries.size(), max_entries));
}

void add_suspects(
    wire::blame_report_msg& report, std::span<const suspect_notice> notices,
    unix_millis now, std::size_t max_entries = max_entries_per_kind)
{
    for (const suspect_notice& notice : newest(notices, max_entries))
    {
        wire::crash_suspect_msg entry;
        entry.fingerprint = notice.fingerprint;
        entry.backend_server = notice.backend_server;
        entry.ago_ms = milliseconds_ago(notice.crashed, now);
        entry.midway = notice.midway;
        report.suspects.push_back(
            std::make_unique<wire::crash_suspect_msg>(entry));
    }
}

// entries: the one that ends last first.
void add_quarantines(
    wire::blame_report_msg& report, std::span<const quarantine> entries,
    unix_millis now, std::size_t max_entries = max_entries_per_kind)
{
    for (const quarantine& known :
         entries.first(std::min(entries.size(), max_entries)))
    {
        wire::quarantine_left_msg entry;
        entry.fingerprint = known.fingerprint;
        entry.left_ms = saturate_to_uint32(known.until - now);
        report.quarantines.push_back(
            std::make_unique<wire::quarantine_left_msg>(entry));
    }
}

void add_part_suspects(
    wire::blame_report_msg& report, std::span<const part_crash> crashes,
    unix_millis now, std::size_t max_entries = max_entries_per_kind)
{
    for (const part_crash& crash : newest(crashes, max_entries))
    {
        wire::part_suspect_msg entry;
        entry.fingerprint = crash.fingerprint;
        entry.backend_server = crash.backend_server;
        entry.sent_ago_ms = milliseconds_ago(crash.sent, now);
        entry.ago_ms = milliseconds_ago(crash.crashed, now);
        entry.parts = crash.parts;
        report.part_suspects.push_back(
            std::make_unique<wire::part_suspect_msg>(entry));
    }
}

void add_answers(
    wire::blame_report_msg& report, std::span<const answered_part> answers,
    unix_millis now, std::size_t max_entries = max_entries_per_kind)
{
    for (const answered_part& answer : newest(answers, max_entries))
    {
        wire::part_answered_msg entry;
        entry.part = answer.part;
        entry.ago_ms = milliseconds_ago(answer.began, now);
        report.parts_answered.push_back(
            std::make_unique<wire::part_answered_msg>(entry));
    }
}

// nullopt when there is nothing to report.
std::optional<wire::blame_report_msg>
unless_empty(wire::blame_report_msg report)
{
    if (report.suspects.empty() && report.quarantines.empty() &&
        report.part_suspects.empty() && report.parts_answered.empty() &&
        report.trials.empty())
    {
        return std::nullopt;
    }
    return report;
}

// Appends, and removes the oldest entry when there is no room.
template <typename Entry>
void push_bounded(std::vector<Entry>& entries, Entry entry)
{
    if (entries.size() >= max_entries_per_kind)
    {
        entries.erase(entries.begin());
    }
    entries.push_back(std::move(entry));
}

template <typename Entry>
void push_unique(std::vector<Entry>& entries, const Entry& entry)
{
    if (std::ranges::find(entries, entry) == entries.end())
    {
        push_bounded(entries, entry);
    }
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

void fleet_crash_tracker::on_crash(
    const suspect_notice& notice, const suspected_prompt& prompt,
    time_point now)
{
    const unix_millis time = tracker_time(now);
    const bool was_known = tracker_.is_quarantined(notice.fingerprint, time);
    tracker_.on_crash(notice, time);
    if (!was_known && tracker_.is_quarantined(notice.fingerprint, time))
    {
        log_quarantine(notice.fingerprint, "own_crashes");
    }
    if (prompt.parts.empty())
    {
        return;
    }
    const part_crash crash{
        notice.fingerprint, notice.backend_server, tracker_time(prompt.sent),
        notice.crashed, prompt.parts};
    add_part_crash(crash, time, "own_crashes");
    push_bounded(new_part_crashes_, crash);
}

void fleet_crash_tracker::on_completed(request_fingerprint fingerprint)
{
    tracker_.on_completed(fingerprint);
}

void fleet_crash_tracker::on_answered(
    std::span<const prompt_part_id> parts, time_point began)
{
    for (const prompt_part_id part : parts)
    {
        const answered_part answer{part, tracker_time(began)};
        if (add_answer(answer))
        {
            push_bounded(new_answers_, answer);
        }
    }
}

std::optional<duration> fleet_crash_tracker::quarantine_left(
    request_fingerprint fingerprint, std::span<const prompt_part_id> parts,
    time_point now)
{
    const unix_millis time = tracker_time(now);
    const unix_millis until = std::max(
        tracker_.quarantined_until(fingerprint),
        parts_.check_request(parts, time).value_or(0));
    if (until <= time)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds{until - time};
}

bool fleet_crash_tracker::has_news() const
{
    return !new_part_crashes_.empty() || !new_answers_.empty();
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::take_report(time_point now)
{
    const unix_millis time = tracker_time(now);
    wire::blame_report_msg report;
    add_suspects(report, tracker_.take_suspect_reports(), time);
    const auto crashes = std::exchange(new_part_crashes_, {});
    add_part_suspects(report, crashes, time);
    auto answers = std::exchange(new_answers_, {});
    for (const part_crash& crash : crashes)
    {
        // Other routers may have reported earlier crashes with these parts.
        std::ranges::copy(
            parts_.answers_to(crash.parts), std::back_inserter(answers));
    }
    add_answers(report, answers, time);
    return unless_empty(std::move(report));
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::full_report(time_point now) const
{
    const unix_millis time = tracker_time(now);
    wire::blame_report_msg report;
    add_suspects(report, tracker_.suspects(time), time);
    add_quarantines(report, tracker_.quarantines(time), time);
    add_part_suspects(report, parts_.crashes(), time);
    add_answers(report, cleared_, time);
    return unless_empty(std::move(report));
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::router_report(time_point now) const
{
    const unix_millis time = tracker_time(now);
    wire::blame_report_msg report;
    add_suspects(
        report, tracker_.repeated_crashes(time), time, max_broadcast_entries);
    add_quarantines(
        report, tracker_.quarantines(time), time, max_broadcast_entries);
    for (const prompt_part_id part : parts_.quarantined())
    {
        add_part_suspects(report, parts_.proof_against(part), time);
    }
    std::vector<answered_part> cleared;
    std::ranges::copy_if(
        cleared_, std::back_inserter(cleared),
        [&](const answered_part& answer)
        { return answer.began + cleared_report_time_ms > time; });
    add_answers(report, cleared, time, max_broadcast_entries);
    return unless_empty(std::move(report));
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::take_router_news(time_point now)
{
    const unix_millis time = tracker_time(now);
    const auto changed = std::exchange(changed_requests_, {});
    const auto is_unchanged = [&](const auto& entry)
    { return std::ranges::find(changed, entry.fingerprint) == changed.end(); };
    wire::blame_report_msg news;
    auto suspects = tracker_.repeated_crashes(time);
    std::erase_if(suspects, is_unchanged);
    add_suspects(news, suspects, time, max_broadcast_entries);
    auto quarantines = tracker_.quarantines(time);
    std::erase_if(quarantines, is_unchanged);
    add_quarantines(news, quarantines, time, max_broadcast_entries);
    for (const prompt_part_id part : std::exchange(changed_parts_, {}))
    {
        if (parts_.is_quarantined(part))
        {
            add_part_suspects(news, parts_.proof_against(part), time);
        }
    }
    add_answers(
        news, std::exchange(newly_cleared_, {}), time, max_broadcast_entries);
    return unless_empty(std::move(news));
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::take_trials(time_point now)
{
    wire::blame_report_msg report;
    report.trials = parts_.take_due_trials(tracker_time(now));
    return unless_empty(std::move(report));
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
    const std::uint64_t news_before = router_news_;
    merge_requests(report, time);
    merge_parts(report, time);
    for (const prompt_part_id part : report.trials)
    {
        log(log_level::info, subsystem::attempt,
            "part_trial_permitted part={:x}", part);
        parts_.permit_trial(part, time);
    }
    return router_news_ > news_before;
}

void fleet_crash_tracker::on_request_news(request_fingerprint fingerprint)
{
    ++router_news_;
    push_unique(changed_requests_, fingerprint);
}

void fleet_crash_tracker::merge_requests(
    const wire::blame_report_msg& report, unix_millis now)
{
    for (const auto& entry : report.suspects)
    {
        const request_fingerprint fingerprint = entry->fingerprint;
        const bool was_known = tracker_.is_quarantined(fingerprint, now);
        suspect_notice notice;
        notice.fingerprint = fingerprint;
        notice.backend_server = entry->backend_server;
        notice.crashed = time_before(now, entry->ago_ms);
        notice.midway = entry->midway;
        if (tracker_.merge(notice, now) && tracker_.crashes(fingerprint) > 1)
        {
            on_request_news(fingerprint);
        }
        if (!was_known && tracker_.is_quarantined(fingerprint, now))
        {
            log_quarantine(fingerprint, "fleet");
        }
    }
    for (const auto& entry : report.quarantines)
    {
        const unix_millis until = now + entry->left_ms;
        if (tracker_.quarantined_until(entry->fingerprint) +
                quarantine_tolerance_ms <
            until)
        {
            tracker_.merge(quarantine{entry->fingerprint, until}, now);
            log_quarantine(entry->fingerprint, "fleet");
            on_request_news(entry->fingerprint);
        }
    }
}

void fleet_crash_tracker::merge_parts(
    const wire::blame_report_msg& report, unix_millis now)
{
    for (const auto& entry : report.parts_answered)
    {
        add_answer({entry->part, time_before(now, entry->ago_ms)});
    }
    for (const auto& entry : report.part_suspects)
    {
        const part_crash crash{
            entry->fingerprint, entry->backend_server,
            time_before(now, entry->sent_ago_ms),
            time_before(now, entry->ago_ms), entry->parts};
        // The sender does not know of these answers.
        for (const answered_part& answer : parts_.answers_to(crash.parts))
        {
            if (answer.began > crash.crashed)
            {
                push_bounded(new_answers_, answer);
            }
        }
        add_part_crash(crash, now, "fleet");
    }
}

void fleet_crash_tracker::add_part_crash(
    const part_crash& crash, unix_millis now, std::string_view source)
{
    std::vector<prompt_part_id> allowed;
    std::ranges::copy_if(
        crash.parts, std::back_inserter(allowed),
        [&](prompt_part_id part) { return !parts_.is_quarantined(part); });
    if (!parts_.add(crash, now))
    {
        return;
    }
    for (const prompt_part_id part : crash.parts)
    {
        if (parts_.is_quarantined(part))
        {
            ++router_news_;
            push_unique(changed_parts_, part);
        }
    }
    for (const prompt_part_id part : allowed)
    {
        if (parts_.is_quarantined(part))
        {
            log(log_level::warning, subsystem::attempt,
                "part_quarantined part={:x} source={}", part, source);
        }
    }
}

bool fleet_crash_tracker::add_answer(const answered_part& answer)
{
    const bool was_quarantined = parts_.is_quarantined(answer.part);
    const bool is_cleared = parts_.add(answer);
    if (is_cleared)
    {
        push_bounded(cleared_, answer);
    }
    if (is_cleared && was_quarantined)
    {
        // Routers know only of quarantined parts.
        ++router_news_;
        push_bounded(newly_cleared_, answer);
    }
    if (was_quarantined && !parts_.is_quarantined(answer.part))
    {
        log(log_level::warning, subsystem::attempt,
            "part_quarantine_ended part={:x}", answer.part);
    }
    return is_cleared;
}

} // namespace hickorygap
