#include "process/gateway/crash_monitor.hpp"

#include "common/hashing.hpp"
#include "common/logging.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

crash_monitor::crash_monitor(backend_pool& pool, fleet_crash_tracker& blame)
    : pool_{pool}
    , blame_{blame}
{
}

void crash_monitor::set_on_news(std::function<void()> on_news)
{
    on_news_ = std::move(on_news);
}

void crash_monitor::on_attempt_broken(const broken_attempt& attempt)
{
    const auto [found, is_first] = unchecked_.try_emplace(attempt.backend);
    found->second.push_back(attempt);
    if (is_first)
    {
        // All connections to a crashed server break in the same iteration of
        // the event loop.
        pool_.loop().defer([this, backend = attempt.backend]
                           { check(backend); });
    }
}

void crash_monitor::on_answered(
    std::span<const prompt_part_id> parts, time_point began)
{
    blame_.on_answered(parts, began);
    if (blame_.has_news() && on_news_)
    {
        on_news_();
    }
}

bool crash_monitor::is_checking(request_fingerprint fingerprint) const
{
    return std::ranges::any_of(
        unchecked_,
        [fingerprint](const auto& item)
        {
            return std::ranges::find(
                       item.second, fingerprint,
                       &broken_attempt::fingerprint) != item.second.end();
        });
}

void crash_monitor::check(backend_server_id backend)
{
    const backend_record* record = pool_.table().find(backend);
    if (record == nullptr || !is_in_service(*record))
    {
        // A server that is shutting down closes its connections with requests
        // still on them.
        unchecked_.erase(backend);
        return;
    }
    pool_.probe(
        *record, [this, backend](bool accepts_connections)
        { on_checked(backend, accepts_connections); });
}

void crash_monitor::on_checked(
    backend_server_id backend, bool accepts_connections)
{
    const auto found = unchecked_.find(backend);
    if (found == unchecked_.end())
    {
        return;
    }
    const std::vector<broken_attempt> attempts = std::move(found->second);
    unchecked_.erase(found);
    // A server at its connection limit refuses new connections and keeps the
    // existing ones. A router that is cut off can't tell that a server has
    // crashed.
    const backend_record* record = pool_.table().find(backend);
    const bool is_cut_off =
        record != nullptr &&
        pool_.paths().is_cut_off(hash_name(record->listed.service));
    if (accepts_connections || is_cut_off || pool_.has_established(backend))
    {
        return;
    }
    log(log_level::warning, subsystem::attempt,
        "backend_crashed backend={:016x} requests={}", backend,
        attempts.size());
    const time_point now = pool_.loop().now();
    for (const broken_attempt& attempt : attempts)
    {
        suspect_notice notice;
        notice.fingerprint = attempt.fingerprint;
        notice.backend_server = backend;
        notice.crashed = tracker_time(now);
        notice.midway = attempt.midway;
        blame_.on_crash(notice, attempt.prompt, now);
    }
    if (on_news_)
    {
        on_news_();
    }
}

} // namespace hickorygap
