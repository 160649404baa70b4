#include "process/instance/instance_metrics.hpp"

#include "version/configuration/rank_names.hpp"

#include <fmt/format.h>

namespace hickorygap
{

namespace
{

bool has_failed(wire::attempt_outcome outcome)
{
    return outcome == wire::attempt_outcome::failed_after_start ||
           outcome == wire::attempt_outcome::failed_before_start ||
           outcome == wire::attempt_outcome::backend_server_lost;
}

service_level
service_level_of(const attempt_report& report, const configuration& current)
{
    if (has_failed(report.outcome))
    {
        return service_level::failed;
    }
    const service* target = current.find_service(report.service);
    const auto index = static_cast<std::size_t>(report.request_rank);
    const bool late =
        target != nullptr && report.first_byte > target->ranks[index].target;
    return late ? service_level::late : service_level::good;
}

void append_counter(
    std::string& text, std::string_view name, std::string_view help,
    std::uint64_t value)
{
    text += fmt::format(
        "# HELP hickorygap_{0}_total {1}\n# TYPE hickorygap_{0}_total "
        "counter\nhickorygap_{0}_total {2}\n",
        name, help, value);
}

void append_refusals(std::string& text, const relay_counters& relay)
{
    text += "# HELP hickorygap_refusals_total Refused requests by kind.\n"
            "# TYPE hickorygap_refusals_total counter\n";
    for (std::size_t i = 0; i < relay.refusals.size(); ++i)
    {
        text += fmt::format(
            "hickorygap_refusals_total{{kind=\"{}\"}} {}\n",
            error_kind_name(static_cast<error_kind>(i)),
            relay.refusals[i].load());
    }
}

} // namespace

void instance_metrics::on_finished(
    const attempt_report& report, const configuration& current)
{
    const time_point now = boot_now();
    if (report.outcome != wire::attempt_outcome::cancelled &&
        report.outcome != wire::attempt_outcome::never_used)
    {
        burn_.record(
            report.organisation, report.request_rank,
            service_level_of(report, current), now);
    }
    if (report.outcome == wire::attempt_outcome::completed)
    {
        const metric_labels labels{
            {"rank", std::string{rank_name(report.request_rank)}}};
        registry_
            .find_latency(
                "first_byte", "From arrival to the first byte of the answer.",
                labels)
            .observe(report.first_byte, now);
        registry_
            .find_latency(
                "request", "From arrival to the end of the answer.", labels)
            .observe(report.total, now);
    }
}

void instance_metrics::on_refused(const placement_query& query)
{
    burn_.record(
        query.organisation, query.request_rank, service_level::refused,
        boot_now());
}

void instance_metrics::on_network(const peer_network_counters& counters)
{
    registry_
        .find_gauge(
            "control_sent", "bytes", "Sent to other instances since start.")
        .set(static_cast<double>(counters.bytes_sent));
    registry_
        .find_gauge(
            "control_received", "bytes",
            "Received from other instances since start.")
        .set(static_cast<double>(counters.bytes_received));
}

std::string instance_metrics::prometheus_text(const relay_counters& relay)
{
    std::string text = registry_.prometheus_text();
    append_counter(
        text, "requests", "Requests of callers.", relay.requests.load());
    append_counter(
        text, "completed", "Requests answered whole.", relay.completed.load());
    append_counter(
        text, "retries", "Attempts after the first.", relay.retries.load());
    append_counter(
        text, "resumed_streams", "Streams continued by an engine.",
        relay.resumed.load());
    append_counter(
        text, "restarted_streams", "Streams run again from the start.",
        relay.restarted.load());
    append_counter(
        text, "late_answers_dropped", "Answers to another attempt.",
        relay.late_answers_dropped.load());
    append_counter(
        text, "cancelled", "Requests whose caller left.",
        relay.cancelled.load());
    append_counter(
        text, "backend_servers_lost", "Attempts that lost their server.",
        relay.backend_servers_lost.load());
    append_refusals(text, relay);
    return text;
}

} // namespace hickorygap
