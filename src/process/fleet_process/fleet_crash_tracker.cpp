#include "process/fleet_process/fleet_crash_tracker.hpp"

#include "common/logging.hpp"

#include <algorithm>
#include <iterator>
#include <span>
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

template <typename Entry>
std::vector<Entry>
newest(std::span<const Entry> entries, std::size_t max_entries)
{
    const auto last = entries.last(std::min(entries.size(), max_entries));
    return {last.begin(), last.end()};
}

// entries: the one that ends last first.
std::vector<quarantine>
longest(std::vector<quarantine> entries, std::size_t max_entries)
{
    entries.resize(std::min(entries.size(), max_entries));
    return entries;
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
    crash_report report;
    report.suspects = newest<suspect_notice>(
        tracker_.take_suspect_reports(), max_entries_per_kind);
    report.part_crashes = std::exchange(new_part_crashes_, {});
    auto answers = std::exchange(new_answers_, {});
    for (const part_crash& crash : report.part_crashes)
    {
        // Other routers may have reported earlier crashes with these parts.
        std::ranges::copy(
            parts_.answers_to(crash.parts), std::back_inserter(answers));
    }
    report.answers = newest<answered_part>(answers, max_entries_per_kind);
    return encode_report(report, tracker_time(now));
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::full_report(time_point now) const
{
    const unix_millis time = tracker_time(now);
    crash_report report;
    report.suspects =
        newest<suspect_notice>(tracker_.suspects(time), max_entries_per_kind);
    report.quarantines =
        longest(tracker_.quarantines(time), max_entries_per_kind);
    report.part_crashes = newest(parts_.crashes(), max_entries_per_kind);
    report.answers = cleared_;
    return encode_report(report, time);
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::router_report(time_point now) const
{
    const unix_millis time = tracker_time(now);
    router_news news;
    news.suspects = tracker_.repeated_crashes(time);
    news.quarantines = tracker_.quarantines(time);
    news.parts.assign(parts_.quarantined().begin(), parts_.quarantined().end());
    std::ranges::copy_if(
        cleared_, std::back_inserter(news.cleared),
        [&](const answered_part& answer)
        { return answer.began + cleared_report_time_ms > time; });
    return make_broadcast(std::move(news), time);
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::take_router_news(time_point now)
{
    const unix_millis time = tracker_time(now);
    const auto changed = std::exchange(changed_requests_, {});
    const auto is_unchanged = [&](const auto& entry)
    { return std::ranges::find(changed, entry.fingerprint) == changed.end(); };
    router_news news;
    news.suspects = tracker_.repeated_crashes(time);
    std::erase_if(news.suspects, is_unchanged);
    news.quarantines = tracker_.quarantines(time);
    std::erase_if(news.quarantines, is_unchanged);
    news.parts = std::exchange(changed_parts_, {});
    news.cleared = std::exchange(newly_cleared_, {});
    return make_broadcast(std::move(news), time);
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::make_broadcast(router_news news, unix_millis now) const
{
    crash_report report;
    report.suspects =
        newest<suspect_notice>(news.suspects, max_broadcast_entries);
    report.quarantines =
        longest(std::move(news.quarantines), max_broadcast_entries);
    for (const prompt_part_id part : news.parts)
    {
        if (!parts_.is_quarantined(part))
        {
            continue;
        }
        for (part_crash& crash : parts_.proof_against(part))
        {
            // One crash is proof against each of its quarantined parts.
            if (std::ranges::find(report.part_crashes, crash) ==
                report.part_crashes.end())
            {
                report.part_crashes.push_back(std::move(crash));
            }
        }
    }
    report.answers = newest<answered_part>(news.cleared, max_broadcast_entries);
    return encode_report(report, now);
}

std::optional<wire::blame_report_msg>
fleet_crash_tracker::take_trials(time_point now)
{
    const unix_millis time = tracker_time(now);
    crash_report report;
    report.trials = parts_.take_due_trials(time);
    return encode_report(report, time);
}

bool fleet_crash_tracker::is_suspect(
    request_fingerprint fingerprint, time_point now) const
{
    return tracker_.must_isolate(fingerprint, tracker_time(now));
}

bool fleet_crash_tracker::receive(
    const wire::blame_report_msg& message, time_point now)
{
    const unix_millis time = tracker_time(now);
    const std::uint64_t news_before = router_changes_;
    const crash_report report = decode_report(message, time);
    merge_requests(report, time);
    merge_parts(report, time);
    for (const prompt_part_id part : report.trials)
    {
        log(log_level::info, subsystem::attempt,
            "part_trial_permitted part={:x}", part);
        parts_.permit_trial(part, time);
    }
    return router_changes_ > news_before;
}

void fleet_crash_tracker::on_request_news(request_fingerprint fingerprint)
{
    ++router_changes_;
    push_unique(changed_requests_, fingerprint);
}

void fleet_crash_tracker::merge_requests(
    const crash_report& report, unix_millis now)
{
    for (const suspect_notice& notice : report.suspects)
    {
        const request_fingerprint fingerprint = notice.fingerprint;
        const bool was_known = tracker_.is_quarantined(fingerprint, now);
        if (tracker_.merge(notice, now) && tracker_.crashes(fingerprint) > 1)
        {
            on_request_news(fingerprint);
        }
        if (!was_known && tracker_.is_quarantined(fingerprint, now))
        {
            log_quarantine(fingerprint, "fleet");
        }
    }
    for (const quarantine& known : report.quarantines)
    {
        if (tracker_.quarantined_until(known.fingerprint) +
                quarantine_tolerance_ms <
            known.until)
        {
            tracker_.merge(known, now);
            log_quarantine(known.fingerprint, "fleet");
            on_request_news(known.fingerprint);
        }
    }
}

void fleet_crash_tracker::merge_parts(
    const crash_report& report, unix_millis now)
{
    for (const answered_part& answer : report.answers)
    {
        add_answer(answer);
    }
    for (const part_crash& crash : report.part_crashes)
    {
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
            ++router_changes_;
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
        ++router_changes_;
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
