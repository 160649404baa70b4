#include "process/gateway/relay_service.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

// Routers give up a relay after 1.2 s without a message.
constexpr duration heartbeat_interval = std::chrono::milliseconds{400};

} // namespace

relay_service::relay_service(
    event_loop& loop, const fleet_settings& settings,
    const backend_list_replica& backends, load_codec& codec)
    : loop_{loop}
    , self_{instance_at(settings.instance.host)}
    , host_{settings.instance.host}
    , links_{
          loop, self_, settings.peers.port,
          [this](
              instance_id from, const wire::payloadUnion& payload,
              link_connection& link) { on_message(from, payload, link); }}
    , documents_{
          loop, links_, self_, settings.peers.link_megabits_per_second,
          backends}
    , codec_{codec}
{
    links_.set_on_incoming_end([this](link_connection& link)
                               { on_link_end(link); });
}

relay_service::~relay_service()
{
    loop_.cancel(heartbeat_timer_);
}

void relay_service::set_tunnels(tunnel_service& tunnels)
{
    tunnels_ = &tunnels;
    links_.set_on_incoming_drained([&tunnels](link_connection& link)
                                   { tunnels.on_link_drained(link); });
}

void relay_service::set_stream_backups(stream_backup_store& backups)
{
    stream_backups_ = &backups;
}

void relay_service::on_link_end(link_connection& link)
{
    if (tunnels_ != nullptr)
    {
        tunnels_->on_link_end(link);
    }
    if (stream_backups_ != nullptr)
    {
        stream_backups_->on_link_end(&link);
    }
}

absl::Status relay_service::open()
{
    absl::Status status = links_.open(host_);
    if (status.ok())
    {
        send_heartbeats();
    }
    return status;
}

void relay_service::send_heartbeats()
{
    heartbeat_timer_ =
        loop_.after(heartbeat_interval, [this] { send_heartbeats(); });
    links_.send_to_routers(make_payload(wire::relay_heartbeat_msg{}));
}

void relay_service::on_message(
    instance_id from, const wire::payloadUnion& payload, link_connection& link)
{
    if (const auto* status = message_in<wire::router_status_msg>(payload))
    {
        const bool is_new = links_.mark_router(link);
        linked_router* router = links_.router_on(link);
        if (router == nullptr)
        {
            return;
        }
        documents_.on_status(*router, *status);
        if (is_new)
        {
            link.send(make_payload(wire::relay_heartbeat_msg{}));
        }
        documents_.supply(from);
    }
    else if (const auto* report = message_in<wire::load_report_msg>(payload))
    {
        if (auto loads = codec_.decode(*report))
        {
            loads_.set(from, *std::move(loads), loop_.now());
        }
    }
    else if (const auto* streams = message_in<wire::streams_sent_msg>(payload))
    {
        if (stream_backups_ != nullptr)
        {
            stream_backups_->receive(&link, *streams);
        }
    }
    else if (tunnels_ != nullptr)
    {
        tunnels_->receive(payload, link);
    }
}

void relay_service::offer(transfer_kind kind)
{
    std::vector<instance_id> routers;
    for (const auto& [router, state] : links_.live_routers())
    {
        routers.push_back(router);
    }
    documents_.offer(kind, routers);
}

void relay_service::on_configuration(const filed_configuration& configuration)
{
    documents_.add_configuration(configuration);
    offer(transfer_kind::configuration);
}

void relay_service::on_backend_list()
{
    documents_.on_backend_list();
    offer(transfer_kind::backend_list);
}

void relay_service::on_fleet_load(const wire::load_summary_msg& summary)
{
    if (members() > 0)
    {
        links_.send_to_routers(make_payload(summary));
    }
}

std::vector<backend_load>
relay_service::sum_loads(std::vector<backend_load> own)
{
    std::set<instance_id> present = links_.connected();
    present.insert(self_);
    loads_.set(self_, std::move(own), loop_.now());
    loads_.keep_only(present);
    return loads_.take_sum(loop_.now());
}

} // namespace hickorygap
