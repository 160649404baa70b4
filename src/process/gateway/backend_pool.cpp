#include "process/gateway/backend_pool.hpp"

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

// Idle timeout of connections to servers that have announced none.
constexpr duration default_idle_timeout = std::chrono::seconds{4};

// Connections are closed this long before the server's idle timeout, because
// the server measures it by its own clock and its closing takes time to arrive.
constexpr duration idle_margin = std::chrono::milliseconds{700};

// A request that may run only once is not sent over a connection that was idle
// for longer than this.
constexpr duration max_fresh_idle_time = std::chrono::milliseconds{600};

constexpr duration sweep_interval = std::chrono::milliseconds{500};

// Limit of connections to one server when its service has no limit.
constexpr std::uint32_t default_connection_limit = 64;

} // namespace

backend_connection::backend_connection(
    backend_pool& pool, backend_server_id backend)
    : pool_{pool}
    , backend_{backend}
{
}

void backend_connection::send(
    std::string_view request, std::string_view method,
    response_observer& receiver)
{
    reader_.emplace(method);
    receiver_ = &receiver;
    ++sends_;
    connection_->write(request);
}

void backend_connection::set_reading(bool reading)
{
    connection_->set_reading(reading);
}

void backend_connection::cancel_dial_timer()
{
    pool_.loop_.cancel(dial_timer_);
}

void backend_connection::on_connected()
{
    cancel_dial_timer();
    if (on_probed_)
    {
        pool_.add_idle(*this, default_idle_timeout);
        end_probe(true);
    }
}

void backend_connection::end_probe(bool established)
{
    if (const auto on_probed = std::exchange(on_probed_, nullptr))
    {
        on_probed(established);
    }
}

void backend_connection::on_input()
{
    if (receiver_ == nullptr)
    {
        // Bytes without a request: a duplicate response, or an error sent
        // before the server closes.
        log(log_level::info, subsystem::http,
            "surplus_bytes backend={:016x} count={}", backend_,
            connection_->input().size());
        pool_.abandon(*this);
        return;
    }
    reader_->read(connection_->input());
    receiver_->on_response();
}

void backend_connection::on_end(connection_end end)
{
    cancel_dial_timer();
    response_observer* receiver = std::exchange(receiver_, nullptr);
    if (receiver != nullptr)
    {
        if (end == connection_end::refused)
        {
            pool_.table_.on_unreachable(backend_, pool_.loop_.now());
        }
        // A response that ends with its connection is complete only after an
        // orderly close.
        if (end == connection_end::finished &&
            reader_->finish() == response_reader::state::complete)
        {
            receiver_ = receiver;
            receiver->on_response();
            return;
        }
    }
    pool_.remove(*this);
    end_probe(false);
    if (receiver != nullptr)
    {
        receiver->on_connection_lost(end);
    }
}

backend_pool::backend_pool(
    event_loop& loop, backend_table& table, server_dialer& dialer)
    : loop_{loop}
    , table_{table}
    , dialer_{dialer}
{
    close_idle();
}

backend_pool::~backend_pool()
{
    loop_.cancel(sweep_timer_);
}

void backend_pool::set_connection_limit(
    std::string_view service, std::uint32_t limit)
{
    limits_.insert_or_assign(std::string{service}, std::max(limit, 1U));
}

backend_connection*
backend_pool::acquire(const backend_record& backend, bool fresh)
{
    server_connections& server = servers_[backend.id];
    while (!server.idle.empty())
    {
        // The most recently used one is the least likely to be closed soon.
        backend_connection* idle_connection = server.idle.back();
        const duration idle = loop_.now() - idle_connection->idle_since_;
        if (fresh && idle > max_fresh_idle_time)
        {
            break;
        }
        server.idle.pop_back();
        if (idle <= idle_connection->idle_timeout_)
        {
            return idle_connection;
        }
        abandon(*idle_connection);
    }
    if (server.all.size() >= connection_limit(backend.listed.service))
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

void backend_pool::probe(
    const backend_record& backend, std::function<void(bool)> on_probed)
{
    if (servers_[backend.id].all.size() >=
        connection_limit(backend.listed.service))
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
               [](const auto& each) {
                   return each->connection_->is_open() &&
                          each->connection_->is_connected();
               });
}

backend_connection* backend_pool::dial(const backend_record& backend)
{
    auto added = std::make_unique<backend_connection>(*this, backend.id);
    auto connection = dialer_.dial(loop_, backend.listed.address, *added);
    if (!connection.ok())
    {
        log(log_level::warning, subsystem::network,
            "backend_not_dialled backend={} error=\"{}\"", backend.listed.id,
            message_of(connection.status()));
        return nullptr;
    }
    added->connection_ = *std::move(connection);
    backend_connection* result = added.get();
    added->dial_timer_ = loop_.after(
        connect_timeout,
        [result]
        {
            result->connection_->close();
            result->on_end(connection_end::refused);
        });
    servers_[backend.id].all.push_back(std::move(added));
    return result;
}

void backend_pool::release(
    backend_connection& connection, std::optional<duration> idle_timeout)
{
    connection.receiver_ = nullptr;
    const bool usable =
        connection.connection_->is_open() &&
        connection.connection_->input().empty() &&
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
    connection.idle_since_ = loop_.now();
    connection.idle_timeout_ = limit;
    connection.connection_->set_reading(true);
    servers_[connection.backend_].idle.push_back(&connection);
}

void backend_pool::abandon(backend_connection& connection)
{
    connection.receiver_ = nullptr;
    connection.cancel_dial_timer();
    connection.connection_->close();
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
