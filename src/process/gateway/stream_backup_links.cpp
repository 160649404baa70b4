#include "process/gateway/stream_backup_links.hpp"

#include "common/logging.hpp"
#include "process/fleet_settings/fleet_settings.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

constexpr duration connect_timeout = std::chrono::milliseconds{600};

// Backups wait for two heartbeats, see stream_backup_store.
constexpr duration heartbeat_interval = std::chrono::seconds{1};

// A router to which a link has failed is not dialled again for this time if
// there are others.
constexpr duration avoidance_time = std::chrono::seconds{3};

// A backup that does not read is given up before more than this waits for it.
constexpr std::size_t max_pending_bytes = std::size_t{64} * 1024;

} // namespace

stream_backup_links::stream_backup_links(
    event_loop& loop, instance_id self, std::uint16_t port,
    streams_function open_streams)
    : loop_{loop}
    , self_{self}
    , port_{port}
    , open_streams_{std::move(open_streams)}
{
}

void stream_backup_links::set_candidates(std::span<const instance_id> routers)
{
    if (!routers.empty())
    {
        candidates_.assign(routers.begin(), routers.end());
        std::erase(candidates_, self_);
    }
}

void stream_backup_links::send(const wire::streams_sent_msg& message)
{
    for (backup& item : backups_)
    {
        if (item.link && item.link->is_ready())
        {
            send_to(item, message);
        }
    }
}

// A message without streams is a heartbeat.
void stream_backup_links::send_to(backup& item, wire::streams_sent_msg message)
{
    message.is_backup = reaches_voters_;
    item.link->send(make_payload(std::move(message)));
    item.sent_at = loop_.now();
}

void stream_backup_links::send_open_streams(backup& item)
{
    send_to(item, open_streams_().value_or(wire::streams_sent_msg{}));
}

void stream_backup_links::check(bool reaches_voters)
{
    const bool has_changed =
        std::exchange(reaches_voters_, reaches_voters) != reaches_voters;
    const time_point now = loop_.now();
    std::erase_if(
        failed_at_,
        [&](const auto& item) { return now - item.second > avoidance_time; });
    for (backup& item : backups_)
    {
        const bool is_ready = item.link && item.link->is_ready();
        const bool has_failed =
            item.link &&
            (is_ready ? item.link->pending_output() > max_pending_bytes
                      : now - item.dialled_at > connect_timeout);
        if (has_failed)
        {
            drop(item);
        }
        if (!item.link)
        {
            dial(item);
        }
        else if (is_ready && has_changed)
        {
            send_open_streams(item);
        }
        else if (is_ready && now - item.sent_at >= heartbeat_interval)
        {
            send_to(item, {});
        }
    }
}

bool stream_backup_links::is_used(instance_id router) const
{
    return std::ranges::any_of(
        backups_,
        [&](const backup& item) { return item.link && item.router == router; });
}

void stream_backup_links::drop(backup& item)
{
    log(log_level::info, subsystem::network, "stream_backup_lost host={}",
        host_of(item.router));
    failed_at_[item.router] = loop_.now();
    item.link->close();
    loop_.destroy_later(std::move(item.link));
}

void stream_backup_links::dial(backup& item)
{
    std::vector<instance_id> order = candidates_;
    if (&item != &backups_.front())
    {
        std::ranges::reverse(order);
    }
    // Routers that have failed lately come last.
    std::stable_partition(
        order.begin(), order.end(),
        [this](instance_id router) { return !failed_at_.contains(router); });
    const auto chosen = std::ranges::find_if(
        order, [this](instance_id router) { return !is_used(router); });
    if (chosen == order.end())
    {
        return;
    }
    item.router = *chosen;
    item.dialled_at = loop_.now();
    item.link =
        link_connection::dial(loop_, {host_of(*chosen), port_}, self_, *this);
}

void stream_backup_links::on_link_ready(link_connection& link)
{
    for (backup& item : backups_)
    {
        if (item.link.get() == &link)
        {
            send_open_streams(item);
        }
    }
}

// Backups send nothing.
void stream_backup_links::on_message(
    link_connection& /*link*/, wire::envelope_msg /*message*/)
{
}

void stream_backup_links::on_link_end(link_connection& link)
{
    for (backup& item : backups_)
    {
        if (item.link.get() == &link)
        {
            drop(item);
        }
    }
}

} // namespace hickorygap
