#include "connection/framing/peer_network.hpp"

#include <Poco/Exception.h>
#include <catch2/catch.hpp>

#include <thread>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

constexpr duration poll_timeout{10ms};

// Only a faulty implementation reaches this timeout.
constexpr duration test_timeout{20s};

peer_network_options make_options(instance_id self)
{
    peer_network_options options;
    options.self = self;
    options.incarnation = 1000 + self;
    options.fleet_key = "test key";
    options.min_backoff = 5ms;
    options.max_backoff = 50ms;
    return options;
}

struct test_peer
{
    explicit test_peer(peer_network_options options)
        : network{std::move(options)}
    {
        REQUIRE(network.start().ok());
    }

    void set_peer_port(instance_id id, std::uint16_t port)
    {
        REQUIRE(network.set_address(id, "127.0.0.1", port).ok());
    }

    void send(instance_id to, std::uint32_t sequence, std::size_t padding = 0)
    {
        wire::append_request_msg message;
        message.term = sequence;
        if (padding > 0)
        {
            auto entry = std::make_unique<wire::log_entry_msg>();
            entry->data.assign(padding, 1);
            message.entries.push_back(std::move(entry));
        }
        network.send(make_outgoing(to, std::move(message)));
    }

    void poll()
    {
        for (received_message& message : network.poll(poll_timeout))
        {
            const auto* request =
                message_in<wire::append_request_msg>(message.payload);
            REQUIRE(request != nullptr);
            received.emplace_back(message.sender, request->term);
        }
    }

    peer_network network;
    std::vector<std::pair<instance_id, std::uint64_t>> received;
};

template <typename Condition>
bool poll_until(std::initializer_list<test_peer*> peers, Condition condition)
{
    const time_point end = boot_now() + test_timeout;
    while (!condition())
    {
        if (boot_now() > end)
        {
            return false;
        }
        for (test_peer* peer : peers)
        {
            peer->poll();
        }
    }
    return true;
}

// Peer that writes the protocol byte by byte, to send malformed or replayed
// frames.
class raw_peer
{
public:
    raw_peer(std::uint16_t port, instance_id self)
        : socket_{Poco::Net::SocketAddress{"127.0.0.1", port}}
        , self_{self}
    {
        socket_.setReceiveTimeout(Poco::Timespan{20, 0});
    }

    void exchange_hellos(instance_id peer, test_peer& remote)
    {
        const connection_hello own{self_, make_nonce()};
        const auto bytes = encode_hello(own);
        send(bytes);
        std::array<std::uint8_t, hello_size> response{};
        while (socket_.available() < static_cast<int>(hello_size))
        {
            remote.poll();
        }
        socket_.receiveBytes(response.data(), hello_size);
        const auto hello = decode_hello(response);
        REQUIRE(hello.ok());
        REQUIRE(hello->sender == peer);
        authenticator.emplace("test key", own, *hello);
    }

    void send(std::span<const std::uint8_t> bytes)
    {
        socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    std::vector<std::uint8_t> make_frame(std::uint64_t term)
    {
        wire::append_request_msg message;
        message.term = term;
        wire::envelope_msg envelope;
        envelope.sender = self_;
        envelope.payload = make_payload(std::move(message));
        std::vector<std::uint8_t> frame;
        append_frame(*authenticator, encode(envelope), frame);
        return frame;
    }

    void close()
    {
        socket_.close();
    }

    std::optional<frame_authenticator> authenticator;

private:
    Poco::Net::StreamSocket socket_;
    instance_id self_;
};

} // namespace

// Guards against lost or reordered messages on a healthy link, and against
// a second connection for the opposite direction.
TEST_CASE("messages arrive in order in both directions")
{
    test_peer one{make_options(1)};
    test_peer two{make_options(2)};
    one.set_peer_port(2, two.network.port());
    for (std::uint32_t i = 0; i < 100; ++i)
    {
        one.send(2, i);
    }
    REQUIRE(
        poll_until({&one, &two}, [&] { return two.received.size() == 100; }));
    for (std::uint32_t i = 0; i < 100; ++i)
    {
        CHECK(two.received[i] == std::pair{instance_id{1}, std::uint64_t{i}});
    }
    two.send(1, 7);
    CHECK(poll_until({&one, &two}, [&] { return one.received.size() == 1; }));
    CHECK(two.network.connection_count() == 1);
    CHECK(one.network.counters().frames_sent == 100);
    CHECK(two.network.counters().bytes_received > 0);
    CHECK(
        two.network.counters().bytes_received ==
        one.network.counters().bytes_sent);
}

// Guards against a message to the instance itself that is lost because it has
// no address or connection.
TEST_CASE("messages to self are returned by the next poll")
{
    test_peer one{make_options(1)};
    one.send(1, 3);
    one.poll();
    REQUIRE(one.received.size() == 1);
    CHECK(one.received[0] == std::pair{instance_id{1}, std::uint64_t{3}});
}

// Guards against a poll that waits for its whole timeout although another
// thread has called wake.
TEST_CASE("wake ends a poll early")
{
    test_peer one{make_options(1)};
    std::thread other{[&] { one.network.wake(); }};
    const time_point start = boot_now();
    one.network.poll(test_timeout);
    other.join();
    CHECK(boot_now() - start < test_timeout);
}

// Guards against messages that are accepted from an instance of another fleet.
TEST_CASE("a peer with another fleet key is refused and counted")
{
    test_peer one{make_options(1)};
    peer_network_options other = make_options(2);
    other.fleet_key = "another key";
    test_peer two{other};
    two.set_peer_port(1, one.network.port());
    two.send(1, 5);
    CHECK(poll_until(
        {&one, &two},
        [&] { return one.network.counters().authentication_failures > 0; }));
    CHECK(one.received.empty());
    CHECK(one.network.counters().frames_received == 0);
}

// Guards against a recorded frame that is accepted again, on the same
// connection or on a new one.
TEST_CASE("a replayed frame is refused")
{
    const bool new_connection = GENERATE(false, true);
    test_peer one{make_options(1)};
    raw_peer client{one.network.port(), 2};
    client.exchange_hellos(1, one);
    const auto frame = client.make_frame(9);
    client.send(frame);
    REQUIRE(poll_until({&one}, [&] { return one.received.size() == 1; }));
    if (new_connection)
    {
        raw_peer second{one.network.port(), 2};
        second.exchange_hellos(1, one);
        second.send(frame);
        CHECK(poll_until(
            {&one}, [&]
            { return one.network.counters().authentication_failures == 1; }));
    }
    else
    {
        client.send(frame);
        CHECK(poll_until(
            {&one}, [&]
            { return one.network.counters().authentication_failures == 1; }));
    }
    CHECK(one.received.size() == 1);
}

// Guards against a sender that names another instance in its envelopes than in
// its hello.
TEST_CASE("an envelope with another sender closes the connection")
{
    test_peer one{make_options(1)};
    raw_peer client{one.network.port(), 2};
    client.exchange_hellos(1, one);
    wire::envelope_msg envelope;
    envelope.sender = 3;
    envelope.payload = make_payload(wire::version_pull_msg{});
    std::vector<std::uint8_t> frame;
    append_frame(*client.authenticator, encode(envelope), frame);
    client.send(frame);
    CHECK(poll_until(
        {&one}, [&] { return one.network.counters().protocol_errors == 1; }));
    CHECK(one.received.empty());
}

// Guards against a length field that makes the receiver allocate a large
// buffer.
TEST_CASE("a frame above the limit closes the connection")
{
    test_peer one{make_options(1)};
    raw_peer client{one.network.port(), 2};
    client.exchange_hellos(1, one);
    std::vector<std::uint8_t> header(frame_header_size, 0xff);
    client.send(header);
    CHECK(poll_until(
        {&one}, [&] { return one.network.counters().protocol_errors == 1; }));
    CHECK(one.network.connection_count() == 0);
}

// Guards against a partial frame that is taken for a complete one, and against
// a connection that stays open after the peer has closed it.
TEST_CASE("a truncated frame is dropped with its connection")
{
    test_peer one{make_options(1)};
    raw_peer client{one.network.port(), 2};
    client.exchange_hellos(1, one);
    auto frame = client.make_frame(4);
    frame.resize(frame.size() - 1);
    client.send(frame);
    client.close();
    CHECK(poll_until(
        {&one},
        [&] { return one.network.counters().connections_closed == 1; }));
    CHECK(one.received.empty());
}

// Guards against frames that are misread when TCP splits them.
TEST_CASE("a frame that arrives byte by byte is read")
{
    test_peer one{make_options(1)};
    raw_peer client{one.network.port(), 2};
    client.exchange_hellos(1, one);
    for (const std::uint8_t byte : client.make_frame(4))
    {
        client.send({&byte, 1});
    }
    CHECK(poll_until({&one}, [&] { return one.received.size() == 1; }));
}

// Guards against a sender that blocks or grows without limit when a peer stops
// reading. Only the oldest messages are dropped.
TEST_CASE("only the oldest messages are dropped when a peer stops reading")
{
    peer_network_options options = make_options(1);
    options.max_queued_bytes = 1U << 20U;
    options.max_queued_age = 1h;
    test_peer one{options};
    test_peer two{make_options(2)};
    one.set_peer_port(2, two.network.port());
    one.send(2, 0);
    REQUIRE(poll_until({&one, &two}, [&] { return !two.received.empty(); }));
    constexpr std::uint32_t count = 400;
    constexpr std::size_t padding = 100'000;
    for (std::uint32_t i = 1; i <= count; ++i)
    {
        one.send(2, i, padding);
    }
    CHECK(one.network.counters().dropped_full > 0);
    REQUIRE(poll_until(
        {&one, &two}, [&] { return two.received.back().second == count; }));
    CHECK(two.received.size() < count);
    CHECK(
        two.received.size() - 1 + one.network.counters().dropped_full == count);
}

// Guards against a peer that stays unreachable after its restart.
TEST_CASE("a restarted peer is reconnected")
{
    test_peer one{make_options(1)};
    auto two = std::make_unique<test_peer>(make_options(2));
    const std::uint16_t port = two->network.port();
    one.set_peer_port(2, port);
    one.send(2, 1);
    REQUIRE(
        poll_until({&one, two.get()}, [&] { return !two->received.empty(); }));
    two.reset();
    one.send(2, 2);
    one.poll();
    peer_network_options options = make_options(2);
    options.port = port;
    two = std::make_unique<test_peer>(options);
    CHECK(poll_until(
        {&one, two.get()},
        [&]
        {
            one.send(2, 3);
            return !two->received.empty();
        }));
}

// Guards against stale messages that reach a peer long after they were sent.
TEST_CASE("queued messages that are too old are dropped")
{
    peer_network_options options = make_options(1);
    options.max_queued_age = 1ms;
    test_peer one{options};
    test_peer unused{make_options(2)};
    const std::uint16_t free_port = unused.network.port();
    // This peer is never polled, so the handshake never completes.
    one.set_peer_port(2, free_port);
    one.send(2, 1);
    CHECK(poll_until(
        {&one}, [&] { return one.network.counters().dropped_stale == 1; }));
}

// Guards against simulated link failures that are possible in production, and
// against ones that let messages through in tests.
TEST_CASE("links are blocked only when allow_blocked_links is set")
{
    const bool allowed = GENERATE(false, true);
    peer_network_options options = make_options(1);
    options.allow_blocked_links = allowed;
    test_peer one{options};
    test_peer two{make_options(2)};
    one.set_peer_port(2, two.network.port());
    const std::array<instance_id, 1> blocked{2};
    one.network.set_blocked(blocked);
    one.send(2, 1);
    CHECK(one.network.counters().dropped_blocked == (allowed ? 1U : 0U));
    one.network.set_blocked({});
    one.send(2, 2);
    CHECK(poll_until(
        {&one, &two}, [&]
        { return !two.received.empty() && two.received.back().second == 2; }));
    CHECK(two.received.size() == (allowed ? 1U : 2U));
}

// Guards against a network that starts without authentication, and against an
// address that can't be used.
TEST_CASE("an empty fleet key and a host name as address are refused")
{
    peer_network_options options = make_options(1);
    options.fleet_key.clear();
    peer_network network{options};
    CHECK(kind_of(network.start()) == error_kind::settings_invalid);
    CHECK(
        kind_of(network.set_address(2, "not-numeric", 1)) ==
        error_kind::settings_invalid);
}
