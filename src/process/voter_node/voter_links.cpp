#include "process/voter_node/voter_links.hpp"

#include "common/logging.hpp"
#include "process/fleet_settings/fleet_settings.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// A dialled link that does not stand after this time is dialled again.
constexpr duration dial_limit = std::chrono::milliseconds{700};

// Bytes that wait on a link before further messages are dropped. Two of the
// largest configuration documents fit.
constexpr std::size_t max_pending = std::size_t{2} * 1024 * 1024;

// A router reports at least each second; after this time it is taken for gone.
constexpr duration router_expiry = std::chrono::milliseconds{3500};

} // namespace

voter_links::voter_links(
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

absl::Status voter_links::open(const std::string& host)
{
    return listener_.open({host, port_});
}

void voter_links::accept(const Poco::Net::StreamSocket& socket)
{
    auto link = link_connection::accepted(loop_, socket, self_, *this);
    const link_connection* key = link.get();
    incoming_[key].link = std::move(link);
}

void voter_links::send(instance_id to, const wire::payloadUnion& payload)
{
    outgoing_link& item = outgoing_[to];
    if (item.link && item.link->is_open() && !item.link->is_ready() &&
        loop_.now() - item.dialled_at > dial_limit)
    {
        item.link->close();
    }
    if (!item.link || !item.link->is_open())
    {
        // A peer that refuses is not dialled again at each message.
        if (item.link && loop_.now() - item.dialled_at < dial_limit / 2)
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
    if (item.link->pending_output() <= max_pending)
    {
        item.link->send(payload);
    }
}

bool voter_links::is_live_router(const incoming_link& item) const
{
    return item.is_router && item.link->is_open() &&
           loop_.now() - item.reported_at <= router_expiry;
}

void voter_links::send_to_routers(const wire::payloadUnion& payload)
{
    const std::string frame = link_connection::encode_frame(self_, payload);
    for (auto& [key, item] : incoming_)
    {
        if (is_live_router(item) && item.link->pending_output() <= max_pending)
        {
            item.link->send_frame(frame);
        }
    }
}

bool voter_links::mark_router(link_connection& link)
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
    found->second.is_router = true;
    found->second.reported_at = loop_.now();
    return is_new;
}

link_connection* voter_links::link_from(instance_id peer)
{
    link_connection* newest = nullptr;
    for (const auto& [key, item] : incoming_)
    {
        link_connection* link = item.link.get();
        if (link->is_open() && link->peer() == peer &&
            (newest == nullptr || link->last_input() > newest->last_input()))
        {
            newest = link;
        }
    }
    return newest;
}

std::uint32_t voter_links::routers() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        incoming_,
        [this](const auto& item) { return is_live_router(item.second); }));
}

router_documents* voter_links::documents_on(const link_connection& link)
{
    const auto found = incoming_.find(&link);
    return found == incoming_.end() ? nullptr : &found->second.documents;
}

std::vector<instance_id> voter_links::live_routers() const
{
    std::vector<instance_id> result;
    for (const auto& [key, item] : incoming_)
    {
        if (is_live_router(item))
        {
            result.push_back(item.link->peer());
        }
    }
    std::ranges::sort(result);
    // A router that has just dialled anew may have an old link.
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

void voter_links::on_link_ready(link_connection& /*link*/)
{
}

void voter_links::on_message(link_connection& link, wire::envelope_msg message)
{
    on_message_(message.sender, message.payload, link);
}

void voter_links::on_link_end(link_connection& link)
{
    const auto found = incoming_.find(&link);
    if (found == incoming_.end())
    {
        return;
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
