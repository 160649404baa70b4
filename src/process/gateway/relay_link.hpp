#ifndef HICKORYGAP_PROCESS_GATEWAY_RELAY_LINK_HPP
#define HICKORYGAP_PROCESS_GATEWAY_RELAY_LINK_HPP

#include "connection/link/link_connection.hpp"

#include <cstdint>
#include <memory>

namespace hickorygap
{

// A router's link to the relay that the leader has assigned to it. A relay that
// can't be reached or stops responding is avoided for some time; the voters are
// told and assign another one.
class relay_link
{
public:
    relay_link(
        event_loop& loop, instance_id self, std::uint16_t port,
        link_observer& observer);

    // Connects to the relay unless it is avoided; zero for none.
    void use(instance_id relay);

    // Checks the link. True when it has just been given up.
    bool check();

    // The link was closed by the relay or broke.
    void on_end();

    bool owns(const link_connection& link) const
    {
        return link_.get() == &link;
    }

    // The link is established and the relay was heard recently.
    bool is_serving() const;

    // nullptr unless is_serving().
    link_connection* serving_link();

    // The serving relay; zero for none.
    instance_id relay() const
    {
        return is_serving() ? relay_ : 0;
    }

    // The relay that failed recently and is avoided; zero for none.
    instance_id avoided() const;

private:
    void give_up();

    event_loop& loop_;
    instance_id self_;
    std::uint16_t port_;
    link_observer& observer_;
    instance_id relay_ = 0;
    std::unique_ptr<link_connection> link_;
    time_point dialled_at_;
    instance_id avoided_ = 0;
    time_point avoided_until_;
};

} // namespace hickorygap

#endif
