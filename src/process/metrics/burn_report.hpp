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

// Names of the windows in reports, shortest first.
inline constexpr std::array<std::string_view, burn_window_count>
    burn_window_names{"5m", "1h", "6h"};

// Requests of one organisation and rank in one window.
struct burn_counts
{
    // Answered within the rank's target.
    std::uint64_t good = 0;
    // Answered after the target.
    std::uint64_t late = 0;
    // Refused as not run.
    std::uint64_t refused = 0;
    // Ended with an error after being accepted.
    std::uint64_t failed = 0;

    std::uint64_t total() const
    {
        return good + late + refused + failed;
    }

    friend bool operator==(const burn_counts&, const burn_counts&) = default;
};

// Share of requests that missed the target over the share that may; 1 uses
// up the error budget exactly. Zero without requests.
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
    double error_budget = 0.05;

    // Highest burn rate in the shortest window first.
    std::vector<burn_row> rows;
};

// The report as JSON.
std::string burn_report_json(const burn_report& report);

} // namespace hickorygap

#endif
