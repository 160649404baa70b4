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

    // IP address and port to listen on; port 0 selects a free port.
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    // Shared secret of all instances; must not be empty.
    std::string fleet_key;

    // Limit on the queued envelopes of one peer.
    std::size_t max_queued_bytes = 4U << 20U;

    // Queued messages older than this are dropped: the protocols above resend
    // what they still need, and stale placement messages would do harm.
    duration max_queued_age{std::chrono::seconds{3}};

    // Limit on connecting and exchanging hellos and, on an accepted
    // connection, on the arrival of the first authenticated frame.
    duration handshake_timeout{std::chrono::seconds{2}};

    // Delay between connection attempts; doubles from the minimum up to the
    // maximum, with jitter.
    duration min_backoff{std::chrono::milliseconds{100}};
    duration max_backoff{std::chrono::seconds{2}};

    // The side that opened a connection closes it after this time without
    // traffic. In a fleet of 380 members, gossip then keeps connections to
    // about a third of them open.
    duration idle_timeout{std::chrono::seconds{60}};

    // Limit on accepted connections without an authenticated frame; further
    // connections are refused.
    std::size_t max_unauthenticated = 256;

    // Enables set_blocked; only for tests of link failures.
    bool allow_blocked_links = false;
};

struct received_message
{
    instance_id sender = 0;
    incarnation_number incarnation = 0;
    wire::payloadUnion payload;
};

// Totals since the start. The dropped_ counters count messages.
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

// Sends and receives authenticated messages between instances over TCP.
// Messages may be lost, for example when a connection breaks; they stay in
// order on one connection. All functions except wake must be called from one
// thread.
class peer_network
{
public:
    explicit peer_network(peer_network_options options);
    ~peer_network();

    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    // Starts listening. Errors: settings_invalid.
    absl::Status start();

    // The port that is listened on; valid after start.
    std::uint16_t port() const;

    // Sets or replaces the address of a peer. Errors: settings_invalid when
    // `host` isn't a numeric IP address.
    absl::Status
    set_address(instance_id peer, std::string_view host, std::uint16_t port);

    // Queues a message without blocking. When the peer's queue is full, its
    // oldest messages are dropped.
    void send(const outgoing_message& message);

    // Runs timers, reads and writes connections, and returns received
    // messages. Waits until a socket is ready, wake is called or the timeout
    // passes.
    std::vector<received_message> poll(duration timeout);

    // Ends the current or the next poll early. May be called from any thread.
    void wake();

    // Drops all messages to these peers; replaces the earlier set. Does nothing
    // unless allow_blocked_links is set.
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
        time_point queued_at;
    };

    struct peer_state
    {
        std::optional<Poco::Net::SocketAddress> address;
        std::deque<queued_envelope> queue;
        std::size_t queued_bytes = 0;
        peer_connection* active_connection = nullptr;
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
    absl::Status receive_envelope(
        peer_connection& connection, std::span<const std::uint8_t> data);
    void close(peer_connection& connection, const absl::Status& reason);
    void run_timers(time_point now);
    void drop_stale_messages(peer_state& peer, time_point now);
    void close_expired_connections(time_point now);
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
