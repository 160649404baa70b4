#include "process/fleet_process/document_feed.hpp"

namespace hickorygap
{

namespace
{

// Share of the network link for documents. Loads and crash reports take about a
// quarter of the narrowest link; the rest is for the traffic among the voters
// or, on a relay, for callers.
constexpr double document_link_share = 0.5;

double bytes_per_second(double link_megabits_per_second)
{
    constexpr double bytes_per_megabit = 1e6 / 8;
    return link_megabits_per_second * bytes_per_megabit * document_link_share;
}

} // namespace

document_feed::document_feed(
    event_loop& loop, peer_links& links, instance_id self,
    double link_megabits_per_second, const backend_list_replica& backends)
    : loop_{loop}
    , links_{links}
    , self_{self}
    , backends_{backends}
    , transfers_{bytes_per_second(link_megabits_per_second)}
{
}

document_feed::~document_feed()
{
    loop_.cancel(transfer_timer_);
}

void document_feed::add_configuration(const filed_configuration& configuration)
{
    documents_.add(configuration);
    configuration_frames_.clear();
}

void document_feed::on_backend_list()
{
    backend_list_frames_.clear();
}

void document_feed::on_status(
    linked_router& router, const wire::router_status_msg& status)
{
    router.backend_list.on_report(
        {status.backends_epoch, status.backends_sequence});
    router.configuration.on_report(status.version);
    router.failure_domain = status.failure_domain;
    router.relay = status.relay;
    router.avoided_relay = status.avoided_relay;
    router.has_lost_services = !status.lost_services.empty();
}

void document_feed::supply(instance_id router)
{
    const link_connection* link = links_.link_from(router);
    const linked_router* state =
        link == nullptr ? nullptr : links_.router_on(*link);
    if (state == nullptr)
    {
        return;
    }
    if (state->backend_list.needs(backends_.version()))
    {
        transfers_.add({router, transfer_kind::backend_list});
    }
    if (state->configuration.needs(documents_.newest()))
    {
        transfers_.add({router, transfer_kind::configuration});
    }
    send_transfers();
}

void document_feed::offer(
    transfer_kind kind, std::span<const instance_id> routers)
{
    for (const instance_id router : routers)
    {
        transfers_.add({router, kind});
    }
    send_transfers();
}

void document_feed::send_transfers()
{
    while (const auto next = transfers_.take(loop_.now()))
    {
        transfers_.sent(send_transfer(*next));
    }
    loop_.cancel(transfer_timer_);
    if (const auto wait = transfers_.wait(loop_.now()))
    {
        transfer_timer_ = loop_.after(*wait, [this] { send_transfers(); });
    }
}

// Returns the number of bytes sent; zero when the router is no longer linked or
// has received the version meanwhile.
std::size_t document_feed::send_transfer(const transfer& item)
{
    link_connection* link = links_.link_from(item.receiver);
    linked_router* router = link == nullptr ? nullptr : links_.router_on(*link);
    if (router == nullptr)
    {
        return 0;
    }
    if (item.kind == transfer_kind::configuration)
    {
        return deliver(
            *link, router->configuration, documents_, documents_.newest(),
            configuration_frames_);
    }
    return deliver(
        *link, router->backend_list, backends_, backends_.version(),
        backend_list_frames_);
}

// Sends the changes from the version that the router holds to the newest one of
// the source. They are encoded once for all routers that hold the same version.
template <typename Version, typename Source>
std::size_t document_feed::deliver(
    link_connection& link, delivery_state<Version>& state, const Source& source,
    const Version& newest, std::map<Version, std::string>& frames)
{
    if (!state.needs(newest))
    {
        return 0;
    }
    const Version held = state.held();
    std::string& frame = frames[held];
    if (frame.empty())
    {
        frame = link_connection::encode_frame(
            self_, make_payload(*source.changes_since(held)));
    }
    state.on_sent(held, newest);
    link.send_frame(frame);
    return frame.size();
}

} // namespace hickorygap
