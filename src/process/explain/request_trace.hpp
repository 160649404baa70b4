#ifndef HICKORYGAP_PROCESS_EXPLAIN_REQUEST_TRACE_HPP
#define HICKORYGAP_PROCESS_EXPLAIN_REQUEST_TRACE_HPP

#include "process/explain/log_record.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Collects what concerns one request from the logs of several processes: its
// own log lines, the state of the router when the request arrived, and failures
// of other requests at the same backend servers around that time.
class request_trace
{
public:
    explicit request_trace(std::string id);

    // Adds a log line. The lines of one process must be added in their order;
    // the order of the processes doesn't matter.
    void add(const log_record& record);

    // Log lines of the request, ordered by time.
    std::vector<log_record> lines() const;

    // Latest log lines, before the request's first line, on the state of the
    // processes that logged the request: configuration, list of backend
    // servers, number of routers, links to voters. Ordered by time.
    std::vector<log_record> state_lines() const;

    // Sentences on what happened to the request and why. Empty when no log line
    // names the request.
    std::vector<std::string> explanation() const;

private:
    // A failed attempt of another request.
    struct failure
    {
        std::chrono::milliseconds time{0};
        std::string backend;
    };

    std::string explain_no_configuration(const log_record& end) const;
    void explain_attempts(std::vector<std::string>& output) const;
    void
    explain_end(const log_record& end, std::vector<std::string>& output) const;
    std::size_t count_failures_near(
        std::string_view backend, std::chrono::milliseconds time) const;

    std::string id_;
    std::vector<log_record> lines_;
    std::vector<log_record> state_lines_;

    // Latest state line by process and event.
    std::map<std::string, std::map<std::string, log_record>>
        latest_state_lines_;

    // Processes that have logged the request; their state was copied to the
    // trace at their first line about it.
    std::set<std::string> sources_seen_;
    std::deque<failure> other_failures_;
};

} // namespace hickorygap

#endif
