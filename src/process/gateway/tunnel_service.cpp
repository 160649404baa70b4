#include "process/gateway/tunnel_service.hpp"

#include "common/logging.hpp"
#include "common/status_text.hpp"
#include "process/fleet_settings/fleet_settings.hpp"
#include "process/gateway/tunnel_connection.hpp"

#include <string>
#include <utility>

namespace hickorygap
{

namespace
{

// Shorter than the time for which the other router waits for the tunnel.
constexpr duration connect_timeout = std::chrono::milliseconds{100};

// Reading from one side pauses while more bytes than this wait for the other.
constexpr std::size_t max_pending_bytes = std::size_t{128} * 1024;

wire::tunnel_refused_msg refusal_because(wire::tunnel_refusal reason)
{
    wire::tunnel_refused_msg refusal;
    refusal.reason = reason;
    return refusal;
}

} // namespace

// One tunnel: the connection to the backend server, and the link to the router
// that uses it.
class tunnel_service::tunnel final : public connection_observer
{
public:
    tunnel(
        tunnel_service& owner, backend_server_id backend, link_connection& link)
        : owner_{owner}
        , backend_{backend}
        , link_{link}
    {
    }

    // Error: unreachable, when connecting fails immediately.
    absl::Status connect(const numeric_address& address)
    {
        auto connection = owner_.dialer_.dial(owner_.loop_, address, *this);
        if (!connection.ok())
        {
            return connection.status();
        }
        connection_ = *std::move(connection);
        dial_timer_ = owner_.loop_.after(
            connect_timeout, [this] { on_end(connection_end::refused); });
        return absl::OkStatus();
    }

    void close()
    {
        owner_.loop_.cancel(dial_timer_);
        connection_->close();
    }

    backend_server_id backend() const
    {
        return backend_;
    }

    void send(const std::vector<std::uint8_t>& bytes)
    {
        connection_->write(
            {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
        if (connection_->pending_output() > max_pending_bytes)
        {
            link_.set_reading(false);
        }
    }

    void on_link_drained()
    {
        connection_->set_reading(true);
    }

    void on_connected() override
    {
        owner_.loop_.cancel(dial_timer_);
        owner_.directory_.on_connected(backend_);
        link_.send(make_payload(wire::tunnel_opened_msg{}));
    }

    void on_input() override
    {
        wire::tunnel_data_msg message;
        std::string& input = connection_->input();
        message.bytes.assign(input.begin(), input.end());
        input.clear();
        link_.send(make_payload(std::move(message)));
        if (link_.pending_output() > max_pending_bytes)
        {
            connection_->set_reading(false);
        }
    }

    void on_drained() override
    {
        link_.set_reading(true);
    }

    void on_end(connection_end end) override
    {
        close();
        link_.set_reading(true);
        if (end == connection_end::refused)
        {
            owner_.directory_.on_unreachable(backend_);
            refuse(link_, refusal_because(wire::tunnel_refusal::unreachable));
        }
        else
        {
            wire::tunnel_closed_msg message;
            message.is_reset = end == connection_end::reset;
            link_.send(make_payload(message));
        }
        owner_.remove(link_);
    }

private:
    tunnel_service& owner_;
    backend_server_id backend_;
    link_connection& link_;
    std::unique_ptr<byte_channel> connection_;
    timer_id dial_timer_ = 0;
};

tunnel_service::tunnel_service(
    event_loop& loop, tunnel_directory& directory, server_dialer& dialer)
    : loop_{loop}
    , directory_{directory}
    , dialer_{dialer}
{
}

tunnel_service::~tunnel_service()
{
    for (const auto& [link, each] : tunnels_)
    {
        each->close();
    }
}

bool tunnel_service::receive(
    const wire::payloadUnion& payload, link_connection& link)
{
    if (const auto* opening = message_in<wire::tunnel_open_msg>(payload))
    {
        open(opening->backend, link);
        return true;
    }
    const auto found = tunnels_.find(&link);
    if (const auto* data = message_in<wire::tunnel_data_msg>(payload))
    {
        if (found != tunnels_.end())
        {
            found->second->send(data->bytes);
        }
        return true;
    }
    if (const auto* announcement =
            message_in<wire::tunnel_announcement_msg>(payload))
    {
        if (found != tunnels_.end())
        {
            directory_.on_announcement(found->second->backend(), *announcement);
        }
        return true;
    }
    return false;
}

void tunnel_service::open(backend_server_id backend, link_connection& link)
{
    if (tunnels_.contains(&link))
    {
        return;
    }
    if (is_draining_)
    {
        refuse(link, refusal_because(wire::tunnel_refusal::draining));
        return;
    }
    const tunnel_directory::admission admission = directory_.admit(backend);
    if (const auto* refusal = std::get_if<wire::tunnel_refused_msg>(&admission))
    {
        refuse(link, *refusal);
        return;
    }
    auto added = std::make_unique<tunnel>(*this, backend, link);
    if (const absl::Status status =
            added->connect(std::get<numeric_address>(admission));
        !status.ok())
    {
        log(log_level::warning, subsystem::network,
            "tunnel_not_dialled backend={:016x} error=\"{}\"", backend,
            message_of(status));
        refuse(link, refusal_because(wire::tunnel_refusal::unreachable));
        return;
    }
    link.set_acknowledgement_timeout(tunnel_acknowledgement_timeout);
    tunnels_.emplace(&link, std::move(added));
}

void tunnel_service::refuse(
    link_connection& link, const wire::tunnel_refused_msg& refusal)
{
    log(log_level::info, subsystem::network,
        "tunnel_refused router={} reason={}", host_of(link.peer()),
        wire::EnumNametunnel_refusal(refusal.reason));
    // The other router closes the link.
    link.send(make_payload(refusal));
}

void tunnel_service::on_link_drained(link_connection& link)
{
    if (const auto found = tunnels_.find(&link); found != tunnels_.end())
    {
        found->second->on_link_drained();
    }
}

void tunnel_service::on_link_end(link_connection& link)
{
    remove(link);
}

void tunnel_service::drain()
{
    is_draining_ = true;
}

// The tunnel is destroyed after the current handlers have returned.
void tunnel_service::remove(const link_connection& link)
{
    if (const auto found = tunnels_.find(&link); found != tunnels_.end())
    {
        found->second->close();
        loop_.destroy_later(std::move(found->second));
        tunnels_.erase(found);
    }
}

} // namespace hickorygap
