#ifndef HICKORYGAP_PROCESS_VOTER_NODE_PACED_BROADCAST_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_PACED_BROADCAST_HPP

#include "process/fleet_process/peer_links.hpp"

#include <functional>
#include <optional>

namespace hickorygap
{

// Sends messages of one kind to all routers, so that they take at most a fixed
// share of the network link; see broadcast_interval.
class paced_broadcast
{
public:
    // Both must outlive the broadcast.
    paced_broadcast(
        event_loop& loop, peer_links& links, double link_megabits_per_second);
    ~paced_broadcast();
    paced_broadcast(const paced_broadcast&) = delete;
    paced_broadcast& operator=(const paced_broadcast&) = delete;

    // Sends what the function returns, at once or when the last message has
    // passed the link. Calls until then have no effect.
    using message_function = std::function<std::optional<wire::payloadUnion>()>;
    void schedule(message_function message);

    // Sends at once.
    void send(const wire::payloadUnion& payload);

    // When the last message has passed the link.
    time_point link_free_at() const
    {
        return link_free_at_;
    }

private:
    event_loop& loop_;
    peer_links& links_;
    double link_megabits_per_second_;
    time_point link_free_at_;
    timer_id timer_ = 0;
};

} // namespace hickorygap

#endif
