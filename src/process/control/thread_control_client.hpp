#ifndef HICKORYGAP_PROCESS_CONTROL_THREAD_CONTROL_CLIENT_HPP
#define HICKORYGAP_PROCESS_CONTROL_THREAD_CONTROL_CLIENT_HPP

#include "process/control/control_thread.hpp"
#include "request/attempt/control_client.hpp"

namespace hickorygap
{

// Forwards the requests of traffic threads to the control thread and waits for
// its results.
class thread_control_client final : public control_client
{
public:
    // Called on a traffic thread with each finished attempt and with each
    // refused query, for metrics.
    using report_observer = std::function<void(const attempt_report&)>;
    using refusal_observer = std::function<void(const placement_query&)>;

    thread_control_client(
        control_thread& control, shared_blame_tracker& blame,
        incarnation_number incarnation, instance_id self);

    void set_report_observer(report_observer observer)
    {
        report_observer_ = std::move(observer);
    }
    void set_refusal_observer(refusal_observer observer)
    {
        refusal_observer_ = std::move(observer);
    }

    configuration_ptr current_configuration() const override;
    readiness current_readiness() const override;
    placement_decision
    place(const placement_query& query, const cancel_check& cancelled) override;
    void finish(const attempt_report& report) override;
    absl::StatusOr<call_permission>
    begin_call(const idempotent_call& call, time_point deadline) override;
    absl::Status end_call(
        const idempotent_call& call,
        const recorded_response* response) override;
    duration quarantined_for(request_fingerprint fingerprint) const override;

private:
    void report_refusal(
        const placement_query& query, const placement_decision& decision);
    wire::call_intent_msg make_intent(const idempotent_call& call);

    control_thread& control_;
    shared_blame_tracker& blame_;
    incarnation_number incarnation_;
    instance_id self_;
    report_observer report_observer_;
    refusal_observer refusal_observer_;
};

} // namespace hickorygap

#endif
