#ifndef HICKORYGAP_CONNECTION_FRAMING_PEER_NETWORK_HPP
#define HICKORYGAP_CONNECTION_FRAMING_PEER_NETWORK_HPP

#include "common/random.hpp"
#include "common/time.hpp"
#include "connection/framing/peer_connection.hpp"
#include "messages/codec.hpp"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hickorygap
{

struct peer_network_options
{
    instance_id self = 0;
    incarnation_number incarnation = 0;

    // Numeric address and port to listen on; port 0 takes any free one.
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    // Shared secret of all instances; must not be empty.
    std::string fleet_key;

    // Messages that wait for one peer, in bytes of envelopes.
    std::size_t max_queued_bytes = 4U << 20U;

    // Waiting messages older than this are dropped: every protocol above
    // repeats what it still needs, and stale placements would only do harm.
    duration max_queued_age{std::chrono::seconds{3}};

    // Time for the connection and the exchange of hellos, and for the first
    // authenticated frame on an accepted connection.
    duration handshake_timeout{std::chrono::seconds{2}};

    // Pause before the next attempt to connect; doubles up to the maximum.
    duration min_backoff{std::chrono::milliseconds{100}};
    duration max_backoff{std::chrono::seconds{2}};

    // A connection without traffic for this long is closed by the side that
    // opened it. Keeps the number of open connections of an instance that
    // gossips with 380 members at about a third of them.
    duration idle_timeout{std::chrono::seconds{60}};

    // Accepted connections that have not yet sent an authenticated frame;
    // further ones are refused.
    std::size_t max_unauthenticated = 256;

    // Allows set_blocked. Only for tests of link failures.
    bool allow_blocked_links = false;
};

struct received_message
{
    instance_id sender = 0;
    incarnation_number incarnation = 0;
    wire::payloadUnion payload;
};

// Totals since the start.
struct peer_network_counters
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t dropped_full = 0;
    std::uint64_t dropped_stale = 0;
    std::uint64_t dropped_no_address = 0;
    std::uint64_t dropped_oversized = 0;
    std::uint64_t dropped_blocked = 0;
    std::uint64_t authentication_failures = 0;
    std::uint64_t protocol_errors = 0;
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_closed = 0;
};

// Authenticated messages between instances over TCP. Messages may be lost,
// for example when a connection breaks; order is kept while one connection
// lasts. All functions except wake belong to one thread.
class peer_network
{
public:
    explicit peer_network(peer_network_options options);
    ~peer_network();

    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    // Starts to listen. Errors: settings_invalid.
    absl::Status start();

    // Port listened on, after start.
    std::uint16_t port() const;

    // Address under which a peer is reached; replaces an earlier one.
    absl::Status
    set_address(instance_id peer, std::string_view host, std::uint16_t port);

    // Queues a message and never blocks. The oldest messages for the peer are
    // dropped when its queue is full.
    void send(const outgoing_message& message);

    // Waits until messages arrive, wake is called or the timeout passes, and
    // does the work of timers and connections.
    std::vector<received_message> poll(duration timeout);

    // Ends the current or the next poll early. Safe from any thread.
    void wake();

    // Drops every message to these peers; replaces the earlier set. Does
    // nothing unless the options allow it.
    void set_blocked(std::span<const instance_id> peers);

    const peer_network_counters& counters() const
    {
        return counters_;
    }
    std::size_t connection_count() const
    {
        return connections_.size();
    }

private:
    struct queued_envelope
    {
        std::vector<std::uint8_t> bytes;
        time_point queued;
    };

    struct peer_state
    {
        std::optional<Poco::Net::SocketAddress> address;
        std::deque<queued_envelope> queue;
        std::size_t queued_bytes = 0;
        peer_connection* current = nullptr;
        bool connecting = false;
        time_point next_attempt;
        duration backoff{0};
    };

    using connection_map =
        std::map<Poco::Net::Socket, std::unique_ptr<peer_connection>>;

    std::vector<std::uint8_t> encode_message(const wire::payloadUnion& payload);
    void accept_connections(time_point now);
    void open_connection(instance_id id, peer_state& peer, time_point now);
    void flush(peer_state& peer, time_point now);
    bool write(peer_connection& connection, time_point now);
    void read(peer_connection& connection, time_point now);
    absl::Status take_envelope(
        peer_connection& connection, std::span<const std::uint8_t> data);
    void close(peer_connection& connection, const absl::Status& reason);
    void run_timers(time_point now);
    void drop_stale(peer_state& peer, time_point now);
    void expire_connections(time_point now);
    void update_interest(const peer_connection& connection);
    void count_bytes(peer_connection& connection);

    peer_network_options options_;
    random_engine random_;
    peer_network_counters counters_;
    Poco::Net::ServerSocket listener_;
    Poco::Net::DatagramSocket wake_socket_;
    Poco::Net::PollSet poll_set_;
    std::atomic<bool> wake_pending_{false};
    connection_map connections_;
    std::map<instance_id, peer_state> peers_;
    std::set<instance_id> blocked_;
    std::vector<received_message> received_;
    std::uint64_t envelope_sequence_ = 0;
    time_point last_timers_;
};

} // namespace hickorygap

#endif
