#include "process/gateway/backend_pool.hpp"

#include "common/hashing.hpp"
#include "common/logging.hpp"
#include "common/status_text.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Connecting within a region takes a few ms. A server that does not respond for
// this long is down or its accept queue is full.
constexpr duration connect_timeout = std::chrono::milliseconds{250};

// The same while a tunnel can still be tried, so that both together take no
// longer.
constexpr duration first_connect_timeout = std::chrono::milliseconds{100};

// Time to connect to the host of a tunnel and from there to the server. The
// host gives up earlier and says so.
constexpr duration tunnel_timeout = std::chrono::milliseconds{150};

// Hosts that are asked for a tunnel to the same server.
constexpr std::size_t max_tunnel_hosts = 3;

// Interval at which the paths to servers are checked.
constexpr duration path_check_interval = std::chrono::milliseconds{250};

// A service none of whose servers makes progress is checked by connections to
// some of them, at most once in this time.
constexpr duration silence_check_interval = std::chrono::milliseconds{500};

// Idle timeout of connections to servers that have announced none.
constexpr duration default_idle_timeout = std::chrono::seconds{4};

// Connections are closed this long before the server's idle timeout, because
// the server measures it by its own clock and its closing takes time to arrive.
constexpr duration idle_margin = std::chrono::milliseconds{700};

// A request that may run only once is not sent over a connection that was idle
// for longer than this.
constexpr duration max_fresh_idle_time = std::chrono::milliseconds{600};

// A connection is closed after this many refusals, which it remembers. A server
// in need refuses often, and a new connection each time would cost it more.
constexpr std::size_t max_remembered_refusals = 64;

constexpr duration sweep_interval = std::chrono::milliseconds{500};

// Limit of connections to one server when its service has no limit.
constexpr std::uint32_t default_connection_limit = 64;

// A server may answer before it has read a request. A connection with more of
// the request than this waiting is closed: the rest belongs to no request that
// is being handled, so that no limit of the memory covers it.
constexpr std::size_t max_idle_output_bytes = std::size_t{32} * 1024;

} // namespace

backend_pool::backend_pool(
    event_loop& loop, backend_table& table, server_dialer& dialer,
    const fleet_settings& settings)
    : loop_{loop}
    , table_{table}
    , dialer_{dialer}
    , self_{instance_at(settings.instance.host)}
    , peer_port_{settings.peers.port}
    , hosts_{self_}
    , random_{random_seed()}
{
    close_idle();
    check_paths();
}

backend_pool::~backend_pool()
{
    loop_.cancel(sweep_timer_);
    loop_.cancel(path_timer_);
}

void backend_pool::set_connection_limit(
    std::string_view service, std::uint32_t limit)
{
    limits_.insert_or_assign(std::string{service}, std::max(limit, 1U));
}

void backend_pool::set_on_paths_changed(std::function<void()> on_changed)
{
    on_paths_changed_ = std::move(on_changed);
}

backend_connection* backend_pool::acquire(
    const backend_record& backend, connection_choice choice,
    std::uint64_t attempt)
{
    server_connections& server = servers_[backend.id];
    const auto blocked_since =
        paths_.blocked_since(backend.id, hash_name(backend.listed.service));
    while (!server.idle.empty() && choice != connection_choice::established_now)
    {
        // The most recently used one is the least likely to be closed soon.
        backend_connection* idle_connection = server.idle.back();
        const duration idle = loop_.now() - idle_connection->idle_since_;
        if (choice == connection_choice::fresh && idle > max_fresh_idle_time)
        {
            break;
        }
        server.idle.pop_back();
        const bool may_be_cut =
            blocked_since &&
            idle_connection->channel_->last_input() < *blocked_since;
        if (idle <= idle_connection->idle_timeout_ && !may_be_cut &&
            idle_connection->server_start() == backend.start &&
            !idle_connection->has_refused(attempt) &&
            idle_connection->channel_->pending_output() == 0 &&
            !idle_connection->channel_->has_unread_input())
        {
            return idle_connection;
        }
        abandon(*idle_connection);
    }
    if (is_at_limit(backend))
    {
        if (server.idle.empty())
        {
            return nullptr;
        }
        abandon(*server.idle.front());
    }
    return dial(backend);
}

std::uint32_t backend_pool::connection_limit(std::string_view service) const
{
    const auto limit = limits_.find(service);
    return limit == limits_.end() ? default_connection_limit : limit->second;
}

bool backend_pool::is_at_limit(const backend_record& backend) const
{
    const auto server = servers_.find(backend.id);
    return server != servers_.end() &&
           server->second.all.size() >=
               connection_limit(backend.listed.service);
}

void backend_pool::probe(
    const backend_record& backend, std::function<void(bool)> on_probed)
{
    if (is_at_limit(backend))
    {
        on_probed(true);
        return;
    }
    backend_connection* connection = dial(backend);
    if (connection == nullptr)
    {
        // The failure is local and says nothing about the server.
        on_probed(true);
        return;
    }
    connection->on_probed_ = std::move(on_probed);
}

bool backend_pool::has_established(backend_server_id backend) const
{
    const auto found = servers_.find(backend);
    return found != servers_.end() &&
           std::ranges::any_of(
               found->second.all,
               [](const auto& each) { return each->is_connected(); });
}

backend_connection* backend_pool::dial(const backend_record& backend)
{
    auto added = std::make_unique<backend_connection>(*this, backend);
    const bool through_router =
        paths_.path_to(backend.id, added->service_, loop_.now()) ==
        backend_path::through_router;
    const bool is_started = (through_router && start_tunnel(*added)) ||
                            start_direct(*added, backend.listed.address);
    return is_started ? add(backend, std::move(added)) : nullptr;
}

backend_connection* backend_pool::dial_directly(const backend_record& backend)
{
    auto added = std::make_unique<backend_connection>(*this, backend);
    added->may_use_tunnel_ = false;
    return start_direct(*added, backend.listed.address)
               ? add(backend, std::move(added))
               : nullptr;
}

backend_connection* backend_pool::add(
    const backend_record& backend,
    std::unique_ptr<backend_connection> connection)
{
    return servers_[backend.id].all.emplace_back(std::move(connection)).get();
}

bool backend_pool::start_direct(
    backend_connection& connection, const numeric_address& address)
{
    auto channel = dialer_.dial(loop_, address, connection);
    if (!channel.ok())
    {
        log(log_level::warning, subsystem::network,
            "backend_not_dialled backend={:016x} error=\"{}\"",
            connection.backend_, message_of(channel.status()));
        return false;
    }
    connection.replace_channel(*std::move(channel));
    const bool has_other_path =
        connection.may_use_tunnel_ &&
        paths_.path_to(connection.backend_, connection.service_, loop_.now()) !=
            backend_path::direct_only &&
        hosts_.choose(connection.hosts_, loop_.now());
    connection.start_dial_timer(
        has_other_path ? first_connect_timeout : connect_timeout);
    return true;
}

// False when no router can host the tunnel.
bool backend_pool::start_tunnel(backend_connection& connection)
{
    while (const auto host = hosts_.choose(connection.hosts_, loop_.now()))
    {
        if (connection.hosts_.size() == max_tunnel_hosts)
        {
            break;
        }
        connection.hosts_.push_back(*host);
        auto tunnel = tunnel_connection::dial(
            loop_, {host_of(*host), peer_port_}, self_, connection.backend_,
            connection);
        if (tunnel == nullptr)
        {
            hosts_.on_failed(*host, loop_.now());
            continue;
        }
        tunnel_connection* const added = tunnel.get();
        connection.replace_channel(std::move(tunnel));
        connection.tunnel_ = added;
        connection.start_dial_timer(tunnel_timeout);
        return true;
    }
    return false;
}

// Called when a connection could not be established. False when there is no
// other path to its server.
bool backend_pool::try_other_path(backend_connection& connection)
{
    const time_point now = loop_.now();
    if (connection.tunnel_ == nullptr)
    {
        paths_.on_unreachable(connection.backend_, connection.service_, now);
        return connection.may_use_tunnel_ &&
               paths_.path_to(connection.backend_, connection.service_, now) !=
                   backend_path::direct_only &&
               start_tunnel(connection);
    }
    if (may_ask_other_host(connection) && start_tunnel(connection))
    {
        return true;
    }
    if (!connection.is_declined_)
    {
        paths_.on_unreached_by_router(connection.backend_, now);
        report_path_changes();
    }
    return false;
}

// Evaluates why the host of the tunnel has not connected.
bool backend_pool::may_ask_other_host(backend_connection& connection)
{
    const time_point now = loop_.now();
    const auto refusal = connection.tunnel_->refused();
    if (!refusal || refusal->reason == wire::tunnel_refusal::draining ||
        refusal->reason == wire::tunnel_refusal::no_path)
    {
        hosts_.on_failed(connection.hosts_.back(), now);
        return true;
    }
    switch (refusal->reason)
    {
    case wire::tunnel_refusal::declined:
        connection.is_declined_ = true;
        table_.on_declined(connection.backend_, now + refusal->declined_for);
        return false;
    case wire::tunnel_refusal::leaving:
        connection.is_declined_ = true;
        table_.on_leaving(connection.backend_, connection.server_start());
        return false;
    default:
        // The host may be cut off, too, and not know it yet.
        return true;
    }
}

void backend_pool::on_established(backend_connection& connection)
{
    const time_point now = loop_.now();
    if (connection.tunnel_ == nullptr)
    {
        paths_.on_connected(connection.backend_, connection.service_, now);
    }
    else if (paths_.on_reached_by_router(connection.backend_))
    {
        log(log_level::info, subsystem::network,
            "backend_path_blocked backend={:016x} reached_by={}",
            connection.backend_, host_of(connection.hosts_.back()));
        table_.on_path_blocked(connection.backend_, now);
    }
    report_path_changes();
}

// Tells the failures that this router has seen before it knew that it was cut
// off from a service from failures of the servers.
void backend_pool::report_path_changes()
{
    std::vector<service_id> lost = paths_.lost_services();
    if (lost == lost_services_)
    {
        return;
    }
    log(log_level::warning, subsystem::network,
        "lost_services_changed services={} previous={}", lost.size(),
        lost_services_.size());
    for (const service_id service : lost)
    {
        for (const backend_server_id backend : table_.servers_of(service))
        {
            table_.on_path_blocked(backend, loop_.now());
        }
    }
    lost_services_ = std::move(lost);
    if (on_paths_changed_)
    {
        on_paths_changed_();
    }
}

void backend_pool::keep_probed(backend_connection& connection)
{
    if (connection.tunnel_ == nullptr)
    {
        add_idle(connection, default_idle_timeout);
    }
    else
    {
        abandon(connection);
    }
}

void backend_pool::check_paths()
{
    path_timer_ = loop_.after(path_check_interval, [this] { check_paths(); });
    paths_.keep_only(table_.listed());
    for (const backend_server_id backend : paths_.take_due_checks(loop_.now()))
    {
        check_direct_path(backend);
    }
    for (const service_id service : lost_services_)
    {
        check_any_server(service);
    }
    check_silent_services();
    report_path_changes();
}

void backend_pool::check_direct_path(backend_server_id backend)
{
    const backend_record* record = table_.find(backend);
    if (record == nullptr || is_at_limit(*record))
    {
        return;
    }
    if (backend_connection* connection = dial_directly(*record))
    {
        // The outcome counts only for the path.
        connection->on_probed_ = [](bool) {};
    }
}

// Another server of a lost service shows whether all are out of reach.
void backend_pool::check_any_server(service_id service)
{
    const auto servers = table_.servers_of(service);
    if (!servers.empty())
    {
        check_direct_path(servers[random_below(random_, servers.size())]);
    }
}

// A router that has been cut off without a reset gets no more answers on its
// open connections. Whether new ones can be established shows that soonest.
void backend_pool::check_silent_services()
{
    const time_point now = loop_.now();
    for (const auto& [service, servers] : table_.silent_services(now))
    {
        time_point& next = next_silence_check_[service];
        if (now < next)
        {
            continue;
        }
        next = now + silence_check_interval;
        for (const backend_server_id backend : servers)
        {
            if (const backend_record* record = table_.find(backend))
            {
                probe(*record, [](bool) {});
            }
        }
    }
}

void backend_pool::release(
    backend_connection& connection, std::optional<duration> idle_timeout)
{
    connection.receiver_ = nullptr;
    const bool usable =
        connection.tunnel_ == nullptr && connection.channel_->is_open() &&
        connection.channel_->input().empty() &&
        connection.channel_->pending_output() <= max_idle_output_bytes &&
        connection.refused_.size() < max_remembered_refusals &&
        connection.reader_->current() == response_reader::state::complete &&
        connection.reader_->keeps_connection();
    const duration limit =
        idle_timeout ? *idle_timeout - idle_margin : default_idle_timeout;
    if (!usable || limit <= duration{0})
    {
        abandon(connection);
        return;
    }
    add_idle(connection, limit);
}

// Adds the connection to the idle ones.
void backend_pool::add_idle(backend_connection& connection, duration limit)
{
    connection.was_idle_ = true;
    if (connection.reader_)
    {
        connection.reader_->discard_body();
    }
    connection.idle_since_ = loop_.now();
    connection.idle_timeout_ = limit;
    connection.channel_->set_reading(true);
    servers_[connection.backend_].idle.push_back(&connection);
}

void backend_pool::abandon(backend_connection& connection)
{
    connection.receiver_ = nullptr;
    loop_.cancel(connection.dial_timer_);
    connection.channel_->close();
    remove(connection);
}

// Removes a closed connection. It is destroyed after the current handlers have
// returned.
void backend_pool::remove(backend_connection& connection)
{
    const auto found = servers_.find(connection.backend_);
    if (found == servers_.end())
    {
        return;
    }
    server_connections& server = found->second;
    std::erase(server.idle, &connection);
    const auto position = std::ranges::find(
        server.all, &connection, &std::unique_ptr<backend_connection>::get);
    if (position != server.all.end())
    {
        loop_.destroy_later(std::move(*position));
        server.all.erase(position);
    }
}

void backend_pool::close_idle()
{
    sweep_timer_ = loop_.after(sweep_interval, [this] { close_idle(); });
    std::vector<backend_connection*> expired;
    for (const auto& [id, server] : servers_)
    {
        for (backend_connection* connection : server.idle)
        {
            if (loop_.now() - connection->idle_since_ >=
                connection->idle_timeout_)
            {
                expired.push_back(connection);
            }
        }
    }
    for (backend_connection* connection : expired)
    {
        abandon(*connection);
    }
    absl::erase_if(
        servers_, [](const auto& item) { return item.second.all.empty(); });
}

} // namespace hickorygap
