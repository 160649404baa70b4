#include "process/voter_node/paced_broadcast.hpp"

#include "process/fleet_process/load_exchange.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

paced_broadcast::paced_broadcast(
    event_loop& loop, peer_links& links, double link_megabits_per_second)
    : loop_{loop}
    , links_{links}
    , link_megabits_per_second_{link_megabits_per_second}
{
}

paced_broadcast::~paced_broadcast()
{
    loop_.cancel(timer_);
}

void paced_broadcast::schedule(message_function message)
{
    if (timer_ != 0)
    {
        return;
    }
    timer_ = loop_.after(
        std::max(link_free_at_ - loop_.now(), duration{0}),
        [this, message = std::move(message)]
        {
            timer_ = 0;
            if (const auto payload = message())
            {
                send(*payload);
            }
        });
}

void paced_broadcast::send(const wire::payloadUnion& payload)
{
    const std::size_t bytes = links_.send_to_routers(payload);
    link_free_at_ =
        loop_.now() +
        broadcast_interval(links_.routers(), bytes, link_megabits_per_second_);
}

} // namespace hickorygap
