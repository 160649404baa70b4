#ifndef HICKORYGAP_TESTS_SCENARIOS_RUNNER_RUNNER_HPP
#define HICKORYGAP_TESTS_SCENARIOS_RUNNER_RUNNER_HPP

#include "scenarios/runner/fleet.hpp"
#include "scenarios/runner/http_exchange.hpp"
#include "scenarios/runner/script.hpp"

#include <absl/status/status.h>

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hickorygap::testing
{

// Executes a scenario; docs/scenarios.md describes the language.
class runner
{
public:
    explicit runner(fleet_options defaults);

    // Stops at the first line that fails and returns its error.
    absl::Status run(const std::vector<script_line>& lines);

private:
    absl::Status run_line(const script_line& line);
    absl::Status start(const script_line& line);
    absl::Status stop(const script_line& line);
    absl::Status signal(const script_line& line, int number);
    absl::Status cut(const script_line& line);
    absl::Status file(const script_line& line);
    absl::Status file_single_ticket(const script_line& line);
    absl::Status send(const script_line& line);
    absl::Status expect(const script_line& line);
    absl::Status expect_group(const script_line& line);
    absl::Status expect_voters(const script_line& line);
    absl::Status expect_in_force(const script_line& line);
    absl::Status expect_runs(const script_line& line);
    absl::Status expect_ready(const script_line& line);
    absl::Status expect_fleet_ready(const script_line& line);
    absl::Status expect_same_ticket(const script_line& line);
    absl::Status expect_one_engine(const script_line& line);
    absl::Status expect_served(const script_line& line);
    absl::Status expect_no_new_work(const script_line& line);
    absl::Status expect_response(const script_line& line);

    http_call make_chat(const script_line& line) const;
    http_call make_booking(const script_line& line) const;
    std::uint64_t engine_requests(const std::string& name);
    http_result& await_response(const std::string& name);
    std::vector<std::string>
    expand_names(const std::vector<std::string>& words, std::size_t first);
    std::string find_leader();
    std::string describe_placements(const std::string& chat);
    http_result get_from_operator_port(
        const std::string& instance, const std::string& path);

    // Repeats the check until it returns no problem, or fails with the last
    // problem after wait_limit. The limit is long, so that the result of a
    // scenario does not depend on the speed of the machine.
    absl::Status wait_until(
        const script_line& line, const std::function<std::string()>& problem);

    fleet_options defaults_;
    std::unique_ptr<fleet> fleet_;
    std::map<std::string, std::future<http_result>> pending_responses_;
    std::map<std::string, http_result> responses_;
    std::map<std::string, std::uint64_t> marked_requests_;
};

} // namespace hickorygap::testing

#endif
