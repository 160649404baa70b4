#ifndef HICKORYGAP_PROCESS_GATEWAY_STREAM_BACKUP_LINKS_HPP
#define HICKORYGAP_PROCESS_GATEWAY_STREAM_BACKUP_LINKS_HPP

#include "connection/link/link_connection.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace hickorygap
{

// Links of a router to two others, its backups. They get the software versions
// of its streams too, so that these can be resumed after the end of the router
// although it reached no voter, or only a few. See stream_backup_store for the
// other end. Backups of older releases ignore the messages.
class stream_backup_links final : public link_observer
{
public:
    // Returns all open streams of this router; nullopt if there are none.
    using streams_function =
        std::function<std::optional<wire::streams_sent_msg>()>;

    stream_backup_links(
        event_loop& loop, instance_id self, std::uint16_t port,
        streams_function open_streams);

    // Takes routers of the fleet, the nearest ones first. The first and the
    // last one are preferred, because a whole failure domain may be cut off.
    void set_candidates(std::span<const instance_id> routers);

    // Sends new streams to the backups.
    void send(const wire::streams_sent_msg& message);

    // Replaces failed links and sends heartbeats. To be called several times
    // per second. reaches_voters: this router reaches the majority of the
    // voters, so the backups need not tell them of its streams.
    void check(bool reaches_voters);

    void on_link_ready(link_connection& link) override;
    void on_message(link_connection& link, wire::envelope_msg message) override;
    void on_link_end(link_connection& link) override;

private:
    struct backup
    {
        instance_id router = 0;
        std::unique_ptr<link_connection> link;
        time_point dialled_at;
        time_point sent_at;
    };

    void send_to(backup& item, wire::streams_sent_msg message);
    void send_open_streams(backup& item);
    void drop(backup& item);
    void dial(backup& item);
    bool is_used(instance_id router) const;

    event_loop& loop_;
    instance_id self_;
    std::uint16_t port_;
    streams_function open_streams_;
    std::vector<instance_id> candidates_;
    std::array<backup, 2> backups_;

    // Routers to which a link has failed, and when.
    std::map<instance_id, time_point> failed_at_;
    bool reaches_voters_ = false;
};

} // namespace hickorygap

#endif
