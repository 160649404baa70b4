#include "process/gateway/relay_link.hpp"

#include "common/logging.hpp"
#include "process/fleet_settings/fleet_settings.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

constexpr duration connect_timeout = std::chrono::milliseconds{600};

// A relay sends heartbeats every 400 ms and load totals more often. Two may be
// lost or late.
constexpr duration relay_timeout = std::chrono::milliseconds{1200};

// How long a failed relay is avoided. In this time the voters assign another
// one.
constexpr duration avoidance_time = std::chrono::seconds{5};

} // namespace

relay_link::relay_link(
    event_loop& loop, instance_id self, std::uint16_t port,
    link_observer& observer)
    : loop_{loop}
    , self_{self}
    , port_{port}
    , observer_{observer}
{
}

instance_id relay_link::avoided() const
{
    return loop_.now() < avoided_until_ ? avoided_ : 0;
}

bool relay_link::is_serving() const
{
    return link_ && link_->is_ready() && link_->peer() == relay_ &&
           loop_.now() - link_->last_input() <= relay_timeout;
}

link_connection* relay_link::serving_link()
{
    return is_serving() ? link_.get() : nullptr;
}

void relay_link::use(instance_id relay)
{
    if (relay == relay_ && link_ && link_->is_open())
    {
        return;
    }
    if (link_)
    {
        link_->close();
        loop_.destroy_later(std::move(link_));
    }
    relay_ = relay;
    if (relay == 0 || relay == avoided())
    {
        return;
    }
    dialled_at_ = loop_.now();
    link_ =
        link_connection::dial(loop_, {host_of(relay), port_}, self_, observer_);
}

bool relay_link::check()
{
    if (!link_)
    {
        return false;
    }
    const bool established = link_->is_ready() && link_->peer() == relay_;
    const bool lost =
        !link_->is_open() ||
        (established ? loop_.now() - link_->last_input() > relay_timeout
                     : loop_.now() - dialled_at_ > connect_timeout);
    if (lost)
    {
        give_up();
    }
    return lost;
}

void relay_link::on_end()
{
    give_up();
}

void relay_link::give_up()
{
    log(log_level::info, subsystem::network, "relay_lost host={}",
        host_of(relay_));
    avoided_ = relay_;
    avoided_until_ = loop_.now() + avoidance_time;
    link_->close();
    loop_.destroy_later(std::move(link_));
}

} // namespace hickorygap
