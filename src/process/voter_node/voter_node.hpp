#ifndef HICKORYGAP_PROCESS_VOTER_NODE_VOTER_NODE_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_VOTER_NODE_HPP

#include "process/fleet_process/fleet_node.hpp"
#include "process/fleet_process/peer_links.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/metrics/metrics_registry.hpp"
#include "process/routing_store/routing_voter.hpp"
#include "process/voter_node/operator_service.hpp"
#include "process/voter_node/router_feed.hpp"
#include "version/routing/configuration_format.hpp"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hickorygap
{

// Platform-specific formats of the documents and requests that a voter handles.
// All must outlive the voter.
struct voter_dialects
{
    const configuration_format* configurations = nullptr;
    const backend_list_format* backend_list = nullptr;
    const operator_dialect* operators = nullptr;
};

// A voter process, which replicates the routing configuration. operator_service
// serves operators and router_feed serves routers.
class voter_node final : public fleet_node
{
public:
    voter_node(
        event_loop& loop, fleet_settings settings, voter_dialects dialects);
    ~voter_node() override;

    absl::Status open() override;
    void reload(const fleet_settings& settings) override;

    // Stops the loop once the group does without this voter, or after a time
    // limit, and after a short grace period for open filings.
    void shut_down() override;

    // Error of an unusable log or state that stopped the voter, or OK.
    absl::Status failure() const override
    {
        return failure_;
    }

    std::string metrics_text() override;

private:
    void tick();
    void schedule_flush();
    void flush_and_send();
    void on_message(
        instance_id from, const wire::payloadUnion& payload,
        link_connection& link);

    void check_leadership_change();
    void request_membership();
    void end_when_left(time_point deadline);

    event_loop& loop_;
    fleet_settings settings_;
    voter_dialects dialects_;
    instance_id self_;
    metrics_registry metrics_;
    std::unique_ptr<routing_voter> voter_;
    peer_links links_;
    operator_service operators_;
    router_feed feed_;

    bool flush_scheduled_ = false;
    bool was_leader_ = false;
    configuration_version committed_version_ = 0;
    time_point next_membership_request_;
    absl::Status failure_;
};

} // namespace hickorygap

#endif
