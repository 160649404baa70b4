#ifndef HICKORYGAP_PROCESS_METRICS_BURN_REPORT_HPP
#define HICKORYGAP_PROCESS_METRICS_BURN_REPORT_HPP

#include "common/ids.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

inline constexpr std::size_t burn_window_count = 3;

// Names of the windows in JSON reports, shortest window first.
inline constexpr std::array<std::string_view, burn_window_count>
    burn_window_names{"5m", "1h", "6h"};

// Number of requests of one organisation and rank in one window, by result.
struct burn_counts
{
    // Answered within the rank's latency target.
    std::uint64_t good = 0;
    // Answered, but later than the target.
    std::uint64_t late = 0;
    // Refused without having been run.
    std::uint64_t refused = 0;
    // Accepted, but ended with an error.
    std::uint64_t failed = 0;

    std::uint64_t total() const
    {
        return good + late + refused + failed;
    }

    friend bool operator==(const burn_counts&, const burn_counts&) = default;
};

// Fraction of requests that were not good, divided by `error_budget`, the
// fraction that is allowed. At a rate of 1 the error budget is used up exactly.
// Zero when there are no requests or the budget is zero.
double burn_rate(const burn_counts& counts, double error_budget);

struct burn_row
{
    organisation_id organisation = 0;

    // Name from the configuration; the identifier in hexadecimal when the
    // organisation no longer exists.
    std::string name;
    rank request_rank = rank::normal;
    std::array<burn_counts, burn_window_count> windows;
};

struct burn_report
{
    // Fraction of requests that may miss the target.
    double error_budget = 0.05;

    // Highest burn rate in the shortest window first.
    std::vector<burn_row> rows;
};

std::string burn_report_json(const burn_report& report);

} // namespace hickorygap

#endif
