#include "process/gateway/gateway.hpp"

#include "common/hashing.hpp"
#include "common/logging.hpp"
#include "common/status_text.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Size limits of requests to the readiness address.
constexpr request_limits readiness_limits{4096, 0};

// Time between the signal to stop and the closing of the port: the load
// balancer checks readiness each second and removes an instance after two
// failed checks.
constexpr duration balancer_lag = std::chrono::milliseconds{2600};

// From this time after the signal on, requests are refused if they may outlast
// the process. Those sent before get the rest of the time for shutting down.
constexpr duration late_request_time = std::chrono::seconds{3};

// Connections are closed this long before the platform kills the process.
constexpr duration shutdown_margin = std::chrono::milliseconds{300};

// Requests still in progress get their final response this long before the
// connections are closed, so that it reaches their callers.
constexpr duration final_response_margin = std::chrono::milliseconds{150};

// Interval between log lines about the limit of connections.
constexpr duration limit_log_interval = std::chrono::seconds{1};

constexpr duration shutdown_check_interval = std::chrono::milliseconds{100};

} // namespace

gateway::gateway(
    event_loop& loop, fleet_settings settings, gateway_dialects dialects)
    : gateway{loop, std::move(settings), dialects, tcp_dialer::shared()}
{
}

gateway::gateway(
    event_loop& loop, fleet_settings settings, gateway_dialects dialects,
    server_dialer& dialer)
    : loop_{loop}
    , settings_{std::move(settings)}
    , dialects_{dialects}
    , context_{loop, settings_, *dialects.requests, dialer}
    , tunnels_{loop, *this, dialer}
    , follower_{loop, settings_, *dialects.backend_list, *this}
    , callers_{
          loop, [this](const Poco::Net::StreamSocket& socket)
          { accept(socket); }}
    , readiness_{
          loop, readiness_limits,
          [this](const received_request& /*request*/,
                 const http_responder& respond) { respond_readiness(respond); },
          {context_.limits().endpoint_connections, &context_.buffers()}}
{
    follower_.set_tunnels(tunnels_);
    context_.pool().set_on_paths_changed([this]
                                         { follower_.announce_state(); });
    context_.crashes().set_on_news([this] { follower_.report_blame(); });
    context_.streams().set_send(
        [this](const wire::streams_sent_msg& streams)
        { follower_.send_streams(streams); },
        [this](const wire::stream_query_msg& query)
        { return follower_.send_to_voters(make_payload(query)); });
    context_.permits().set_send([this](const wire::payloadUnion& payload)
                                { return follower_.send_to_leader(payload); });
}

gateway::~gateway() = default;

absl::Status gateway::open()
{
    if (absl::Status status = readiness_.open(settings_.readiness);
        !status.ok())
    {
        return status;
    }
    if (absl::Status status = callers_.open(settings_.callers); !status.ok())
    {
        return status;
    }
    return follower_.start();
}

void gateway::reload(const fleet_settings& settings)
{
    follower_.set_seeds(settings.peers.seeds);
}

bool gateway::is_ready() const
{
    return !draining_ && context_.configuration() != nullptr &&
           context_.has_backend_list();
}

void gateway::respond_readiness(const http_responder& respond) const
{
    http_response answer;
    if (!is_ready())
    {
        answer.status = Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
        answer.body = draining_ ? R"({"ready":false,"reason":"draining"})"
                      : context_.configuration() == nullptr
                          ? R"({"ready":false,"reason":"no configuration"})"
                          : R"({"ready":false,"reason":"no backend list"})";
    }
    else
    {
        answer.body = R"({"ready":true})";
    }
    respond(answer);
}

std::string gateway::metrics_text()
{
    metrics_registry& metrics = context_.metrics();
    const auto configuration = context_.configuration();
    metrics
        .find_gauge(
            "configuration", "version",
            "Version of the configuration in force; zero without one.")
        .set(configuration ? static_cast<double>(configuration->version()) : 0);
    metrics
        .find_gauge(
            "leader_silence", "seconds",
            "Time since a leading voter was heard.")
        .set(std::chrono::duration<double>(follower_.leader_silence()).count());
    metrics.find_gauge("callers", "connections", "Open connections of callers.")
        .set(static_cast<double>(sessions_.size()));
    metrics
        .find_gauge(
            "caller_buffers", "bytes",
            "Bytes in the buffers of callers' connections.")
        .set(static_cast<double>(context_.buffers().total()));
    for (const auto& [use, name] :
         {std::pair{buffer_use::receiving, "receiving"},
          std::pair{buffer_use::handling, "handling"},
          std::pair{buffer_use::sending, "sending"}})
    {
        metrics
            .find_gauge(
                "ended_without_memory", "connections",
                "Connections of callers that were ended because the memory for "
                "their buffers was used up, by what they were doing.",
                {{"use", name}})
            .set(static_cast<double>(context_.buffers().revoked(use)));
    }
    metrics
        .find_gauge(
            "backend_servers", "servers",
            "Backend servers known here, leaving ones included.")
        .set(static_cast<double>(context_.table().size()));
    metrics
        .find_gauge(
            "limited_backend_servers", "servers",
            "Backend servers that have named a limit of requests.")
        .set(static_cast<double>(context_.permits().limits().size()));
    for (const auto& [service, work] : context_.work_by_service())
    {
        metrics
            .find_gauge(
                "expected_work", "seconds",
                "Expected time of the mean request in a slot of an engine.",
                {{"service", service}})
            .set(std::chrono::duration<double>(work.mean()).count());
        metrics
            .find_gauge(
                "expected_work_error", "ratio",
                "Mean error of the expected time of requests, as a share of "
                "the "
                "time they took.",
                {{"service", service}})
            .set(work.error_share());
    }
    metrics
        .find_gauge(
            "cold_backend_servers", "servers",
            "Backend servers that get requests only at the rate for cold ones.")
        .set(static_cast<double>(context_.permits().limits().cold_servers()));
    metrics
        .find_gauge(
            "lost", "services",
            "Services whose backend servers this router can't connect to, "
            "though other routers can.")
        .set(static_cast<double>(lost_services().size()));
    metrics
        .find_gauge(
            "hosted", "tunnels",
            "Connections to backend servers that other routers use.")
        .set(static_cast<double>(tunnels_.size()));
    metrics
        .find_gauge(
            "quarantined_prompt", "parts",
            "Parts of prompts that crash backend servers and are refused.")
        .set(static_cast<double>(context_.blame().quarantined_parts()));
    return metrics.prometheus_text();
}

void gateway::accept(const Poco::Net::StreamSocket& socket)
{
    if (!has_room_for_session())
    {
        return;
    }
    const std::uint64_t id = ++last_session_;
    auto session = std::make_unique<caller_session>(
        context_, socket,
        [this, id] { loop_.defer([this, id] { sessions_.erase(id); }); });
    if (draining_)
    {
        session->close_after_response();
    }
    sessions_.emplace(id, std::move(session));
}

// Whether one more connection of a caller may be open. At the limit, the one
// that has been waiting for a request for the longest makes room.
bool gateway::has_room_for_session()
{
    if (sessions_.size() < context_.limits().caller_connections)
    {
        return true;
    }
    caller_session* oldest = nullptr;
    for (const auto& [id, session] : sessions_)
    {
        if (!session->is_busy() && !session->has_ended() &&
            (oldest == nullptr ||
             session->last_progress() < oldest->last_progress()))
        {
            oldest = session.get();
        }
    }
    const bool is_refused = oldest == nullptr;
    context_.metrics()
        .find_counter(
            "connections_at_limit",
            "Connections of callers that were refused, or closed to make room, "
            "because the permitted number was open.",
            {{"action", is_refused ? "refused" : "closed"}})
        .add();
    if (now_logs_limit())
    {
        log(log_level::warning, subsystem::http,
            "caller_connections_at_limit open={} refused={}", sessions_.size(),
            is_refused);
    }
    if (!is_refused)
    {
        oldest->close_for_another();
    }
    return !is_refused;
}

// Once a second.
bool gateway::now_logs_limit()
{
    const time_point now = loop_.now();
    if (limit_logged_at_ && now - *limit_logged_at_ < limit_log_interval)
    {
        return false;
    }
    limit_logged_at_ = now;
    return true;
}

bool gateway::on_configuration(
    configuration_version version, std::string_view document)
{
    auto decoded = dialects_.configurations->decode(document);
    if (!decoded.ok())
    {
        log(log_level::error, subsystem::configuration,
            "configuration_unusable version={} error=\"{}\"", version,
            message_of(decoded.status()));
        return false;
    }
    if (!context_.configuration())
    {
        log(log_level::info, subsystem::process, "ready version={}", version);
    }
    context_.set_configuration(*std::move(decoded));
    return true;
}

void gateway::on_backend_list(std::span<const listed_backend> list)
{
    context_.set_backend_list(list);
}

std::vector<backend_load> gateway::report_loads()
{
    return context_.table().report_loads();
}

void gateway::on_fleet_load(std::span<const fleet_backend_load> fleet)
{
    context_.set_fleet_load(fleet);
}

std::optional<wire::blame_report_msg> gateway::take_blame()
{
    return context_.blame().take_report(loop_.now());
}

std::optional<wire::blame_report_msg> gateway::all_blame() const
{
    return context_.blame().full_report(loop_.now());
}

void gateway::on_blame(const wire::blame_report_msg& report)
{
    context_.blame().receive(report, loop_.now());
    if (context_.blame().has_news())
    {
        follower_.report_blame();
    }
}

void gateway::on_permit_grant(const wire::permit_grant_msg& grant)
{
    context_.permits().on_grant(grant);
}

std::optional<wire::streams_sent_msg> gateway::open_streams() const
{
    return context_.streams().open_streams();
}

void gateway::on_streams_inherited(const wire::streams_sent_msg& streams)
{
    context_.streams().inherit(streams);
}

void gateway::on_stream_answer(const wire::stream_answer_msg& answer)
{
    context_.streams().on_answer(answer);
}

void gateway::on_router_count(std::uint32_t routers)
{
    context_.set_router_count(routers);
}

std::vector<service_id> gateway::lost_services() const
{
    return context_.pool().paths().lost_services();
}

void gateway::on_tunnel_hosts(std::span<const instance_id> hosts)
{
    context_.pool().hosts().set(hosts);
}

// A tunnel that another router needs never goes through a third one.
tunnel_directory::admission gateway::admit(backend_server_id backend) const
{
    const backend_record* record = context_.table().find(backend);
    wire::tunnel_refused_msg refusal;
    if (record == nullptr)
    {
        refusal.reason = wire::tunnel_refusal::unknown_server;
        return refusal;
    }
    if (!is_in_service(*record))
    {
        refusal.reason = wire::tunnel_refusal::leaving;
        return refusal;
    }
    if (record->declines_until > loop_.now())
    {
        refusal.reason = wire::tunnel_refusal::declined;
        refusal.declined_ms = static_cast<std::uint32_t>(
            (record->declines_until - loop_.now()) /
            std::chrono::milliseconds{1});
        return refusal;
    }
    if (context_.pool().paths().is_lost(hash_name(record->listed.service)))
    {
        refusal.reason = wire::tunnel_refusal::no_path;
        return refusal;
    }
    return record->listed.address;
}

void gateway::on_connected(backend_server_id backend)
{
    if (const backend_record* record = context_.table().find(backend))
    {
        context_.pool().paths().on_connected(
            backend, hash_name(record->listed.service), loop_.now());
    }
}

void gateway::on_unreachable(backend_server_id backend)
{
    if (const backend_record* record = context_.table().find(backend))
    {
        context_.pool().paths().on_unreachable(
            backend, hash_name(record->listed.service), loop_.now());
    }
}

void gateway::on_announcement(
    backend_server_id backend,
    const wire::tunnel_announcement_msg& announcement)
{
    const backend_record* record = context_.table().find(backend);
    if (announcement.is_leaving && record != nullptr)
    {
        context_.table().on_leaving(backend, record->start);
    }
    if (announcement.declined_ms > 0)
    {
        context_.table().on_declined(
            backend,
            loop_.now() + std::chrono::milliseconds{announcement.declined_ms});
    }
}

void gateway::shut_down()
{
    if (std::exchange(draining_, true))
    {
        return;
    }
    tunnels_.drain();
    draining_since_ = loop_.now();
    log(log_level::info, subsystem::process, "draining sessions={}",
        sessions_.size());
    for (auto& [id, session] : sessions_)
    {
        session->close_after_response();
    }
    check_shut_down();
}

void gateway::check_shut_down()
{
    const duration waited = loop_.now() - draining_since_;
    if (waited >= balancer_lag)
    {
        if (!std::exchange(closed_, true))
        {
            callers_.accept_pending();
            callers_.close();
        }
        for (auto& [id, session] : sessions_)
        {
            session->close_if_idle();
        }
    }
    const duration limit = settings_.shutdown.limit - shutdown_margin;
    if (waited >= late_request_time)
    {
        context_.refuse_beyond(draining_since_ + limit - final_response_margin);
    }
    if (waited >= limit - final_response_margin)
    {
        for (auto& [id, session] : sessions_)
        {
            session->stop();
        }
    }
    const bool done = closed_ && sessions_.empty() && tunnels_.size() == 0;
    if (done || waited >= limit)
    {
        log(log_level::info, subsystem::process, "drained sessions_cut={}",
            sessions_.size());
        loop_.stop();
        return;
    }
    loop_.after(shutdown_check_interval, [this] { check_shut_down(); });
}

} // namespace hickorygap
