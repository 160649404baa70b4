#include "process/metrics/burn_windows.hpp"

#include "common/hashing.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>
#include <vector>

namespace hickorygap
{

namespace
{

// Position and size of one window's ring buffer in row::intervals, and the
// length of one interval.
struct ring
{
    std::size_t first;
    std::size_t size;
    duration interval;
};

constexpr std::array<ring, burn_window_count> rings{
    ring{0, 10, std::chrono::seconds{30}},
    ring{10, 12, std::chrono::minutes{5}},
    ring{22, 12, std::chrono::minutes{30}}};

std::int64_t interval_number(const ring& layout, time_point now)
{
    return now.since_start / layout.interval;
}

std::size_t position_of(const ring& layout, std::int64_t number)
{
    return layout.first + static_cast<std::size_t>(number) % layout.size;
}

// Saturating addition: stays at the maximum instead of wrapping around.
void add_saturating(std::uint32_t& target, std::uint32_t amount)
{
    const std::uint32_t remaining =
        std::numeric_limits<std::uint32_t>::max() - target;
    target += std::min(remaining, amount);
}

} // namespace

std::size_t burn_windows::row_key_hash::operator()(const row_key& key) const
{
    return rendezvous_score(
        key.organisation, static_cast<std::uint64_t>(key.request_rank));
}

burn_windows::burn_windows(std::size_t row_limit)
    : row_limit_(row_limit)
{
}

void burn_windows::record(
    organisation_id organisation, rank request_rank, service_level level,
    time_point now)
{
    const std::lock_guard lock{mutex_};
    row* target = find_or_add_row({organisation, request_rank}, now);
    if (target == nullptr)
    {
        ++uncounted_requests_;
        return;
    }
    counts_by_level counts{};
    counts.at(static_cast<std::size_t>(level)) = 1;
    add(*target, counts, now);
    add_saturating(target->unreported.at(static_cast<std::size_t>(level)), 1);
}

void burn_windows::merge(const wire::burn_report_msg& report, time_point now)
{
    const std::lock_guard lock{mutex_};
    for (const auto& source : report.rows)
    {
        if (source == nullptr || source->rank >= rank_count)
        {
            continue;
        }
        row* target = find_or_add_row(
            {source->organisation, static_cast<rank>(source->rank)}, now);
        if (target == nullptr)
        {
            uncounted_requests_ += source->served + source->late +
                                   source->refused + source->failed;
            continue;
        }
        add(*target,
            {source->served, source->late, source->refused, source->failed},
            now);
    }
}

wire::burn_report_msg burn_windows::take_report(
    instance_id instance, std::size_t row_limit, time_point now)
{
    const std::lock_guard lock{mutex_};
    std::vector<std::tuple<std::uint64_t, row_key, row*>> unreported_rows;
    for (auto& [key, source] : rows_)
    {
        const auto total = std::accumulate(
            source.unreported.begin(), source.unreported.end(),
            std::uint64_t{0});
        if (total > 0)
        {
            unreported_rows.emplace_back(total, key, &source);
        }
    }
    const auto order = [](const auto& entry)
    {
        const auto& [total, key, source] = entry;
        return std::tuple{
            std::numeric_limits<std::uint64_t>::max() - total, key.organisation,
            key.request_rank};
    };
    std::sort(
        unreported_rows.begin(), unreported_rows.end(),
        [&](const auto& left, const auto& right)
        { return order(left) < order(right); });
    unreported_rows.resize(std::min(unreported_rows.size(), row_limit));
    wire::burn_report_msg result;
    result.instance = instance;
    result.interval_ms = static_cast<std::uint32_t>(
        (now - last_report_) / std::chrono::milliseconds{1});
    last_report_ = now;
    for (const auto& [total, key, source] : unreported_rows)
    {
        auto entry = std::make_unique<wire::burn_row_msg>();
        entry->organisation = key.organisation;
        entry->rank = static_cast<std::uint8_t>(key.request_rank);
        entry->served = source->unreported[0];
        entry->late = source->unreported[1];
        entry->refused = source->unreported[2];
        entry->failed = source->unreported[3];
        result.rows.push_back(std::move(entry));
        source->unreported = {};
    }
    return result;
}

burn_report burn_windows::report(
    double error_budget,
    const std::function<std::string(organisation_id)>& name_of,
    time_point now) const
{
    const std::lock_guard lock{mutex_};
    burn_report result;
    result.error_budget = error_budget;
    for (const auto& [key, source] : rows_)
    {
        burn_row entry;
        entry.organisation = key.organisation;
        entry.request_rank = key.request_rank;
        for (std::size_t i = 0; i < burn_window_count; ++i)
        {
            entry.windows.at(i) = sum_of(source, i, now);
        }
        if (entry.windows.back().total() > 0)
        {
            entry.name = name_of(key.organisation);
            result.rows.push_back(std::move(entry));
        }
    }
    const auto order = [error_budget](const burn_row& entry)
    {
        return std::tuple{
            -burn_rate(entry.windows.front(), error_budget),
            std::string_view{entry.name}, entry.request_rank};
    };
    std::sort(
        result.rows.begin(), result.rows.end(),
        [&](const burn_row& left, const burn_row& right)
        { return order(left) < order(right); });
    return result;
}

std::uint64_t burn_windows::uncounted_requests() const
{
    const std::lock_guard lock{mutex_};
    return uncounted_requests_;
}

void burn_windows::advance(row& target, time_point now)
{
    for (std::size_t i = 0; i < burn_window_count; ++i)
    {
        const ring& layout = rings.at(i);
        std::int64_t& newest = target.newest.at(i);
        const std::int64_t number = interval_number(layout, now);
        // After a long idle period every interval is cleared only once.
        const std::int64_t first_to_clear = std::max(
            newest + 1, number - static_cast<std::int64_t>(layout.size) + 1);
        for (std::int64_t n = first_to_clear; n <= number; ++n)
        {
            target.intervals.at(position_of(layout, n)) = {};
        }
        newest = std::max(newest, number);
    }
}

burn_counts
burn_windows::sum_of(const row& source, std::size_t window, time_point now)
{
    const ring& layout = rings.at(window);
    const std::int64_t oldest = interval_number(layout, now) -
                                static_cast<std::int64_t>(layout.size) + 1;
    const std::int64_t newest = source.newest.at(window);
    burn_counts result;
    for (std::int64_t n = std::max<std::int64_t>(oldest, 0); n <= newest; ++n)
    {
        const counts_by_level& counts =
            source.intervals.at(position_of(layout, n));
        result.good += counts[0];
        result.late += counts[1];
        result.refused += counts[2];
        result.failed += counts[3];
    }
    return result;
}

void burn_windows::add(
    row& target, const counts_by_level& counts, time_point now)
{
    advance(target, now);
    for (std::size_t i = 0; i < burn_window_count; ++i)
    {
        const ring& layout = rings.at(i);
        counts_by_level& interval = target.intervals.at(
            position_of(layout, interval_number(layout, now)));
        for (std::size_t level = 0; level < level_count; ++level)
        {
            add_saturating(interval.at(level), counts.at(level));
        }
    }
}

burn_windows::row*
burn_windows::find_or_add_row(const row_key& key, time_point now)
{
    const auto found = rows_.find(key);
    if (found != rows_.end())
    {
        return &found->second;
    }
    if (rows_.size() >= row_limit_)
    {
        evict_idle_rows(now);
    }
    return rows_.size() >= row_limit_ ? nullptr : &rows_[key];
}

void burn_windows::evict_idle_rows(time_point now)
{
    std::erase_if(
        rows_,
        [now](const auto& entry)
        {
            const row& source = entry.second;
            return sum_of(source, burn_window_count - 1, now).total() == 0 &&
                   source.unreported == counts_by_level{};
        });
}

} // namespace hickorygap
