#include "process/metrics/burn_report.hpp"

#include "common/json.hpp"

#include <fmt/format.h>

#include <iterator>

namespace hickorygap
{

namespace
{

constexpr std::array<std::string_view, rank_count> rank_labels{
    "urgent", "normal", "background"};

} // namespace

double burn_rate(const burn_counts& counts, double error_budget)
{
    const auto total = static_cast<double>(counts.total());
    if (total == 0.0 || error_budget <= 0.0)
    {
        return 0.0;
    }
    const auto not_good =
        static_cast<double>(counts.late + counts.refused + counts.failed);
    return not_good / total / error_budget;
}

std::string burn_report_json(const burn_report& report)
{
    std::string result;
    const auto out = std::back_inserter(result);
    fmt::format_to(out, R"({{"error_budget":{},"rows":[)", report.error_budget);
    const char* separator = "";
    for (const burn_row& row : report.rows)
    {
        fmt::format_to(
            out, R"({}{{"organisation":{},"rank":"{}","windows":{{)", separator,
            json_quote(row.name),
            rank_labels.at(static_cast<std::size_t>(row.request_rank)));
        separator = ",";
        for (std::size_t i = 0; i < burn_window_count; ++i)
        {
            const burn_counts& counts = row.windows.at(i);
            fmt::format_to(
                out,
                R"({}"{}":{{"good":{},"late":{},"refused":{},"failed":{},)"
                R"("burn_rate":{:.3f}}})",
                i == 0 ? "" : ",", burn_window_names.at(i), counts.good,
                counts.late, counts.refused, counts.failed,
                burn_rate(counts, report.error_budget));
        }
        fmt::format_to(out, "}}}}");
    }
    fmt::format_to(out, "]}}");
    return result;
}

} // namespace hickorygap
