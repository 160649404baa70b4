#ifndef HICKORYGAP_PROCESS_CONTROL_THREAD_OPERATOR_CLIENT_HPP
#define HICKORYGAP_PROCESS_CONTROL_THREAD_OPERATOR_CLIENT_HPP

#include "process/control/control_thread.hpp"
#include "process/operators/operator_client.hpp"

namespace hickorygap
{

// Answers operators' requests from the state of the control thread.
class thread_operator_client final : public operator_client
{
public:
    // The windows must outlive the client.
    thread_operator_client(
        control_thread& control, const burn_windows& burn, double error_budget,
        std::string name);

    absl::StatusOr<ticket_receipt> file_ticket(std::string_view text) override;
    absl::StatusOr<std::vector<accepted_ticket>> tickets() override;
    absl::StatusOr<std::optional<accepted_ticket>>
    ticket(configuration_version number) override;
    absl::StatusOr<in_force_report> in_force() override;
    absl::StatusOr<instance_status> status() override;
    absl::StatusOr<decision_list>
    decisions(const decision_query& query) override;
    absl::StatusOr<burn_report> burn() override;

private:
    control_thread& control_;
    const burn_windows& burn_;
    double error_budget_;
    std::string name_;
};

} // namespace hickorygap

#endif
