#ifndef HICKORYGAP_PROCESS_GATEWAY_TUNNEL_CONNECTION_HPP
#define HICKORYGAP_PROCESS_GATEWAY_TUNNEL_CONNECTION_HPP

#include "connection/event/byte_channel.hpp"
#include "connection/link/link_connection.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hickorygap
{

// A tunnel whose peer acknowledges no data for this long has failed. Longer
// than for other links, because a full window counts as well: a server or a
// caller may not read for some time.
inline constexpr duration tunnel_acknowledgement_timeout =
    std::chrono::seconds{10};

// A connection to a backend server that another router, the host, has to it,
// for one request. The host passes on bytes and decides nothing but whether the
// server accepts requests from it: choice of the server, retries, limits and
// deadlines stay with the router that uses the tunnel.
class tunnel_connection final : public byte_channel, public link_observer
{
public:
    // Why the host has not connected.
    struct refusal
    {
        wire::tunnel_refusal reason = wire::tunnel_refusal::unreachable;

        // With the reason declined: how long the server accepts no requests
        // from the host.
        duration declined_for{0};
    };

    // Starts connecting to the host; on_connected or on_end(refused) of the
    // observer follows. nullptr when this fails immediately.
    static std::unique_ptr<tunnel_connection> dial(
        event_loop& loop, const numeric_address& host, instance_id self,
        backend_server_id backend, connection_observer& observer);

    // Set when the host has refused; nullopt when the host itself could not be
    // reached.
    std::optional<refusal> refused() const
    {
        return refusal_;
    }

    // Tells the host what a response announces: the server accepts no requests
    // from the host for a time, or is shutting down.
    void announce(std::optional<duration> declined_for, bool is_leaving);

    std::string& input() override
    {
        return input_;
    }

    bool has_unread_input() const override
    {
        return link_->has_unread_input();
    }
    void write(std::string_view bytes) override;

    void set_reading(bool reading) override;
    std::size_t pending_output() const override
    {
        return link_->pending_output();
    }
    bool is_open() const override
    {
        return link_ && link_->is_open();
    }
    bool is_connected() const override
    {
        return is_established_;
    }
    time_point last_input() const override
    {
        return link_->last_input();
    }
    void close() override;

    void on_link_ready(link_connection& link) override;
    void on_message(link_connection& link, wire::envelope_msg message) override;
    void on_link_end(link_connection& link) override;

private:
    tunnel_connection(backend_server_id backend, connection_observer& observer);

    void end(connection_end reason);

    backend_server_id backend_;
    connection_observer& observer_;
    std::unique_ptr<link_connection> link_;
    std::optional<refusal> refusal_;
    std::string input_;
    bool is_established_ = false;
};

} // namespace hickorygap

#endif
