#include "connection/framing/peer_network.hpp"

#include "common/error.hpp"
#include "common/logging.hpp"
#include "common/random_duration.hpp"

#include <Poco/Exception.h>

#include <algorithm>

namespace hickorygap
{

namespace
{

// Envelopes are turned into frames only while fewer unsent frame bytes than
// this are buffered. Frames can't be dropped because of their sequence numbers,
// so this keeps nearly all of a peer's messages droppable.
constexpr std::size_t max_unsent_frame_bytes = std::size_t{64} * 1024;

constexpr int listen_backlog = 512;

// Shortest interval between two runs of the timers. The control thread works
// in steps of 20 ms, so the timers need no finer resolution.
constexpr duration timer_interval{std::chrono::milliseconds{10}};

} // namespace

peer_network::peer_network(peer_network_options options)
    : options_{std::move(options)}
    , random_{random_seed()}
{
}

peer_network::~peer_network() = default;

absl::Status peer_network::start()
{
    if (options_.fleet_key.empty())
    {
        return make_error(
            error_kind::settings_invalid,
            "the fleet key is empty; set the same key on all instances");
    }
    try
    {
        listener_.bind(
            Poco::Net::SocketAddress{options_.host, options_.port}, true);
        listener_.listen(listen_backlog);
        listener_.setBlocking(false);
        // A datagram socket connected to itself wakes up the poll, because
        // POCO 1.11 has no function for this.
        wake_socket_.bind(Poco::Net::SocketAddress{"127.0.0.1", 0});
        wake_socket_.connect(wake_socket_.address());
        wake_socket_.setBlocking(false);
        poll_set_.add(listener_, Poco::Net::PollSet::POLL_READ);
        poll_set_.add(wake_socket_, Poco::Net::PollSet::POLL_READ);
    }
    catch (const Poco::Exception& error)
    {
        return make_error(
            error_kind::settings_invalid,
            fmt::format(
                "can't listen on {}:{} ({}); set a free address and port of "
                "this machine",
                options_.host, options_.port, error.displayText()));
    }
    return absl::OkStatus();
}

std::uint16_t peer_network::port() const
{
    return listener_.address().port();
}

absl::Status peer_network::set_address(
    instance_id peer, std::string_view host, std::uint16_t port)
{
    try
    {
        const Poco::Net::SocketAddress address{
            Poco::Net::IPAddress{std::string{host}}, port};
        peer_state& state = peers_[peer];
        if (!state.address || *state.address != address)
        {
            state.address = address;
            state.next_attempt = {};
            state.backoff = duration{0};
        }
    }
    catch (const Poco::Exception& error)
    {
        return make_error(
            error_kind::settings_invalid,
            fmt::format(
                "{}:{} is not a numeric address of instance {} ({}); use an IP "
                "address such as 10.0.0.1",
                host, port, peer, error.displayText()));
    }
    return absl::OkStatus();
}

std::vector<std::uint8_t>
peer_network::encode_message(const wire::payloadUnion& payload)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto packed = payload.Pack(builder);
    builder.Finish(wire::Createenvelope(
        builder, options_.self, options_.incarnation, ++envelope_sequence_,
        payload.type, packed));
    return {
        builder.GetBufferPointer(),
        builder.GetBufferPointer() + builder.GetSize()};
}

void peer_network::send(const outgoing_message& message)
{
    if (message.destination == options_.self)
    {
        received_.push_back(
            {options_.self, options_.incarnation, message.payload});
        return;
    }
    if (blocked_.contains(message.destination))
    {
        ++counters_.dropped_blocked;
        return;
    }
    peer_state& peer = peers_[message.destination];
    if (!peer.address && peer.active_connection == nullptr)
    {
        ++counters_.dropped_no_address;
        return;
    }
    std::vector<std::uint8_t> bytes = encode_message(message.payload);
    if (bytes.size() > max_frame_payload_bytes)
    {
        ++counters_.dropped_oversized;
        log(log_level::error, subsystem::network,
            "message dropped: larger than 1 MiB peer={} bytes={}",
            message.destination, bytes.size());
        return;
    }
    const time_point now = boot_now();
    peer.queued_bytes += bytes.size();
    peer.queue.push_back({std::move(bytes), now});
    while (peer.queued_bytes > options_.max_queued_bytes)
    {
        peer.queued_bytes -= peer.queue.front().bytes.size();
        peer.queue.pop_front();
        ++counters_.dropped_full;
    }
    if (peer.active_connection != nullptr)
    {
        flush(peer, now);
    }
    else if (!peer.connecting && now >= peer.next_attempt)
    {
        open_connection(message.destination, peer, now);
    }
}

void peer_network::open_connection(
    instance_id id, peer_state& peer, time_point now)
{
    if (!peer.address)
    {
        return;
    }
    // Jitter prevents many instances from reconnecting to a restarted one at
    // the same time.
    peer.backoff = std::clamp(
        peer.backoff * 2, options_.min_backoff, options_.max_backoff);
    const duration half_backoff = peer.backoff / 2;
    peer.next_attempt =
        now + half_backoff + random_duration(random_, half_backoff);
    try
    {
        auto connection = std::make_unique<peer_connection>(
            options_.self, id, *peer.address, options_.fleet_key, now);
        const Poco::Net::Socket& socket = connection->socket();
        poll_set_.add(
            socket,
            Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_WRITE);
        connections_.emplace(socket, std::move(connection));
        peer.connecting = true;
        ++counters_.connections_opened;
    }
    catch (const Poco::Exception& error)
    {
        log(log_level::debug, subsystem::network,
            "connect failed peer={} error={}", id, error.displayText());
    }
}

void peer_network::accept_connections(time_point now)
{
    while (listener_.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ))
    {
        try
        {
            auto connection = std::make_unique<peer_connection>(
                options_.self, listener_.acceptConnection(), options_.fleet_key,
                now);
            const auto unauthenticated = static_cast<std::size_t>(std::count_if(
                connections_.begin(), connections_.end(),
                [](const auto& entry) {
                    return !entry.second->initiated() &&
                           !entry.second->authenticated();
                }));
            if (unauthenticated >= options_.max_unauthenticated)
            {
                log(log_level::warning, subsystem::network,
                    "connection refused: too many unauthenticated connections "
                    "count={}",
                    unauthenticated);
                continue;
            }
            ++counters_.connections_accepted;
            const Poco::Net::Socket& socket = connection->socket();
            poll_set_.add(
                socket,
                Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_WRITE);
            connections_.emplace(socket, std::move(connection));
        }
        catch (const Poco::Exception& error)
        {
            log(log_level::warning, subsystem::network,
                "accept failed error={}", error.displayText());
            return;
        }
    }
}

void peer_network::flush(peer_state& peer, time_point now)
{
    peer_connection& connection = *peer.active_connection;
    while (true)
    {
        while (!peer.queue.empty() &&
               connection.buffered() < max_unsent_frame_bytes)
        {
            connection.append(peer.queue.front().bytes);
            peer.queued_bytes -= peer.queue.front().bytes.size();
            peer.queue.pop_front();
            ++counters_.frames_sent;
        }
        if (connection.buffered() == 0)
        {
            return;
        }
        if (!write(connection, now) || connection.buffered() > 0)
        {
            return;
        }
    }
}

bool peer_network::write(peer_connection& connection, time_point now)
{
    const absl::Status status = connection.write(now);
    count_bytes(connection);
    if (!status.ok())
    {
        close(connection, status);
        return false;
    }
    update_interest(connection);
    return true;
}

void peer_network::read(peer_connection& connection, time_point now)
{
    const bool was_ready = connection.ready_to_send();
    const absl::Status status = connection.read(
        now, [&](std::span<const std::uint8_t> data)
        { return receive_envelope(connection, data); });
    count_bytes(connection);
    if (!status.ok())
    {
        close(connection, status);
        return;
    }
    // Only an authenticated frame resets the backoff, because a peer with
    // another fleet key also completes the exchange of hellos.
    if (connection.initiated() && connection.authenticated())
    {
        peers_[connection.peer()].backoff = duration{0};
    }
    if (!was_ready && connection.ready_to_send())
    {
        // The newest connection is used: an older one may be a stale
        // connection to a peer that has restarted or was partitioned.
        peer_state& peer = peers_[connection.peer()];
        peer.active_connection = &connection;
        if (connection.initiated())
        {
            peer.connecting = false;
        }
        flush(peer, now);
    }
}

absl::Status peer_network::receive_envelope(
    peer_connection& connection, std::span<const std::uint8_t> data)
{
    absl::StatusOr<wire::envelope_msg> envelope = decode(data);
    if (!envelope.ok())
    {
        return envelope.status();
    }
    if (envelope->sender != connection.peer())
    {
        return make_error(
            error_kind::invalid_request,
            "the envelope's sender differs from the connection's peer; check "
            "that instance ids are unique");
    }
    ++counters_.frames_received;
    received_.push_back(
        {envelope->sender, envelope->incarnation,
         std::move(envelope->payload)});
    return absl::OkStatus();
}

void peer_network::count_bytes(peer_connection& connection)
{
    counters_.bytes_received += connection.take_bytes_read();
    counters_.bytes_sent += connection.take_bytes_written();
}

void peer_network::update_interest(const peer_connection& connection)
{
    const int write_mode =
        connection.wants_write() ? Poco::Net::PollSet::POLL_WRITE : 0;
    poll_set_.update(
        connection.socket(), Poco::Net::PollSet::POLL_READ | write_mode);
}

void peer_network::close(
    peer_connection& connection, const absl::Status& reason)
{
    const error_kind kind = kind_of(reason);
    if (kind == error_kind::unauthorized)
    {
        ++counters_.authentication_failures;
    }
    else if (
        kind == error_kind::invalid_request ||
        kind == error_kind::payload_too_large)
    {
        ++counters_.protocol_errors;
    }
    const bool expected = reason.ok() || kind == error_kind::unreachable;
    log(expected ? log_level::debug : log_level::warning, subsystem::network,
        "connection closed peer={} address={} error={}", connection.peer(),
        connection.initiated() ? "own" : "accepted",
        std::string_view{reason.message().data(), reason.message().size()});
    ++counters_.connections_closed;
    if (const auto peer = peers_.find(connection.peer()); peer != peers_.end())
    {
        if (peer->second.active_connection == &connection)
        {
            peer->second.active_connection = nullptr;
        }
        if (connection.initiated())
        {
            peer->second.connecting = false;
        }
    }
    const Poco::Net::Socket socket = connection.socket();
    poll_set_.remove(socket);
    connections_.erase(socket);
}

void peer_network::drop_stale_messages(peer_state& peer, time_point now)
{
    while (!peer.queue.empty() &&
           now - peer.queue.front().queued_at > options_.max_queued_age)
    {
        peer.queued_bytes -= peer.queue.front().bytes.size();
        peer.queue.pop_front();
        ++counters_.dropped_stale;
    }
}

void peer_network::close_expired_connections(time_point now)
{
    std::vector<std::pair<peer_connection*, absl::Status>> expired;
    for (const auto& [socket, connection] : connections_)
    {
        const bool established = connection->initiated()
                                     ? connection->ready_to_send()
                                     : connection->authenticated();
        // The side that opened the connection closes it. The accepting side
        // waits twice as long, so that it does not close the connection while
        // the opener is sending on it, which would lose messages.
        const duration idle_limit =
            options_.idle_timeout * (connection->initiated() ? 1 : 2);
        if (!established &&
            now - connection->opened() > options_.handshake_timeout)
        {
            expired.emplace_back(
                connection.get(),
                make_error(
                    error_kind::unreachable,
                    "the handshake timed out; check that the peer is running"));
        }
        else if (established && now - connection->last_used() > idle_limit)
        {
            expired.emplace_back(connection.get(), absl::OkStatus());
        }
    }
    for (const auto& [connection, reason] : expired)
    {
        close(*connection, reason);
    }
}

void peer_network::run_timers(time_point now)
{
    if (now - last_timers_ < timer_interval)
    {
        return;
    }
    last_timers_ = now;
    close_expired_connections(now);
    for (auto& [id, peer] : peers_)
    {
        drop_stale_messages(peer, now);
        if (!peer.queue.empty() && peer.active_connection == nullptr &&
            !peer.connecting && now >= peer.next_attempt)
        {
            open_connection(id, peer, now);
        }
    }
}

std::vector<received_message> peer_network::poll(duration timeout)
{
    run_timers(boot_now());
    const duration wait = received_.empty() ? timeout : duration{0};
    const auto ready = poll_set_.poll(Poco::Timespan{wait.count()});
    const time_point now = boot_now();
    for (const auto& [socket, mode] : ready)
    {
        if (socket == listener_)
        {
            accept_connections(now);
            continue;
        }
        if (socket == wake_socket_)
        {
            wake_pending_.store(false);
            std::array<std::uint8_t, 64> ignored;
            wake_socket_.receiveBytes(
                ignored.data(), static_cast<int>(ignored.size()));
            continue;
        }
        const auto found = connections_.find(socket);
        if (found == connections_.end())
        {
            continue;
        }
        peer_connection& connection = *found->second;
        if ((mode & Poco::Net::PollSet::POLL_WRITE) != 0 &&
            !write(connection, now))
        {
            continue;
        }
        if (const auto peer = peers_.find(connection.peer());
            peer != peers_.end() &&
            peer->second.active_connection == &connection)
        {
            flush(peer->second, now);
        }
        if ((mode & ~Poco::Net::PollSet::POLL_WRITE) != 0 &&
            connections_.contains(socket))
        {
            read(connection, now);
        }
    }
    return std::exchange(received_, {});
}

void peer_network::wake()
{
    // One pending datagram is enough; more would only fill the socket buffer.
    if (!wake_pending_.exchange(true))
    {
        const std::uint8_t byte = 1;
        wake_socket_.sendBytes(&byte, 1);
    }
}

void peer_network::set_blocked(std::span<const instance_id> peers)
{
    if (!options_.allow_blocked_links)
    {
        return;
    }
    blocked_ = {peers.begin(), peers.end()};
    for (const instance_id peer : peers)
    {
        peers_[peer].queue.clear();
        peers_[peer].queued_bytes = 0;
    }
}

} // namespace hickorygap
