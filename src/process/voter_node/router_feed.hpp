#ifndef HICKORYGAP_PROCESS_VOTER_NODE_ROUTER_FEED_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_ROUTER_FEED_HPP

#include "process/fleet_process/backend_list_reader.hpp"
#include "process/fleet_process/backend_list_replica.hpp"
#include "process/fleet_process/load_exchange.hpp"
#include "process/fleet_process/transfer_queue.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/metrics/metrics_registry.hpp"
#include "process/routing_store/document_history.hpp"
#include "process/routing_store/routing_voter.hpp"
#include "process/voter_node/voter_links.hpp"

#include <map>
#include <optional>
#include <string>

namespace hickorygap
{

// What a voter does for the routers: sends each the configuration and the list
// of backend servers that it lacks, and, as leader, reads the list and sums up
// the routers' loads.
//
// All voters send each new version, each starting at another router, and a
// router tells all of them what it holds. So the voters share the work, and
// routers that one of them does not reach get the version from the others.
class router_feed
{
public:
    router_feed(
        event_loop& loop, voter_links& links, const fleet_settings& settings,
        const backend_list_format& list_format);

    // The voter must outlive the feed.
    void start(const routing_voter& voter);

    // Looks after what is due; called at each turn of the voter.
    void tick();

    // False for messages that are not the feed's.
    bool receive(
        instance_id from, const wire::payloadUnion& payload,
        link_connection& link);

    // The voter has committed a configuration.
    void on_configuration();

    void on_leadership_change();

    // Sets the figures that are read and not counted.
    void update_metrics(metrics_registry& metrics) const;

private:
    wire::payloadUnion notice() const;
    void notify();
    void on_status(
        instance_id from, const wire::router_status_msg& status,
        link_connection& link);

    void offer(transfer_kind kind);
    void send_transfers();
    std::size_t send_transfer(const transfer& item);
    template <typename Version, typename Source>
    std::size_t deliver(
        link_connection& link, delivery_state<Version>& state,
        const Source& source, const Version& newest,
        std::map<Version, std::string>& frames);

    duration list_interval() const;
    void read_backend_list();
    void on_backend_list(absl::StatusOr<std::vector<listed_backend>> list);
    void on_backends(instance_id from, const wire::backends_push_msg& push);
    void on_new_backend_list();
    void send_to_voters(const wire::payloadUnion& payload);
    void summarize_loads();

    event_loop& loop_;
    voter_links& links_;
    instance_id self_;
    const routing_voter* voter_ = nullptr;
    double list_calls_per_second_;
    backend_list_reader list_reader_;
    backend_list_replica backends_;
    document_history documents_;
    load_aggregator loads_;

    transfer_queue transfers_;
    timer_id transfer_timer_ = 0;

    // Encoded changes from a version that routers hold to the newest one.
    std::map<configuration_version, std::string> configuration_frames_;
    std::map<backend_list_version, std::string> backend_list_frames_;

    bool list_was_read_ = true;
    time_point next_notice_;
    time_point next_list_read_;
};

} // namespace hickorygap

#endif
