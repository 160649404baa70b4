#ifndef HICKORYGAP_PROCESS_GATEWAY_TUNNEL_SERVICE_HPP
#define HICKORYGAP_PROCESS_GATEWAY_TUNNEL_SERVICE_HPP

#include "connection/event/server_dialer.hpp"
#include "connection/link/link_connection.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace hickorygap
{

// What the host of tunnels knows of backend servers.
class tunnel_directory
{
public:
    tunnel_directory() = default;
    tunnel_directory(const tunnel_directory&) = delete;
    tunnel_directory& operator=(const tunnel_directory&) = delete;
    virtual ~tunnel_directory() = default;

    // The address of the server, or why no request may be sent to it now.
    using admission = std::variant<numeric_address, wire::tunnel_refused_msg>;
    virtual admission admit(backend_server_id backend) const = 0;

    // Outcome of an attempt to connect to the server.
    virtual void on_connected(backend_server_id backend) = 0;
    virtual void on_unreachable(backend_server_id backend) = 0;

    // What the server has announced to this instance through a tunnel.
    virtual void on_announcement(
        backend_server_id backend,
        const wire::tunnel_announcement_msg& announcement) = 0;
};

// Hosts tunnels: connections to backend servers for routers that can't connect
// to them. See tunnel_connection.
class tunnel_service
{
public:
    // The directory and the dialer must outlive the service.
    tunnel_service(
        event_loop& loop, tunnel_directory& directory, server_dialer& dialer);
    ~tunnel_service();

    // Handles a message of the router that has dialled the link. False when the
    // message does not concern tunnels.
    bool receive(const wire::payloadUnion& payload, link_connection& link);

    void on_link_drained(link_connection& link);
    void on_link_end(link_connection& link);

    // Refuses new tunnels from now on.
    void drain();

    // Tunnels that are open; each has a request in progress.
    std::size_t size() const
    {
        return tunnels_.size();
    }

private:
    class tunnel;

    void open(backend_server_id backend, link_connection& link);
    static void
    refuse(link_connection& link, const wire::tunnel_refused_msg& refusal);
    void remove(const link_connection& link);

    event_loop& loop_;
    tunnel_directory& directory_;
    server_dialer& dialer_;
    std::map<const link_connection*, std::unique_ptr<tunnel>> tunnels_;
    bool is_draining_ = false;
};

} // namespace hickorygap

#endif
