#include "request/blame/blame_tracker.hpp"

#include "common/hashing.hpp"
#include "request/blame/crash_time.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

unix_millis time_difference(unix_millis left, unix_millis right)
{
    return left > right ? left - right : right - left;
}

} // namespace

request_fingerprint
fingerprint_of(std::initializer_list<std::string_view> parts)
{
    // Each hash is the seed of the next one, so that moving bytes from one part
    // to the next changes the fingerprint.
    request_fingerprint fingerprint = 0;
    for (const std::string_view part : parts)
    {
        fingerprint = hash_chat(fingerprint, part);
    }
    return fingerprint;
}

blame_tracker::blame_tracker(blame_options options)
    : options_(options)
{
}

bool blame_tracker::on_sent(
    backend_server_id backend_server, request_fingerprint fingerprint,
    bool isolated, unix_millis now)
{
    const auto found = records_.find(fingerprint);
    if (found != records_.end() && is_suspect(found->second, now))
    {
        if (found->second.until > now || !isolated ||
            found->second.running_isolated)
        {
            return false;
        }
        found->second.running_isolated = true;
    }
    ++in_flight_[backend_server][fingerprint];
    return true;
}

void blame_tracker::on_ended(
    backend_server_id backend_server, request_fingerprint fingerprint,
    bool isolated, bool completed)
{
    const auto running = in_flight_.find(backend_server);
    if (running != in_flight_.end())
    {
        const auto entry = running->second.find(fingerprint);
        if (entry != running->second.end() && --entry->second == 0)
        {
            running->second.erase(entry);
        }
        if (running->second.empty())
        {
            in_flight_.erase(running);
        }
    }
    const auto found = records_.find(fingerprint);
    if (!isolated || found == records_.end())
    {
        return;
    }
    found->second.running_isolated = false;
    if (completed && found->second.until == 0)
    {
        records_.erase(found);
    }
}

void blame_tracker::on_backend_server_died(
    backend_server_id backend_server, request_fingerprint running,
    bool isolated, unix_millis now)
{
    const auto found = in_flight_.find(backend_server);
    if (found == in_flight_.end() || !found->second.contains(running))
    {
        // Another attempt has already reported this crash.
        return;
    }
    std::vector<request_fingerprint> suspects;
    for (const auto& [fingerprint, count] : found->second)
    {
        suspects.push_back(fingerprint);
    }
    in_flight_.erase(found);
    const bool confirmed = isolated && suspects.size() == 1;
    for (const request_fingerprint fingerprint : suspects)
    {
        report_crash({fingerprint, backend_server, now, confirmed}, now);
    }
}

void blame_tracker::on_crash(const suspect_notice& notice, unix_millis now)
{
    if (completed_.erase(notice.fingerprint) == 0)
    {
        report_crash(notice, now);
    }
}

void blame_tracker::on_completed(request_fingerprint fingerprint)
{
    const auto known = records_.find(fingerprint);
    if (known != records_.end() && known->second.until == 0)
    {
        records_.erase(known);
    }
    if (!completed_.try_emplace(fingerprint, completions_ + 1).second)
    {
        return;
    }
    completed_order_.emplace_back(++completions_, fingerprint);
    if (completed_order_.size() > options_.completed_capacity)
    {
        const auto [number, oldest] = completed_order_.front();
        const auto found = completed_.find(oldest);
        if (found != completed_.end() && found->second == number)
        {
            completed_.erase(found);
        }
        completed_order_.pop_front();
    }
}

void blame_tracker::report_crash(const suspect_notice& notice, unix_millis now)
{
    if (!add_crash(notice, true, now))
    {
        return;
    }
    reports_.push_back(notice);
    // Reports wait until take_suspect_reports; if it is not called, the oldest
    // are dropped.
    if (reports_.size() > options_.capacity)
    {
        reports_.erase(reports_.begin());
    }
}

bool blame_tracker::has_reached_limit(const record& known) const
{
    const auto early = std::ranges::count(known.crashes, false, &crash::midway);
    return static_cast<std::size_t>(early) >= options_.crash_limit ||
           known.crashes.size() >= options_.midway_crash_limit;
}

bool blame_tracker::add_crash(
    const suspect_notice& notice, bool seen_locally, unix_millis now)
{
    record& known = find_or_add(notice.fingerprint, now);
    const auto same = std::find_if(
        known.crashes.begin(), known.crashes.end(),
        [&](const crash& seen)
        {
            return !(seen_locally && seen.seen_locally) &&
                   seen.backend_server == notice.backend_server &&
                   time_difference(seen.time, notice.crashed) <
                       same_crash_window_ms;
        });
    if (same != known.crashes.end())
    {
        return false;
    }
    std::erase_if(
        known.crashes, [&](const crash& seen)
        { return seen.time + to_unix_millis(options_.suspicion_time) <= now; });
    known.crashes.push_back(
        {notice.backend_server, notice.crashed, seen_locally, notice.midway});
    // After a quarantine has ended, a single crash is enough for the next one.
    if (known.until != 0 || has_reached_limit(known))
    {
        known.until = std::max(
            known.until,
            notice.crashed + to_unix_millis(options_.quarantine_time));
    }
    return true;
}

bool blame_tracker::is_quarantined(
    request_fingerprint fingerprint, unix_millis now) const
{
    return quarantined_until(fingerprint) > now;
}

unix_millis
blame_tracker::quarantined_until(request_fingerprint fingerprint) const
{
    const auto found = records_.find(fingerprint);
    return found == records_.end() ? 0 : found->second.until;
}

bool blame_tracker::must_isolate(
    request_fingerprint fingerprint, unix_millis now) const
{
    const auto found = records_.find(fingerprint);
    return found != records_.end() && is_suspect(found->second, now);
}

bool blame_tracker::is_suspect(const record& known, unix_millis now) const
{
    // After its quarantine a fingerprint is a suspect again; it is not cleared.
    if (known.until != 0)
    {
        return known.until + to_unix_millis(options_.suspicion_time) > now;
    }
    return std::any_of(
        known.crashes.begin(), known.crashes.end(),
        [&](const crash& seen)
        { return seen.time + to_unix_millis(options_.suspicion_time) > now; });
}

std::vector<suspect_notice> blame_tracker::take_suspect_reports()
{
    return std::exchange(reports_, {});
}

std::vector<suspect_notice> blame_tracker::suspects(unix_millis now) const
{
    std::vector<suspect_notice> result;
    for (const auto& [fingerprint, known] : records_)
    {
        append_crashes(fingerprint, known, true, now, result);
    }
    return result;
}

std::vector<suspect_notice>
blame_tracker::repeated_crashes(unix_millis now) const
{
    std::vector<suspect_notice> result;
    for (const auto& [fingerprint, known] : records_)
    {
        if (known.crashes.size() > 1 && known.until == 0)
        {
            append_crashes(fingerprint, known, false, now, result);
        }
    }
    return result;
}

// Appends the crashes within the suspicion time; with `seen_locally` only those
// seen by this instance.
void blame_tracker::append_crashes(
    request_fingerprint fingerprint, const record& known, bool seen_locally,
    unix_millis now, std::vector<suspect_notice>& output) const
{
    for (const crash& seen : known.crashes)
    {
        if ((seen.seen_locally || !seen_locally) &&
            seen.time + to_unix_millis(options_.suspicion_time) > now)
        {
            output.push_back(
                {fingerprint, seen.backend_server, seen.time, false,
                 seen.midway});
        }
    }
}

std::size_t blame_tracker::crashes(request_fingerprint fingerprint) const
{
    const auto found = records_.find(fingerprint);
    return found == records_.end() ? 0 : found->second.crashes.size();
}

bool blame_tracker::merge(const suspect_notice& notice, unix_millis now)
{
    return notice.crashed + to_unix_millis(options_.suspicion_time) > now &&
           add_crash(notice, false, now);
}

void blame_tracker::merge(const quarantine& entry, unix_millis now)
{
    if (entry.until > now)
    {
        record& known = find_or_add(entry.fingerprint, now);
        known.until = std::max(known.until, entry.until);
    }
}

std::vector<quarantine> blame_tracker::quarantines(unix_millis now) const
{
    std::vector<quarantine> result;
    for (const auto& [fingerprint, known] : records_)
    {
        if (known.until > now)
        {
            result.push_back({fingerprint, known.until});
        }
    }
    std::sort(
        result.begin(), result.end(),
        [](const quarantine& left, const quarantine& right)
        { return left.until > right.until; });
    return result;
}

unix_millis blame_tracker::last_change(const record& known)
{
    unix_millis latest = known.until;
    for (const crash& seen : known.crashes)
    {
        latest = std::max(latest, seen.time);
    }
    return latest;
}

blame_tracker::record&
blame_tracker::find_or_add(request_fingerprint fingerprint, unix_millis now)
{
    const auto found = records_.find(fingerprint);
    if (found != records_.end())
    {
        return found->second;
    }
    if (records_.size() >= options_.capacity)
    {
        evict_oldest(now);
    }
    return records_[fingerprint];
}

void blame_tracker::evict_oldest(unix_millis now)
{
    std::erase_if(
        records_,
        [&](const auto& entry) {
            return !is_suspect(entry.second, now) &&
                   !entry.second.running_isolated;
        });
    if (records_.size() < options_.capacity)
    {
        return;
    }
    // The time of change of a quarantine is its end, which lies in the future,
    // so that suspects that are not quarantined are evicted first.
    const auto oldest = std::min_element(
        records_.begin(), records_.end(),
        [](const auto& left, const auto& right)
        { return last_change(left.second) < last_change(right.second); });
    records_.erase(oldest);
}

} // namespace hickorygap
