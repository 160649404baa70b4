#ifndef HICKORYGAP_PROCESS_CONTROL_CONTROL_NODE_HPP
#define HICKORYGAP_PROCESS_CONTROL_CONTROL_NODE_HPP

#include "process/control/burn_rate_exchange.hpp"
#include "process/control/clock_reading.hpp"
#include "process/control/configuration_tracker.hpp"
#include "process/control/decision_record_service.hpp"
#include "process/control/quarantine_exchange.hpp"
#include "process/control/readiness_rule.hpp"
#include "process/membership/membership.hpp"
#include "process/membership/version_log_file.hpp"
#include "process/membership/version_sync.hpp"
#include "process/replicated_state/proposal_client.hpp"
#include "process/replicated_state/voter.hpp"
#include "request/blame/shared_blame_tracker.hpp"
#include "request/placement/placement_service.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace hickorygap
{

struct control_node_options
{
    instance_id self = 0;
    std::string failure_domain;

    // Control address of this instance, "host:port".
    std::string address;
    incarnation_number incarnation = 0;

    // Voters until a ticket sets another list.
    std::vector<instance_id> voters;
    std::vector<seed_member> seeds;

    // Whether this voter may start a new fleet with an empty log.
    bool bootstrap = false;

    // Empty on an instance without a disk.
    std::string data_folder;
    duration freshness{std::chrono::seconds{10}};
    cell_owner_limits cell_limits;
    call_record_options calls;
    decision_recorder_options recorder;
    decision_store::options decision_store_limits;
    std::uint64_t seed = 0;
};

// All control state of one instance: membership, configuration, placement and,
// on a voter, the replicated log. A deterministic state machine apart from the
// files in the data folder: its inputs are messages, calls and clock readings,
// its outputs messages and results. Used by the control thread only, except
// where noted.
class control_node
{
public:
    // Reads the data folder. Errors: storage_damaged, storage_failed.
    static absl::StatusOr<std::unique_ptr<control_node>> open(
        control_node_options options, shared_blame_tracker& blame,
        burn_windows& burn, const clock_reading& now);

    void receive(
        instance_id from, incarnation_number incarnation,
        const wire::payloadUnion& payload, const clock_reading& now);

    // Runs timers, applies accepted tickets, and syncs to disk the state that
    // outgoing messages acknowledge. To be called after each batch of received
    // messages. Error: storage_damaged; this instance must stop.
    absl::Status advance(const clock_reading& now);

    std::vector<outgoing_message> take_outgoing();

    placement_service& placement()
    {
        return placement_;
    }
    const placement_service& placement() const
    {
        return placement_;
    }
    proposal_client& proposals()
    {
        return proposals_;
    }
    const membership& members() const
    {
        return membership_;
    }
    membership& members()
    {
        return membership_;
    }
    const version_sync& versions() const
    {
        return versions_;
    }
    const control_node_options& options() const
    {
        return options_;
    }

    // Null on an instance that is not a voter.
    const voter* replica() const
    {
        return voter_.get();
    }

    // Safe from any thread.
    configuration_ptr current_configuration() const
    {
        return configuration_.current();
    }
    readiness current_readiness() const
    {
        return readiness_.load();
    }

    // Store of decision records; null on an instance without one. Safe from
    // any thread as long as this object lives.
    const decision_store* decisions() const
    {
        return decisions_->store();
    }

    // When the current version came into force on this instance.
    unix_millis version_since() const
    {
        return configuration_.since();
    }

    std::span<const instance_id> voters() const
    {
        return voters_;
    }

    // Starts a graceful shutdown: the instance refuses new work and hands its
    // cells over to other owners.
    void begin_drain(const clock_reading& now);

    // Announces to the other members that this instance has left the fleet.
    void leave(const clock_reading& now);

    // Problems to show to an operator, one sentence each; empty when there are
    // none.
    std::vector<std::string> conditions(const clock_reading& now) const;

private:
    control_node(
        control_node_options options, shared_blame_tracker& blame,
        burn_windows& burn, const clock_reading& now);

    absl::Status open_storage(const clock_reading& now);
    absl::Status open_voter(const clock_reading& now);
    absl::Status open_decisions();
    std::vector<instance_id> live_voters() const;
    absl::Status apply_versions(const clock_reading& now);
    void add_accepted_tickets();
    void on_new_configuration(const clock_reading& now);
    void update_members(const clock_reading& now);
    void update_readiness(const clock_reading& now);
    absl::Status check_acceptance(time_point now) const;
    absl::Status check_creation() const;
    std::vector<instance_id> find_cell_owners() const;
    void update_incarnation(instance_id from, incarnation_number incarnation);

    template <typename Component>
    void collect_outgoing(Component& component);

    control_node_options options_;
    quarantine_exchange quarantine_exchange_;
    membership membership_;
    version_sync versions_;
    proposal_client proposals_;
    placement_service placement_;
    configuration_tracker configuration_;
    readiness_rule readiness_rule_;
    std::atomic<readiness> readiness_{readiness::starting};
    burn_rate_exchange burn_rate_exchange_;
    std::unique_ptr<decision_record_service> decisions_;
    std::unique_ptr<voter> voter_;
    std::unique_ptr<version_log_file> version_log_;

    // Documents that are not written to disk yet, and so not applied.
    std::vector<version_document_ptr> unapplied_;
    std::vector<instance_id> voters_;
    std::vector<instance_id> live_members_;
    std::vector<instance_id> cell_owners_;

    // Incarnation of the newest process of each instance, from its messages.
    std::map<instance_id, incarnation_number> incarnations_;
    bool draining_ = false;
    time_point last_advance_;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
