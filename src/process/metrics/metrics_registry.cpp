#include "process/metrics/metrics_registry.hpp"

#include <absl/strings/str_replace.h>
#include <fmt/format.h>

#include <array>
#include <iterator>
#include <stdexcept>

namespace hickorygap
{

namespace
{

using text_output = std::back_insert_iterator<std::string>;

constexpr std::array<std::string_view, 4> type_names{
    "counter", "gauge", "summary", "histogram"};

std::string escape_label(const std::string& value)
{
    return absl::StrReplaceAll(
        value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

std::string escape_help(std::string_view text)
{
    return absl::StrReplaceAll(
        absl::string_view{text.data(), text.size()},
        {{"\\", "\\\\"}, {"\n", "\\n"}});
}

// Formats the labels as comma-separated key="value" pairs, without braces.
std::string render_labels(const metric_labels& labels)
{
    std::string result;
    for (const auto& [key, value] : labels)
    {
        result += fmt::format(
            "{}{}=\"{}\"", result.empty() ? "" : ",", key, escape_label(value));
    }
    return result;
}

std::string in_braces(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void write(
    text_output out, const std::string& name, const std::string& labels,
    const counter& value)
{
    fmt::format_to(out, "{}{} {}\n", name, in_braces(labels), value.value());
}

void write(
    text_output out, const std::string& name, const std::string& labels,
    const gauge& value)
{
    fmt::format_to(out, "{}{} {}\n", name, in_braces(labels), value.value());
}

void write(
    text_output out, const std::string& name, const std::string& labels,
    const latency_summary& value)
{
    const latency_summary::snapshot snapshot = value.read(boot_now());
    for (std::size_t i = 0; i < latency_quantiles.size(); ++i)
    {
        // In the Prometheus text format an unknown quantile is NaN.
        fmt::format_to(
            out, "{}{{{}{}quantile=\"{}\"}} {}\n", name, labels,
            labels.empty() ? "" : ",", latency_quantiles.at(i),
            snapshot.quantiles_s
                ? fmt::format("{}", snapshot.quantiles_s->at(i))
                : "NaN");
    }
    fmt::format_to(
        out, "{0}_sum{1} {2}\n{0}_count{1} {3}\n", name, in_braces(labels),
        snapshot.sum_s, snapshot.count);
}

void write(
    text_output out, const std::string& name, const std::string& labels,
    const latency_histogram& value)
{
    const latency_histogram::snapshot snapshot = value.read();
    const std::string prefix = labels.empty() ? "" : labels + ",";
    for (std::size_t i = 0; i < latency_bounds_s.size(); ++i)
    {
        fmt::format_to(
            out, "{}_bucket{{{}le=\"{}\"}} {}\n", name, prefix,
            latency_bounds_s.at(i), snapshot.counts.at(i));
    }
    fmt::format_to(
        out,
        "{0}_bucket{{{1}le=\"+Inf\"}} {3}\n{0}_sum{2} {4}\n"
        "{0}_count{2} {3}\n",
        name, prefix, in_braces(labels), snapshot.count, snapshot.sum_s);
}

} // namespace

template <typename Metric>
Metric& metrics_registry::find_or_add(
    const std::string& name, std::string_view help, const metric_labels& labels)
{
    const std::lock_guard lock{mutex_};
    family& found = families_[name];
    if (found.help.empty())
    {
        found.help = help;
    }
    const auto [position, is_new] = found.metrics.try_emplace(
        render_labels(labels), std::make_unique<Metric>());
    // std::get throws when the metric exists with another type, which is a
    // programming error.
    return *std::get<std::unique_ptr<Metric>>(position->second);
}

counter& metrics_registry::find_counter(
    std::string_view name, std::string_view help, const metric_labels& labels)
{
    return find_or_add<counter>(
        fmt::format("hickorygap_{}_total", name), help, labels);
}

gauge& metrics_registry::find_gauge(
    std::string_view name, std::string_view unit, std::string_view help,
    const metric_labels& labels)
{
    return find_or_add<gauge>(
        fmt::format("hickorygap_{}_{}", name, unit), help, labels);
}

latency_summary& metrics_registry::find_latency(
    std::string_view name, std::string_view help, const metric_labels& labels)
{
    return find_or_add<latency_summary>(
        fmt::format("hickorygap_{}_seconds", name), help, labels);
}

latency_histogram& metrics_registry::find_histogram(
    std::string_view name, std::string_view help, const metric_labels& labels)
{
    return find_or_add<latency_histogram>(
        fmt::format("hickorygap_{}_seconds", name), help, labels);
}

std::string metrics_registry::prometheus_text() const
{
    const std::lock_guard lock{mutex_};
    std::string result;
    const text_output out{result};
    for (const auto& [name, entry] : families_)
    {
        fmt::format_to(
            out, "# HELP {0} {1}\n# TYPE {0} {2}\n", name,
            escape_help(entry.help),
            type_names.at(entry.metrics.begin()->second.index()));
        for (const auto& [labels, value] : entry.metrics)
        {
            std::visit(
                [&, &labels_of = labels, &name_of = name](const auto& pointer)
                { write(out, name_of, labels_of, *pointer); },
                value);
        }
    }
    return result;
}

} // namespace hickorygap
