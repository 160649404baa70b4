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

// How a caller's request ended, as far as its rank's target is concerned.
enum class service_level
{
    good,
    late,
    refused,
    failed
};

// Counts requests by organisation and rank over 5 minutes, 1 hour and 6
// hours. Each window is a ring of 10 to 12 intervals and reaches back to the
// start of its oldest interval, so it covers between 9/10 and all of its
// length. Memory is bounded by the number of rows, about 600 bytes each.
// Safe from any thread.
class burn_windows
{
public:
    // Enough for 3,300 organisations of three ranks with head-room.
    static constexpr std::size_t default_row_limit = 12'000;

    explicit burn_windows(std::size_t row_limit = default_row_limit);

    // Counts one request that this instance has answered.
    void record(
        organisation_id organisation, rank request_rank, service_level level,
        time_point now);

    // Adds another instance's figures to the present interval.
    void merge(const wire::burn_report_msg& report, time_point now);

    // Figures that this instance has counted since the previous call, the
    // busiest rows first. Rows beyond the limit stay for the next call.
    wire::burn_report_msg
    take_report(instance_id instance, std::size_t row_limit, time_point now);

    // Rows with requests in the longest window. `name_of` finds the name of
    // an organisation.
    burn_report report(
        double error_budget,
        const std::function<std::string(organisation_id)>& name_of,
        time_point now) const;

    // Requests that were not counted because all rows were in use.
    std::uint64_t uncounted() const;

private:
    static constexpr std::size_t level_count = 4;

    // Intervals of all three rings.
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

    using level_counts = std::array<std::uint32_t, level_count>;

    struct row
    {
        std::array<level_counts, interval_count> intervals{};

        // Number of the newest interval of each ring since the clock's start.
        std::array<std::int64_t, burn_window_count> newest{};

        // Counted here and not yet taken by take_report.
        level_counts unreported{};
    };

    static void advance(row& target, time_point now);
    static burn_counts
    sum_of(const row& source, std::size_t window, time_point now);
    static void add(row& target, const level_counts& counts, time_point now);
    row* find_row(const row_key& key, time_point now);
    void drop_idle_rows(time_point now);

    std::size_t row_limit_;
    mutable std::mutex mutex_;
    std::unordered_map<row_key, row, row_key_hash> rows_;
    time_point last_report_;
    std::uint64_t uncounted_ = 0;
};

} // namespace hickorygap

#endif
