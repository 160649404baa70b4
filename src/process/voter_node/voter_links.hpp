#ifndef HICKORYGAP_PROCESS_VOTER_NODE_VOTER_LINKS_HPP
#define HICKORYGAP_PROCESS_VOTER_NODE_VOTER_LINKS_HPP

#include "connection/event/listener.hpp"
#include "connection/link/link_connection.hpp"
#include "process/fleet_process/backend_list_replica.hpp"
#include "process/fleet_process/delivery_state.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickorygap
{

// What the router at the other end of a link holds or is being sent.
struct router_documents
{
    delivery_state<configuration_version> configuration;
    delivery_state<backend_list_version> backend_list;
};

// Links of a voter: it dials the other voters and sends to each over the link
// that it dialled; routers and other voters dial it. Messages may get lost.
class voter_links final : public link_observer
{
public:
    // Message that arrived, and the link for an answer to its sender.
    using message_function = std::function<void(
        instance_id, const wire::payloadUnion&, link_connection&)>;

    voter_links(
        event_loop& loop, instance_id self, std::uint16_t port,
        message_function on_message);

    // Error: unreachable, when the port can't be bound.
    absl::Status open(const std::string& host);

    // Sends to another voter, dialling it if needed.
    void send(instance_id to, const wire::payloadUnion& payload);

    // Sends to all routers that reported lately.
    void send_to_routers(const wire::payloadUnion& payload);

    // The peer at the other end is a router, which reported now. True when
    // this link was not known as a router's before.
    bool mark_router(link_connection& link);

    // The link over which an instance was heard last; nullptr for none.
    link_connection* link_from(instance_id peer);

    // Kept for each link that another instance dialled; nullptr for others.
    router_documents* documents_on(const link_connection& link);

    // Number of routers that reported lately.
    std::uint32_t routers() const;

    // Their instances, in ascending order.
    std::vector<instance_id> live_routers() const;

    void on_link_ready(link_connection& link) override;
    void on_message(link_connection& link, wire::envelope_msg message) override;
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
        router_documents documents;
    };

    void accept(const Poco::Net::StreamSocket& socket);
    bool is_live_router(const incoming_link& item) const;

    event_loop& loop_;
    instance_id self_;
    std::uint16_t port_;
    message_function on_message_;
    listener listener_;
    std::map<instance_id, outgoing_link> outgoing_;
    std::map<const link_connection*, incoming_link> incoming_;
};

} // namespace hickorygap

#endif
