#include "process/instance/running_instance.hpp"

#include "common/address.hpp"
#include "common/logging.hpp"
#include "common/status_text.hpp"

#include <fstream>
#include <iterator>
#include <sstream>

namespace hickorygap
{

namespace
{

// How often the monitored backend servers, the network metrics and the blocked
// peers are updated from the control node's state.
constexpr duration update_interval = std::chrono::milliseconds{100};

// Few operators call at the same time, but each of their requests may occupy a
// thread while it waits for a quorum.
constexpr std::size_t operator_threads = 8;

// Time to send the last messages, such as the announcement that this instance
// leaves, before the control thread is stopped.
constexpr duration last_messages_time = std::chrono::milliseconds{100};

incarnation_number make_incarnation()
{
    return static_cast<incarnation_number>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

absl::StatusOr<std::string> read_fleet_key(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    std::string key{std::istreambuf_iterator<char>{file}, {}};
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
    {
        key.pop_back();
    }
    constexpr std::size_t min_key_bytes = 16;
    if (key.size() < min_key_bytes)
    {
        return make_error(
            error_kind::settings_invalid,
            fmt::format(
                "peers.fleet_key_file {} can't be read or its key is shorter "
                "than {} bytes; write the same random key to this file on all "
                "instances",
                path, min_key_bytes));
    }
    return key;
}

control_node_options
make_node_options(const settings& source, incarnation_number incarnation)
{
    control_node_options options;
    options.self = source.instance.id;
    options.failure_domain = source.instance.failure_domain;
    options.address = format_address(source.peers.host, source.peers.port);
    options.incarnation = incarnation;
    options.voters = source.voters;
    for (const peer_seed& seed : source.peers.seeds)
    {
        if (seed.id != source.instance.id)
        {
            options.seeds.push_back(
                {seed.id,
                 format_address(seed.address.host, seed.address.port)});
        }
    }
    options.bootstrap = source.bootstrap;
    options.data_folder = source.data_folder;
    options.freshness = source.freshness;
    options.cell_limits.chats = source.placement.directory_entries;
    options.calls.window = static_cast<unix_millis>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            source.idempotency.window)
            .count());
    options.recorder.bytes_per_second = source.decision_record.bytes_per_second;
    options.recorder.buffer_bytes = source.decision_record.buffer_bytes;
    options.recorder.batch_delay = source.decision_record.batch_delay;
    options.decision_store_limits.file_bytes =
        source.decision_record.file_bytes;
    options.seed = random_seed();
    return options;
}

peer_network_options make_network_options(
    const settings& source, incarnation_number incarnation, std::string key)
{
    peer_network_options options;
    options.self = source.instance.id;
    options.incarnation = incarnation;
    options.host = source.peers.host;
    options.port = source.peers.port;
    options.fleet_key = std::move(key);
    options.allow_blocked_links = !source.test.blocked_peers_file.empty();
    return options;
}

http_server_options make_caller_options(const settings& source)
{
    http_server_options options;
    options.host = source.callers.host;
    options.port = source.callers.port;
    options.threads = source.callers.threads;
    options.header_limit_bytes = source.callers.limits.header_bytes;
    options.header_timeout = source.callers.limits.header_timeout;
    options.idle_timeout = source.callers.limits.idle_timeout;
    options.tls_certificate_file = source.callers.tls.certificate_file;
    options.tls_key_file = source.callers.tls.key_file;
    return options;
}

http_server_options make_operator_options(const settings& source)
{
    http_server_options options;
    options.host = source.operators.host;
    options.port = source.operators.port;
    options.threads = operator_threads;
    options.tls_certificate_file = source.operators.tls.certificate_file;
    options.tls_key_file = source.operators.tls.key_file;
    return options;
}

caller_request_limits make_caller_limits(const settings& source)
{
    caller_request_limits limits;
    limits.body = source.callers.limits.body_bytes;
    limits.body_timeout = source.callers.limits.body_timeout;
    limits.streams_per_organisation =
        source.callers.limits.organisation_streams;
    return limits;
}

load_report make_load_report(const polled_load& polled)
{
    load_report report;
    report.running = polled.in_flight;
    report.waiting = polled.queued;
    report.measured = boot_now() - polled.age;
    return report;
}

cache_event make_cache_event(const polled_cache_event& polled)
{
    cache_event event;
    event.kind =
        polled.stored ? cache_event_kind::stored : cache_event_kind::evicted;
    event.chat = polled.chat;
    event.happened = boot_now();
    return event;
}

} // namespace

running_instance::running_instance(const settings& effective)
    : settings_(effective)
    , incarnation_(make_incarnation())
{
}

running_instance::~running_instance()
{
    if (caller_server_ != nullptr)
    {
        caller_server_->stop_accepting();
    }
    if (operator_server_ != nullptr)
    {
        operator_server_->stop_accepting();
    }
    // The control thread uses the monitor, so it is stopped first.
    if (control_ != nullptr)
    {
        control_->stop();
    }
    monitor_.reset();
}

absl::StatusOr<std::unique_ptr<running_instance>>
running_instance::start(const settings& effective)
{
    std::unique_ptr<running_instance> instance{new running_instance{effective}};
    absl::Status status = instance->open();
    if (status.ok())
    {
        status = instance->start_servers();
    }
    if (!status.ok())
    {
        return status;
    }
    return instance;
}

absl::Status running_instance::open()
{
    auto key = read_fleet_key(settings_.peers.fleet_key_file);
    if (!key.ok())
    {
        return key.status();
    }
    auto network = std::make_unique<peer_network>(
        make_network_options(settings_, incarnation_, *std::move(key)));
    absl::Status listening = network->start();
    if (!listening.ok())
    {
        return listening;
    }
    auto node = control_node::open(
        make_node_options(settings_, incarnation_), blame_, metrics_.burn(),
        read_clocks());
    if (!node.ok())
    {
        return node.status();
    }
    control_ =
        std::make_unique<control_thread>(*std::move(node), std::move(network));
    control_->set_iteration_hook(
        [this](control_node& each, const clock_reading& now)
        { update_from_control(each, now); });
    return absl::OkStatus();
}

void running_instance::make_clients()
{
    control_client_ = std::make_unique<thread_control_client>(
        *control_, blame_, incarnation_, settings_.instance.id);
    control_client_->set_report_observer(
        [this](const attempt_report& report)
        { metrics_.on_finished(report, *control_->current_configuration()); });
    control_client_->set_refusal_observer([this](const placement_query& query)
                                          { metrics_.on_refused(query); });
    operator_client_ = std::make_unique<thread_operator_client>(
        *control_, metrics_.burn(), settings_.slo.error_budget,
        settings_.instance.name);
}

void running_instance::make_handlers()
{
    relay_ =
        std::make_unique<request_relay>(*control_client_, blame_, counters_);
    caller_handler_ = std::make_unique<caller_handler>(
        *control_client_, *relay_, counters_, make_caller_limits(settings_),
        random_seed());
    metrics_handler_ = std::make_unique<metrics_handler>(
        *caller_handler_,
        [this] { return metrics_.prometheus_text(counters_); });
    operator_handler_ = std::make_unique<operator_handler>(
        *operator_client_, settings_.operators.token_digest);
}

void running_instance::make_servers()
{
    caller_server_ = std::make_unique<http_server>(
        make_caller_options(settings_), *metrics_handler_);
    operator_server_ = std::make_unique<http_server>(
        make_operator_options(settings_), *operator_handler_);
    backend_monitor_options monitor_options;
    monitor_options.interval = settings_.monitor.interval;
    monitor_ = std::make_unique<backend_monitor>(
        [this](const monitor_result& result) { on_monitor_result(result); },
        monitor_options);
}

absl::Status running_instance::start_servers()
{
    make_clients();
    make_handlers();
    make_servers();
    control_->start();
    absl::Status status = caller_server_->start();
    if (status.ok())
    {
        status = operator_server_->start();
    }
    return status;
}

void running_instance::update_from_control(
    control_node& node, const clock_reading& now)
{
    if (now.monotonic < next_update_)
    {
        return;
    }
    next_update_ = now.monotonic + update_interval;
    update_monitored(node);
    metrics_.on_network(control_->network().counters());
    if (!settings_.test.blocked_peers_file.empty())
    {
        read_blocked_peers();
    }
}

void running_instance::update_monitored(const control_node& node)
{
    std::vector<backend_server_id> wanted =
        node.placement().polled_backend_servers();
    const configuration_ptr current = node.current_configuration();
    if (wanted == monitored_servers_ &&
        current->version() == monitored_version_)
    {
        return;
    }
    std::vector<monitored_server> servers;
    for (const backend_server_id id : wanted)
    {
        const backend_server* server = current->find_backend_server(id);
        if (server == nullptr)
        {
            continue;
        }
        const service* target = current->find_service(server->service);
        servers.push_back(
            {id, server->host, server->port,
             target != nullptr && target->kind == service_kind::engine});
    }
    monitor_->set_servers(std::move(servers));
    monitored_servers_ = std::move(wanted);
    monitored_version_ = current->version();
}

void running_instance::read_blocked_peers()
{
    std::ifstream file{settings_.test.blocked_peers_file};
    std::vector<instance_id> blocked;
    for (instance_id id = 0; file >> id;)
    {
        blocked.push_back(id);
    }
    control_->network().set_blocked(blocked);
}

void running_instance::on_monitor_result(const monitor_result& result)
{
    control_->post(
        [result](control_node& node, const clock_reading& now)
        {
            placement_service& placement = node.placement();
            placement.on_backend_health(
                result.backend_server, result.healthy, now.monotonic);
            if (result.load)
            {
                placement.on_load_report(
                    result.backend_server, make_load_report(*result.load),
                    now.monotonic);
            }
            for (const polled_cache_event& event : result.events)
            {
                placement.on_cache_event(
                    result.backend_server, make_cache_event(event),
                    now.monotonic);
            }
        });
}

bool running_instance::shut_down()
{
    log(log_level::info, subsystem::process, "draining");
    control_->post([](control_node& node, const clock_reading& now)
                   { node.begin_drain(now); });
    std::this_thread::sleep_for(settings_.shutdown.balancer_lag);
    caller_server_->stop_accepting();
    const bool drained = caller_server_->drain(settings_.shutdown.drain_limit);
    operator_server_->stop_accepting();
    control_->post([](control_node& node, const clock_reading& now)
                   { node.leave(now); });
    std::this_thread::sleep_for(last_messages_time);
    control_->stop();
    log(log_level::info, subsystem::process, "stopped drained={}", drained);
    return drained;
}

} // namespace hickorygap
