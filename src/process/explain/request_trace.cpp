#include "process/explain/request_trace.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hickorygap
{

namespace
{

using std::chrono::milliseconds;

// Events that report a change of a process's state.
constexpr std::array<std::string_view, 9> state_events{
    "started",
    "ready",
    "draining",
    "configuration_applied",
    "backend_list_applied",
    "backend_list_read_alone",
    "router_count_changed",
    "voter_lost",
    "voter_silent"};

// Failures of other requests at the same backend server within this time before
// or after count as having the same cause. Wide enough to cover clock skew
// between processes.
constexpr milliseconds same_cause_window{2000};

// Limit on the number of failures kept, the newest ones; enough for some
// minutes with a high failure rate.
constexpr std::size_t max_other_failures = 200'000;

} // namespace

request_trace::request_trace(std::string id)
    : id_{std::move(id)}
{
}

void request_trace::add(const log_record& record)
{
    if (record.field("id") == id_)
    {
        if (sources_seen_.insert(record.source).second)
        {
            for (const auto& [event, state_line] :
                 latest_state_lines_[record.source])
            {
                state_lines_.push_back(state_line);
            }
        }
        lines_.push_back(record);
        return;
    }
    const bool failed = record.event == "attempt_failed" ||
                        record.event == "backend_unreachable" ||
                        (record.event == "request_ended" &&
                         record.field("outcome") == "timed_out");
    if (failed)
    {
        other_failures_.push_back(
            {record.time, std::string{record.field("backend")}});
        if (other_failures_.size() > max_other_failures)
        {
            other_failures_.pop_front();
        }
    }
    else if (
        std::ranges::find(state_events, record.event) != state_events.end())
    {
        auto& latest = latest_state_lines_[record.source];
        if (record.event == "started")
        {
            // A process starts without any state.
            latest.clear();
        }
        latest[record.event] = record;
    }
}

std::vector<log_record> request_trace::lines() const
{
    auto result = lines_;
    std::ranges::stable_sort(result, {}, &log_record::time);
    return result;
}

std::vector<log_record> request_trace::state_lines() const
{
    auto result = state_lines_;
    std::ranges::stable_sort(result, {}, &log_record::time);
    return result;
}

std::size_t request_trace::count_failures_near(
    std::string_view backend, milliseconds time) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        other_failures_,
        [&](const failure& item)
        {
            return item.backend == backend &&
                   item.time >= time - same_cause_window &&
                   item.time <= time + same_cause_window;
        }));
}

std::string request_trace::explain_no_configuration(const log_record& end) const
{
    for (const log_record& state_line : state_lines_)
    {
        if (state_line.event == "started" && state_line.source == end.source)
        {
            return fmt::format(
                "{} had started {} ms before and had no configuration yet; "
                "check when the voters had a leader",
                end.source, (end.time - state_line.time).count());
        }
    }
    return fmt::format("{} had no configuration", end.source);
}

std::vector<std::string> request_trace::explanation() const
{
    std::vector<std::string> result;
    explain_attempts(result);
    for (const log_record& record : lines())
    {
        if (record.event == "request_ended")
        {
            explain_end(record, result);
        }
    }
    return result;
}

void request_trace::explain_attempts(std::vector<std::string>& output) const
{
    for (const log_record& record : lines())
    {
        const std::string_view backend = record.field("backend");
        if (record.event == "request_sent" &&
            record.field("reason") != "preferred")
        {
            output.push_back(fmt::format(
                "{} was chosen as {}: load {} where the mean was {}", backend,
                record.field("reason"), record.field("load"),
                record.field("mean")));
        }
        else if (record.event == "repeat_denied")
        {
            output.emplace_back(
                "it was not sent again because the fleet's retry budget was "
                "exhausted");
        }
        else if (record.event == "request_is_quarantined")
        {
            output.push_back(fmt::format(
                "it was not sent because backend servers had crashed while "
                "running the same request before; see the failed attempts "
                "with fingerprint {}",
                record.field("fingerprint")));
        }
        else if (
            record.event == "attempt_failed" ||
            record.event == "backend_unreachable")
        {
            const std::size_t others =
                count_failures_near(backend, record.time);
            const std::string_view outcome =
                record.event == "backend_unreachable" ? "unreachable"
                                                      : record.field("outcome");
            output.push_back(fmt::format(
                "{} was {} after {}{} ms; {} other attempts failed there "
                "within 2 s{}",
                backend, outcome, record.field("after_ms"),
                record.field("waited_ms"), others,
                others == 0 ? ", so only this attempt was affected"
                            : ", so the backend server was the cause"));
        }
    }
}

void request_trace::explain_end(
    const log_record& end, std::vector<std::string>& output) const
{
    const std::string_view outcome = end.field("outcome");
    if (outcome == "refused" && end.number("sends") == 0)
    {
        output.push_back(fmt::format(
            "refused without being sent: no backend server of service {} could "
            "accept it ({} connections refused); check the router's list of "
            "backend servers",
            end.field("service"), end.field("refused_connections")));
    }
    else if (outcome == "refused")
    {
        output.push_back(fmt::format(
            "refused after {} sends: each backend server reported that it had "
            "not run the request",
            end.field("sends")));
    }
    else if (outcome == "cut_midway")
    {
        output.push_back(fmt::format(
            "cut off after {} events: the backend server closed the response "
            "early, and the route can't be resumed, or not any more",
            end.field("events")));
    }
    else if (outcome == "timed_out")
    {
        output.push_back(fmt::format(
            "no answer within {} ms from {}; {} other attempts failed there "
            "within 2 s",
            end.field("took_ms"), end.field("backend"),
            count_failures_near(end.field("backend"), end.time)));
    }
    else if (outcome == "no_configuration")
    {
        output.push_back(explain_no_configuration(end));
    }
    else if (outcome == "caller_left")
    {
        output.push_back(fmt::format(
            "the caller disconnected after {} ms and {} events",
            end.field("took_ms"), end.field("events")));
    }
    else if (outcome == "broke_off")
    {
        output.push_back(fmt::format(
            "{} closed the connection early and may have run the request, so "
            "it was not sent again",
            end.field("backend")));
    }
    else if (outcome == "answered" && end.number("sends") > 1)
    {
        output.push_back(fmt::format(
            "answered by {} at send {}, after {} ms in total",
            end.field("backend"), end.field("sends"), end.field("took_ms")));
    }
    else if (outcome == "answered")
    {
        output.push_back(fmt::format(
            "answered by {}: first event after {} ms, {} ms in total",
            end.field("backend"), end.field("first_event_ms"),
            end.field("took_ms")));
    }
    else
    {
        output.push_back(fmt::format(
            "ended with status {}: {}", end.field("status"), outcome));
    }
}

} // namespace hickorygap
