#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_PEER_LINKS_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_PEER_LINKS_HPP

#include "connection/event/listener.hpp"
#include "connection/link/link_connection.hpp"
#include "process/fleet_process/backend_list_replica.hpp"
#include "process/fleet_process/delivery_state.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorygap
{

// State of the router at the other end of a link, from its reports and from
// what was sent to it.
struct linked_router
{
    delivery_state<configuration_version> configuration;
    delivery_state<backend_list_version> backend_list;

    std::string failure_domain;

    // See router_status.
    instance_id relay = 0;
    instance_id avoided_relay = 0;

    // It can't connect to the backend servers of some service.
    bool has_lost_services = false;

    // When its first report on this link arrived.
    time_point since;

    // Whether it receives documents and loads through another router.
    bool uses_relay(instance_id self) const
    {
        return relay != 0 && relay != self;
    }
};

// Links of a voter or a relay to other instances. A voter dials the other
// voters and sends to each over the link that it dialled; routers and other
// voters dial it. Messages may be lost.
class peer_links final : public link_observer
{
public:
    // Called with the sender of a message, the message, and the link over which
    // it can be answered.
    using message_function = std::function<void(
        instance_id, const wire::payloadUnion&, link_connection&)>;

    peer_links(
        event_loop& loop, instance_id self, std::uint16_t port,
        message_function on_message);

    // Sets who is told of the end of incoming links, and when one has passed
    // all its output to the kernel.
    using link_function = std::function<void(link_connection&)>;
    void set_on_incoming_end(link_function on_end);
    void set_on_incoming_drained(link_function on_drained);

    // Error: unreachable when the port can't be bound.
    absl::Status open(const std::string& host);

    // Sends to another voter and dials it if there is no open link.
    void send(instance_id to, const wire::payloadUnion& payload);

    // Sends each live router the frame that the function returns for it;
    // nothing when that is empty.
    using frame_function =
        std::function<std::string_view(instance_id, const linked_router&)>;
    void send_to_routers(const frame_function& frame_for);

    // Sends a message to all live routers. Returns the size of its frame, in
    // bytes.
    std::size_t send_to_routers(const wire::payloadUnion& payload);

    // Encodes a message of this instance for send_to_routers.
    std::string encode(const wire::payloadUnion& payload) const;

    // Marks the peer of a link as a router that has reported now. True when
    // this is its first report on the link.
    bool mark_router(link_connection& link);

    // The open incoming link over which the router reported last; nullptr when
    // there is none.
    link_connection* link_from(instance_id peer);

    // State of the router on an incoming link; nullptr for other links.
    linked_router* router_on(const link_connection& link);

    // All live routers, that is, those that have reported within the last
    // 4.5 s, in ascending order of their instances. The pointers are valid
    // until the next message or event.
    std::vector<std::pair<instance_id, const linked_router*>>
    live_routers() const;

    // Routers with an open incoming link, whether they are live or not.
    std::set<instance_id> connected() const;

    // Number of live routers.
    std::uint32_t routers() const;

    void on_link_ready(link_connection& link) override;
    void on_message(link_connection& link, wire::envelope_msg message) override;
    void on_link_drained(link_connection& link) override;
    void on_link_end(link_connection& link) override;

private:
    struct outgoing_link
    {
        std::unique_ptr<link_connection> link;
        time_point dialled_at;
    };

    struct incoming_link
    {
        std::unique_ptr<link_connection> link;
        bool is_router = false;
        time_point reported_at;
        linked_router router;
    };

    void accept(const Poco::Net::StreamSocket& socket);
    bool is_live_router(const incoming_link& item) const;

    event_loop& loop_;
    instance_id self_;
    std::uint16_t port_;
    message_function on_message_;
    link_function on_incoming_end_;
    link_function on_incoming_drained_;
    listener listener_;
    std::map<instance_id, outgoing_link> outgoing_;
    std::map<const link_connection*, incoming_link> incoming_;
};

} // namespace hickorygap

#endif
