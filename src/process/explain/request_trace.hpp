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

// Gathers from the logs of many processes what concerns one request: its own
// lines, what the router believed when it arrived, and how other requests fared
// at the same backend servers at that time.
class request_trace
{
public:
    explicit request_trace(std::string id);

    // Lines of one process must come in their order; processes in any.
    void add(const log_record& record);

    // The request's lines in order of time.
    std::vector<log_record> lines() const;

    // What the router that took the request had last learned before its first
    // line: configuration, list, number of routers, links to voters.
    std::vector<log_record> beliefs() const;

    // One sentence each on what happened and why. Empty when no line names the
    // request.
    std::vector<std::string> conclusions() const;

private:
    // Failures of other requests, by backend server.
    struct failure
    {
        std::chrono::milliseconds time{0};
        std::string backend;
    };

    std::string explain_no_configuration(const log_record& end) const;
    void conclude_attempts(std::vector<std::string>& output) const;
    void
    conclude_end(const log_record& end, std::vector<std::string>& output) const;
    std::size_t
    failures_at(std::string_view backend, std::chrono::milliseconds time) const;

    std::string id_;
    std::vector<log_record> lines_;
    std::vector<log_record> beliefs_;

    // The latest by process and event, and the processes whose beliefs were
    // taken at their first line about the request.
    std::map<std::string, std::map<std::string, log_record>> latest_;
    std::set<std::string> seen_;
    std::deque<failure> failures_;
};

} // namespace hickorygap

#endif
