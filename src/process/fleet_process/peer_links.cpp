#include "process/fleet_process/peer_links.hpp"

#include "common/logging.hpp"
#include "process/fleet_settings/fleet_settings.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// A link that is not established within this time is closed and dialled again.
constexpr duration dial_timeout = std::chrono::milliseconds{700};

// While more than this is queued on a link, further messages are dropped. Two
// of the largest configuration documents fit.
constexpr std::size_t max_pending_bytes = std::size_t{2} * 1024 * 1024;

// A router without a report for this time is not live any more. Routers report
// at least every two seconds.
constexpr duration router_report_timeout = std::chrono::milliseconds{4500};

} // namespace

peer_links::peer_links(
    event_loop& loop, instance_id self, std::uint16_t port,
    message_function on_message)
    : loop_{loop}
    , self_{self}
    , port_{port}
    , on_message_{std::move(on_message)}
    , listener_{loop, [this](const Poco::Net::StreamSocket& socket) {
                    accept(socket);
                }}
{
}

void peer_links::set_on_incoming_end(link_function on_end)
{
    on_incoming_end_ = std::move(on_end);
}

void peer_links::set_on_incoming_drained(link_function on_drained)
{
    on_incoming_drained_ = std::move(on_drained);
}

absl::Status peer_links::open(const std::string& host)
{
    return listener_.open({host, port_});
}

void peer_links::accept(const Poco::Net::StreamSocket& socket)
{
    auto link = link_connection::accepted(loop_, socket, self_, *this);
    const link_connection* key = link.get();
    incoming_[key].link = std::move(link);
}

void peer_links::send(instance_id to, const wire::payloadUnion& payload)
{
    outgoing_link& item = outgoing_[to];
    if (item.link && item.link->is_open() && !item.link->is_ready() &&
        loop_.now() - item.dialled_at > dial_timeout)
    {
        item.link->close();
    }
    if (!item.link || !item.link->is_open())
    {
        // A peer that refuses connections is not dialled again for each
        // message.
        if (item.link && loop_.now() - item.dialled_at < dial_timeout / 2)
        {
            return;
        }
        if (item.link)
        {
            loop_.destroy_later(std::move(item.link));
        }
        item.dialled_at = loop_.now();
        item.link =
            link_connection::dial(loop_, {host_of(to), port_}, self_, *this);
        if (!item.link)
        {
            return;
        }
    }
    if (item.link->pending_output() <= max_pending_bytes)
    {
        item.link->send(payload);
    }
}

bool peer_links::is_live_router(const incoming_link& item) const
{
    return item.is_router && item.link->is_open() &&
           loop_.now() - item.reported_at <= router_report_timeout;
}

void peer_links::send_to_routers(const frame_function& frame_for)
{
    for (auto& [key, item] : incoming_)
    {
        if (is_live_router(item) &&
            item.link->pending_output() <= max_pending_bytes)
        {
            const std::string_view frame =
                frame_for(item.link->peer(), item.router);
            if (!frame.empty())
            {
                item.link->send_frame(frame);
            }
        }
    }
}

std::size_t peer_links::send_to_routers(const wire::payloadUnion& payload)
{
    const std::string frame = encode(payload);
    send_to_routers([&frame](instance_id, const linked_router&)
                    { return std::string_view{frame}; });
    return frame.size();
}

std::string peer_links::encode(const wire::payloadUnion& payload) const
{
    return link_connection::encode_frame(self_, payload);
}

bool peer_links::mark_router(link_connection& link)
{
    const auto found = incoming_.find(&link);
    if (found == incoming_.end())
    {
        return false;
    }
    const bool is_new = !found->second.is_router;
    if (is_new)
    {
        log(log_level::info, subsystem::network, "router_connected host={}",
            host_of(link.peer()));
    }
    if (is_new)
    {
        found->second.router.since = loop_.now();
    }
    found->second.is_router = true;
    found->second.reported_at = loop_.now();
    return is_new;
}

link_connection* peer_links::link_from(instance_id peer)
{
    link_connection* newest = nullptr;
    for (const auto& [key, item] : incoming_)
    {
        link_connection* link = item.link.get();
        if (item.is_router && link->is_open() && link->peer() == peer &&
            (newest == nullptr || link->last_input() > newest->last_input()))
        {
            newest = link;
        }
    }
    return newest;
}

std::uint32_t peer_links::routers() const
{
    return static_cast<std::uint32_t>(live_routers().size());
}

linked_router* peer_links::router_on(const link_connection& link)
{
    const auto found = incoming_.find(&link);
    return found == incoming_.end() ? nullptr : &found->second.router;
}

std::vector<std::pair<instance_id, const linked_router*>>
peer_links::live_routers() const
{
    // A router that has just connected again may still have an old link.
    std::map<instance_id, const incoming_link*> newest;
    for (const auto& [key, item] : incoming_)
    {
        const incoming_link*& known = newest[item.link->peer()];
        if (is_live_router(item) &&
            (known == nullptr || known->reported_at < item.reported_at))
        {
            known = &item;
        }
    }
    std::vector<std::pair<instance_id, const linked_router*>> result;
    for (const auto& [instance, item] : newest)
    {
        if (item != nullptr)
        {
            result.emplace_back(instance, &item->router);
        }
    }
    return result;
}

std::set<instance_id> peer_links::connected() const
{
    std::set<instance_id> result;
    for (const auto& [key, item] : incoming_)
    {
        if (item.is_router && item.link->is_open())
        {
            result.insert(item.link->peer());
        }
    }
    return result;
}

void peer_links::on_link_ready(link_connection& /*link*/)
{
}

void peer_links::on_message(link_connection& link, wire::envelope_msg message)
{
    on_message_(message.sender, message.payload, link);
}

void peer_links::on_link_drained(link_connection& link)
{
    if (on_incoming_drained_ && incoming_.contains(&link))
    {
        on_incoming_drained_(link);
    }
}

void peer_links::on_link_end(link_connection& link)
{
    const auto found = incoming_.find(&link);
    if (found == incoming_.end())
    {
        return;
    }
    if (on_incoming_end_)
    {
        on_incoming_end_(link);
    }
    if (found->second.is_router)
    {
        log(log_level::info, subsystem::network, "router_lost host={}",
            host_of(link.peer()));
    }
    loop_.destroy_later(std::move(found->second.link));
    incoming_.erase(found);
}

} // namespace hickorygap
