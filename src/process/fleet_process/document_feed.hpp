#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_DOCUMENT_FEED_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_DOCUMENT_FEED_HPP

#include "process/fleet_process/backend_list_replica.hpp"
#include "process/fleet_process/peer_links.hpp"
#include "process/fleet_process/transfer_queue.hpp"
#include "process/routing_store/document_history.hpp"

#include <map>
#include <span>
#include <string>

namespace hickorygap
{

// Sends the configuration and the list of backend servers to the routers that
// lack the newest version, as deltas where possible and at a limited rate. Runs
// on voters and on routers that are relays.
class document_feed
{
public:
    // The list of backend servers must outlive the feed.
    document_feed(
        event_loop& loop, peer_links& links, instance_id self,
        double link_megabits_per_second, const backend_list_replica& backends);
    ~document_feed();

    // Adds a newer configuration to send.
    void add_configuration(const filed_configuration& configuration);

    // To be called when the list of backend servers has a new version.
    void on_backend_list();

    // Updates what is known of a router from its status report.
    void
    on_status(linked_router& router, const wire::router_status_msg& status);

    // Queues the documents whose newest version the router lacks.
    void supply(instance_id router);

    // Queues the newest version of a document for these routers, in this order.
    // Nothing is sent to those that have it by the time of their transfer.
    void offer(transfer_kind kind, std::span<const instance_id> routers);

    std::size_t waiting() const
    {
        return transfers_.size();
    }

    configuration_version newest_configuration() const
    {
        return documents_.newest();
    }

private:
    void send_transfers();
    std::size_t send_transfer(const transfer& item);
    template <typename Version, typename Source>
    std::size_t deliver(
        link_connection& link, delivery_state<Version>& state,
        const Source& source, const Version& newest,
        std::map<Version, std::string>& frames);

    event_loop& loop_;
    peer_links& links_;
    instance_id self_;
    const backend_list_replica& backends_;
    document_history documents_;
    transfer_queue transfers_;
    timer_id transfer_timer_ = 0;

    // Encoded frames with the changes to the newest version, by the version
    // from which they start.
    std::map<configuration_version, std::string> configuration_frames_;
    std::map<backend_list_version, std::string> backend_list_frames_;
};

} // namespace hickorygap

#endif
