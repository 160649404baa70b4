#ifndef HICKORYGAP_PROCESS_GATEWAY_GATEWAY_HPP
#define HICKORYGAP_PROCESS_GATEWAY_GATEWAY_HPP

#include "connection/event/listener.hpp"
#include "connection/h1/http_endpoint.hpp"
#include "process/fleet_process/fleet_node.hpp"
#include "process/gateway/caller_session.hpp"
#include "process/gateway/fleet_follower.hpp"
#include "process/gateway/gateway_context.hpp"
#include "version/routing/configuration_format.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <cstdint>
#include <memory>

namespace hickorygap
{

// Formats of the messages to and from the neighbours of a router. All must
// outlive the router.
struct gateway_dialects
{
    const request_dialect* requests = nullptr;
    const configuration_format* configurations = nullptr;
    const backend_list_format* backend_list = nullptr;
};

// One router process: accepts callers and relays their requests.
class gateway final : public fleet_node,
                      public fleet_observer,
                      public tunnel_directory
{
public:
    // Connects to backend servers by TCP.
    gateway(
        event_loop& loop, fleet_settings settings, gateway_dialects dialects);

    // The dialer opens the connections to backend servers; it must outlive the
    // router.
    gateway(
        event_loop& loop, fleet_settings settings, gateway_dialects dialects,
        server_dialer& dialer);
    ~gateway() override;

    absl::Status open() override;
    void reload(const fleet_settings& settings) override;

    // Starts a graceful shutdown: readiness fails at once, then the port for
    // callers closes, and the event loop stops when the last request has its
    // response or the time limit is reached.
    void shut_down() override;

    std::string metrics_text() override;

    bool on_configuration(
        configuration_version version, std::string_view document) override;
    void on_backend_list(std::span<const listed_backend> list) override;
    std::vector<backend_load> report_loads() override;
    void on_fleet_load(std::span<const fleet_backend_load> fleet) override;
    std::optional<wire::blame_report_msg> take_blame() override;
    std::optional<wire::blame_report_msg> all_blame() const override;
    void on_blame(const wire::blame_report_msg& report) override;
    void on_permit_grant(const wire::permit_grant_msg& grant) override;
    std::optional<wire::streams_sent_msg> open_streams() const override;
    void on_streams_inherited(const wire::streams_sent_msg& streams) override;
    void on_stream_answer(const wire::stream_answer_msg& answer) override;
    void on_router_count(std::uint32_t routers) override;
    std::vector<service_id> lost_services() const override;
    void on_tunnel_hosts(std::span<const instance_id> hosts) override;

    admission admit(backend_server_id backend) const override;
    void on_connected(backend_server_id backend) override;
    void on_unreachable(backend_server_id backend) override;
    void on_announcement(
        backend_server_id backend,
        const wire::tunnel_announcement_msg& announcement) override;

private:
    void accept(const Poco::Net::StreamSocket& socket);
    void respond_readiness(const http_responder& respond) const;
    bool is_ready() const;
    bool has_room_for_session();
    bool now_logs_limit();
    void check_shut_down();

    event_loop& loop_;
    fleet_settings settings_;
    gateway_dialects dialects_;
    gateway_context context_;
    tunnel_service tunnels_;
    fleet_follower follower_;
    listener callers_;
    http_endpoint readiness_;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<caller_session>>
        sessions_;
    std::uint64_t last_session_ = 0;
    std::optional<time_point> limit_logged_at_;
    bool draining_ = false;
    bool closed_ = false;
    time_point draining_since_;
};

} // namespace hickorygap

#endif
