#ifndef HICKORYGAP_PROCESS_VOTER_NODE_ROUTER_FEED_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_ROUTER_FEED_HPP

#include "process/fleet_process/backend_list_reader.hpp"
#include "process/fleet_process/backend_list_replica.hpp"
#include "process/fleet_process/load_exchange.hpp"
#include "process/fleet_process/transfer_queue.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/routing_store/routing_voter.hpp"
#include "process/voter_node/voter_links.hpp"

#include <optional>

namespace hickorygap
{

// What a voter does for the routers: announces versions, sends configurations
// and the list of backend servers to those that ask, and, as leader, reads the
// list and sums up the routers' loads.
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

    // Tells the routers at once what this voter holds.
    void notify();

    void on_leadership_change();

private:
    wire::payloadUnion notice() const;
    void on_status(
        instance_id from, const wire::router_status_msg& status,
        link_connection& link);
    void on_backends(instance_id from, const wire::backends_push_msg& push);
    void note_sent(transfer_kind kind, sent_documents& sent) const;
    void send_transfers();
    std::optional<wire::payloadUnion> content(transfer_kind kind) const;
    void read_backend_list();
    void on_backend_list(absl::StatusOr<std::vector<listed_backend>> list);
    void send_to_voters(const wire::payloadUnion& payload);
    void summarize_loads();

    event_loop& loop_;
    voter_links& links_;
    instance_id self_;
    const routing_voter* voter_ = nullptr;
    backend_list_reader list_reader_;
    backend_list_replica backends_;
    load_aggregator loads_;
    transfer_queue transfers_;
    timer_id transfer_timer_ = 0;
    bool list_was_read_ = true;
    time_point next_notice_;
    time_point next_list_read_;
};

} // namespace hickorygap

#endif
