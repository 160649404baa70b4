#ifndef HICKORYGAP_PROCESS_METRICS_BURN_WINDOWS_HPP
#define HICKORYGAP_PROCESS_METRICS_BURN_WINDOWS_HPP

#include "common/time.hpp"
#include "messages/codec.hpp"
#include "process/metrics/burn_report.hpp"

#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace hickorygap
{

// Result of a caller's request with regard to the latency target of its rank,
// see burn_counts.
enum class service_level
{
    good,
    late,
    refused,
    failed
};

// Counts requests by organisation and rank over sliding windows of 5 minutes, 1
// hour and 6 hours. Each window is a ring buffer of 10 or 12 intervals, the
// newest of which is incomplete, so it covers between 9/10 and all of its
// nominal length. Memory is bounded by the number of rows, about 600 bytes
// each. Thread-safe.
class burn_windows
{
public:
    // Enough for 3,300 organisations with three ranks each, with headroom.
    static constexpr std::size_t default_row_limit = 12'000;

    explicit burn_windows(std::size_t row_limit = default_row_limit);

    // Counts one request that ended on this instance.
    void record(
        organisation_id organisation, rank request_rank, service_level level,
        time_point now);

    // Adds the counts that another instance reported to the current interval.
    void merge(const wire::burn_report_msg& report, time_point now);

    // Returns the counts recorded on this instance since they were last taken,
    // at most `row_limit` rows with the most requests first. The other rows are
    // left for the next call.
    wire::burn_report_msg
    take_report(instance_id instance, std::size_t row_limit, time_point now);

    // Returns the rows that have requests in the longest window. `name_of`
    // returns the name of an organisation.
    burn_report report(
        double error_budget,
        const std::function<std::string(organisation_id)>& name_of,
        time_point now) const;

    // Number of requests that were not counted because all rows were in use.
    std::uint64_t uncounted_requests() const;

private:
    static constexpr std::size_t level_count = 4;

    // Number of intervals of all three ring buffers.
    static constexpr std::size_t interval_count = 10 + 12 + 12;

    struct row_key
    {
        organisation_id organisation = 0;
        rank request_rank = rank::normal;

        friend bool operator==(const row_key&, const row_key&) = default;
    };

    struct row_key_hash
    {
        std::size_t operator()(const row_key& key) const;
    };

    using counts_by_level = std::array<std::uint32_t, level_count>;

    struct row
    {
        std::array<counts_by_level, interval_count> intervals{};

        // Newest interval of each ring buffer, numbered from the start of the
        // clock.
        std::array<std::int64_t, burn_window_count> newest{};

        // Recorded on this instance and not yet returned by take_report().
        counts_by_level unreported{};
    };

    // Clears the intervals of the ring buffers that begin after the newest one
    // of the row, up to `now`.
    static void advance(row& target, time_point now);
    static burn_counts
    sum_of(const row& source, std::size_t window, time_point now);
    static void add(row& target, const counts_by_level& counts, time_point now);
    // Returns the row of the key, created if necessary; nullptr when all rows
    // are in use.
    row* find_or_add_row(const row_key& key, time_point now);
    // Evicts the rows that have no requests in the longest window and nothing
    // to report.
    void evict_idle_rows(time_point now);

    std::size_t row_limit_;
    mutable std::mutex mutex_;
    std::unordered_map<row_key, row, row_key_hash> rows_;
    time_point last_report_;
    std::uint64_t uncounted_requests_ = 0;
};

} // namespace hickorygap

#endif
