#include "process/gateway/tunnel_connection.hpp"

#include <utility>

namespace hickorygap
{

tunnel_connection::tunnel_connection(
    backend_server_id backend, connection_observer& observer)
    : backend_{backend}
    , observer_{observer}
{
}

std::unique_ptr<tunnel_connection> tunnel_connection::dial(
    event_loop& loop, const numeric_address& host, instance_id self,
    backend_server_id backend, connection_observer& observer)
{
    std::unique_ptr<tunnel_connection> tunnel{
        new tunnel_connection{backend, observer}};
    tunnel->link_ = link_connection::dial(loop, host, self, *tunnel);
    if (tunnel->link_ == nullptr)
    {
        return nullptr;
    }
    tunnel->link_->set_acknowledgement_timeout(tunnel_acknowledgement_timeout);
    return tunnel;
}

void tunnel_connection::announce(
    std::optional<duration> declined_for, bool is_leaving)
{
    wire::tunnel_announcement_msg message;
    message.declined_ms = static_cast<std::uint32_t>(
        declined_for.value_or(duration{0}) / std::chrono::milliseconds{1});
    message.is_leaving = is_leaving;
    link_->send(make_payload(message));
}

void tunnel_connection::write(std::string_view bytes)
{
    wire::tunnel_data_msg message;
    message.bytes.assign(bytes.begin(), bytes.end());
    link_->send(make_payload(std::move(message)));
}

void tunnel_connection::set_reading(bool reading)
{
    link_->set_reading(reading);
}

void tunnel_connection::close()
{
    link_->close();
}

void tunnel_connection::on_link_ready(link_connection& link)
{
    wire::tunnel_open_msg message;
    message.backend = backend_;
    link.send(make_payload(message));
}

void tunnel_connection::on_message(
    link_connection& /*link*/, wire::envelope_msg message)
{
    if (const auto* data = message_in<wire::tunnel_data_msg>(message.payload))
    {
        input_.append(data->bytes.begin(), data->bytes.end());
        observer_.on_input();
    }
    else if (message_in<wire::tunnel_opened_msg>(message.payload) != nullptr)
    {
        is_established_ = true;
        observer_.on_connected();
    }
    else if (
        const auto* refused =
            message_in<wire::tunnel_refused_msg>(message.payload))
    {
        refusal_ = {
            refused->reason, std::chrono::milliseconds{refused->declined_ms}};
        end(connection_end::refused);
    }
    else if (
        const auto* closed =
            message_in<wire::tunnel_closed_msg>(message.payload))
    {
        end(closed->is_reset ? connection_end::reset
                             : connection_end::finished);
    }
}

void tunnel_connection::on_link_end(link_connection& /*link*/)
{
    // Requests are only sent once the tunnel is established.
    observer_.on_end(
        is_established_ ? connection_end::reset : connection_end::refused);
}

void tunnel_connection::end(connection_end reason)
{
    if (is_open())
    {
        link_->close();
        observer_.on_end(reason);
    }
}

} // namespace hickorygap
