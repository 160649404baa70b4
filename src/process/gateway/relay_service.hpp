#ifndef HICKORYGAP_PROCESS_GATEWAY_RELAY_SERVICE_HPP
#define HICKORYGAP_PROCESS_GATEWAY_RELAY_SERVICE_HPP

#include "process/fleet_process/document_feed.hpp"
#include "process/fleet_process/load_exchange.hpp"
#include "process/fleet_process/peer_links.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/gateway/stream_backup_store.hpp"
#include "process/gateway/tunnel_service.hpp"

#include <absl/status/status.h>

#include <span>
#include <vector>

namespace hickorygap
{

// What a router does as the relay of other routers: it forwards documents and
// load totals to them, and adds their loads to its own. It accepts any router
// that connects, because the assignment by the voters may reach the other
// routers first.
class relay_service
{
public:
    // The list and the codec must outlive the service.
    relay_service(
        event_loop& loop, const fleet_settings& settings,
        const backend_list_replica& backends, load_codec& codec);
    ~relay_service();

    // Hosts tunnels on the links of other routers. The tunnels must outlive the
    // service.
    void set_tunnels(tunnel_service& tunnels);

    // Keeps streams of other routers. The store must outlive the service.
    void set_stream_backups(stream_backup_store& backups);

    // Error: unreachable, when the port can't be bound.
    absl::Status open();

    // The configuration or the backend list of this router has changed.
    void on_configuration(const filed_configuration& configuration);
    void on_backend_list();

    // Forwards the load totals of the fleet.
    void on_fleet_load(const wire::load_summary_msg& summary);

    // The router's own loads added to those of the routers that it serves.
    std::vector<backend_load> sum_loads(std::vector<backend_load> own);

    std::size_t members() const
    {
        return links_.routers();
    }

private:
    void on_link_end(link_connection& link);
    void on_message(
        instance_id from, const wire::payloadUnion& payload,
        link_connection& link);
    void offer(transfer_kind kind);
    void send_heartbeats();

    event_loop& loop_;
    instance_id self_;
    std::string host_;
    peer_links links_;
    document_feed documents_;
    load_codec& codec_;
    load_aggregator loads_;
    tunnel_service* tunnels_ = nullptr;
    stream_backup_store* stream_backups_ = nullptr;
    timer_id heartbeat_timer_ = 0;
};

} // namespace hickorygap

#endif
