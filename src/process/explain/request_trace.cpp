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

// Lines that tell what a process believes from then on.
constexpr std::array<std::string_view, 9> belief_events{
    "started",
    "ready",
    "draining",
    "configuration_applied",
    "backend_list_applied",
    "backend_list_read_alone",
    "router_count_changed",
    "voter_lost",
    "voter_silent"};

// Other requests that failed at the same server so close in time failed of the
// same cause, as far as logs can tell. Covers the differences of clocks.
constexpr milliseconds same_cause{2000};

// Failures that are remembered, the newest: some minutes of a bad day.
constexpr std::size_t max_failures = 200'000;

} // namespace

request_trace::request_trace(std::string id)
    : id_{std::move(id)}
{
}

void request_trace::add(const log_record& record)
{
    if (record.field("id") == id_)
    {
        if (seen_.insert(record.source).second)
        {
            for (const auto& [event, belief] : latest_[record.source])
            {
                beliefs_.push_back(belief);
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
        failures_.push_back(
            {record.time, std::string{record.field("backend")}});
        if (failures_.size() > max_failures)
        {
            failures_.pop_front();
        }
    }
    else if (
        std::ranges::find(belief_events, record.event) != belief_events.end())
    {
        auto& known = latest_[record.source];
        if (record.event == "started")
        {
            // A new process has learned nothing yet.
            known.clear();
        }
        known[record.event] = record;
    }
}

std::vector<log_record> request_trace::lines() const
{
    auto result = lines_;
    std::ranges::stable_sort(result, {}, &log_record::time);
    return result;
}

std::vector<log_record> request_trace::beliefs() const
{
    auto result = beliefs_;
    std::ranges::stable_sort(result, {}, &log_record::time);
    return result;
}

std::size_t
request_trace::failures_at(std::string_view backend, milliseconds time) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        failures_,
        [&](const failure& item)
        {
            return item.backend == backend && item.time >= time - same_cause &&
                   item.time <= time + same_cause;
        }));
}

std::string request_trace::explain_no_configuration(const log_record& end) const
{
    for (const log_record& belief : beliefs_)
    {
        if (belief.event == "started" && belief.source == end.source)
        {
            return fmt::format(
                "{} had started {} ms before and had no configuration yet; see "
                "when the voters had a leader",
                end.source, (end.time - belief.time).count());
        }
    }
    return fmt::format("{} had no configuration", end.source);
}

std::vector<std::string> request_trace::conclusions() const
{
    std::vector<std::string> result;
    conclude_attempts(result);
    for (const log_record& record : lines())
    {
        if (record.event == "request_ended")
        {
            conclude_end(record, result);
        }
    }
    return result;
}

void request_trace::conclude_attempts(std::vector<std::string>& output) const
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
                "it was not sent again because the fleet's allowance for "
                "repeats was used up");
        }
        else if (record.event == "request_is_quarantined")
        {
            output.push_back(fmt::format(
                "it was not sent because servers had crashed under the same "
                "request before; see the failed attempts with fingerprint {}",
                record.field("fingerprint")));
        }
        else if (
            record.event == "attempt_failed" ||
            record.event == "backend_unreachable")
        {
            const std::size_t others = failures_at(backend, record.time);
            const std::string_view outcome =
                record.event == "backend_unreachable" ? "unreachable"
                                                      : record.field("outcome");
            output.push_back(fmt::format(
                "{} was {} after {}{} ms; {} other attempts failed there "
                "within 2 s{}",
                backend, outcome, record.field("after_ms"),
                record.field("waited_ms"), others,
                others == 0 ? ", so only this one was concerned"
                            : ", so the server was the cause"));
        }
    }
}

void request_trace::conclude_end(
    const log_record& end, std::vector<std::string>& output) const
{
    const std::string_view outcome = end.field("outcome");
    if (outcome == "refused" && end.number("sends") == 0)
    {
        output.push_back(fmt::format(
            "refused without a send: no server of service {} could take it "
            "({} connections refused); compare the router's list of backend "
            "servers",
            end.field("service"), end.field("refused_connections")));
    }
    else if (outcome == "refused")
    {
        output.push_back(fmt::format(
            "refused after {} sends: each server stated that it had not run it",
            end.field("sends")));
    }
    else if (outcome == "cut_midway")
    {
        output.push_back(fmt::format(
            "cut after {} events: the server broke off and the route can't be "
            "resumed, or not any more",
            end.field("events")));
    }
    else if (outcome == "timed_out")
    {
        output.push_back(fmt::format(
            "no answer within {} ms from {}; {} other attempts failed there "
            "within 2 s",
            end.field("took_ms"), end.field("backend"),
            failures_at(end.field("backend"), end.time)));
    }
    else if (outcome == "no_configuration")
    {
        output.push_back(explain_no_configuration(end));
    }
    else if (outcome == "caller_left")
    {
        output.push_back(fmt::format(
            "the caller left after {} ms and {} events", end.field("took_ms"),
            end.field("events")));
    }
    else if (outcome == "broke_off")
    {
        output.push_back(fmt::format(
            "{} broke off and the request may have run, so it was not sent "
            "again",
            end.field("backend")));
    }
    else if (outcome == "answered" && end.number("sends") > 1)
    {
        output.push_back(fmt::format(
            "answered by {} at send {}, after {} ms in all",
            end.field("backend"), end.field("sends"), end.field("took_ms")));
    }
    else if (outcome == "answered")
    {
        output.push_back(fmt::format(
            "answered by {}: first event after {} ms, {} ms in all",
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
