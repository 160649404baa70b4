#include "common/compression.hpp"
#include "connection/event/listener.hpp"
#include "platform/replica_list.hpp"
#include "process/gateway/fleet_follower.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

// What a follower reports, kept for the checks.
class observer_double final : public fleet_observer
{
public:
    bool on_configuration(
        configuration_version version, std::string_view document) override
    {
        versions.push_back(version);
        last_document = document;
        return true;
    }
    void on_backend_list(std::span<const listed_backend> list) override
    {
        backends = list.size();
    }
    std::vector<backend_load> report_loads() override
    {
        return {};
    }
    void on_fleet_load(std::span<const backend_load> /*loads*/) override
    {
    }
    void on_router_count(std::uint32_t /*routers*/) override
    {
    }

    std::vector<configuration_version> versions;
    std::string last_document;
    std::size_t backends = 0;
};

// A voter at one of the addresses of loopback. Answers each status with its
// notice and counts what it hears.
class voter_double final : public link_observer
{
public:
    voter_double(event_loop& loop, std::string host, std::uint16_t port)
        : loop_{loop}
        , host_{std::move(host)}
        , listener_{
              loop, [this](const Poco::Net::StreamSocket& socket)
              {
                  links_.push_back(link_connection::accepted(
                      loop_, socket, instance_at(host_), *this));
              }}
    {
        opened_ = listener_.open({host_, port}).ok();
    }

    void on_link_ready(link_connection& /*link*/) override
    {
    }
    void on_message(link_connection& link, wire::envelope_msg message) override
    {
        if (const auto* status =
                message_in<wire::router_status_msg>(message.payload))
        {
            ++statuses;
            reported = status->version;
            link.send(make_payload(notice));
        }
    }
    void on_link_end(link_connection& /*link*/) override
    {
        ++ended;
    }

    template <typename Message>
    void send(const Message& message)
    {
        links_.back()->send(make_payload(message));
    }

    bool opened() const
    {
        return opened_;
    }

    wire::voter_notice_msg notice;
    int statuses = 0;
    int ended = 0;
    configuration_version reported = 0;

private:
    event_loop& loop_;
    std::string host_;
    std::vector<std::unique_ptr<link_connection>> links_;
    listener listener_;
    bool opened_ = false;
};

const std::string seed_host = "127.0.0.2";
const std::string other_host = "127.0.0.3";

// A follower that knows one of two voters from its settings.
struct follower_fixture
{
    follower_fixture()
    {
        REQUIRE(loop.open().ok());
        do
        {
            settings.peers.port = next_port();
            seed = std::make_unique<voter_double>(
                loop, seed_host, settings.peers.port);
            other = std::make_unique<voter_double>(
                loop, other_host, settings.peers.port);
        } while (!seed->opened() || !other->opened());
        settings.instance.host = "127.0.0.1";
        settings.peers.seeds = {seed_host};
        // Nothing listens there.
        settings.backend_list.address = {"127.0.0.1", 1};
        for (voter_double* voter : {seed.get(), other.get()})
        {
            voter->notice.voters = {
                instance_at(seed_host), instance_at(other_host)};
        }
        follower =
            std::make_unique<fleet_follower>(loop, settings, list, observer);
    }

    bool wait(const std::function<bool()>& condition)
    {
        return run_until(loop, condition, 3s);
    }

    event_loop loop;
    fleet_settings settings;
    platform::replica_list list;
    observer_double observer;
    std::unique_ptr<voter_double> seed;
    std::unique_ptr<voter_double> other;
    std::unique_ptr<fleet_follower> follower;
};

wire::routing_push_msg push_of(
    configuration_version version, std::string_view document,
    configuration_version base = 0, std::string_view reference = {})
{
    wire::routing_push_msg push;
    push.version = version;
    push.base_version = base;
    push.document = compress(document, reference);
    return push;
}

} // namespace

// Failure: all machines restart and the voters elect one that is not among the
// routers' seeds. Guards against routers that never hear the leader.
TEST_CASE("a router finds a leader that only other voters name")
{
    follower_fixture f;
    f.other->notice.leads = true;
    f.follower->start();
    REQUIRE(f.wait([&] { return f.seed->statuses > 0; }));
    CHECK(f.wait([&] { return f.other->statuses > 0; }));
    CHECK(f.wait([&] { return f.follower->leader_silence() < 1s; }));
}

// Guards against links to voters that are gone, which are dialled for ever.
TEST_CASE("a voter that the leader no longer names is left")
{
    follower_fixture f;
    f.seed->notice.leads = true;
    f.follower->start();
    REQUIRE(f.wait([&] { return f.other->statuses > 0; }));
    f.seed->notice.voters = {instance_at(seed_host)};
    CHECK(f.wait([&] { return f.other->ended > 0; }));
}

// Guards against a configuration that is built on the wrong base, and against
// voters that don't learn what a router holds.
TEST_CASE("configurations arrive whole or as changes")
{
    const std::string first = "first document";
    const std::string second = "second document";
    follower_fixture f;
    f.follower->start();
    REQUIRE(f.wait([&] { return f.seed->statuses > 0; }));

    f.seed->send(push_of(3, first));
    REQUIRE(f.wait([&] { return f.seed->reported == 3; }));
    CHECK(f.observer.last_document == first);

    f.seed->send(push_of(5, second, 3, first));
    REQUIRE(f.wait([&] { return f.seed->reported == 5; }));
    CHECK(f.observer.last_document == second);

    // Older, and on a base that this router has left: reported, not applied.
    const int statuses = f.seed->statuses;
    f.seed->send(push_of(4, first));
    f.seed->send(push_of(7, first, 3, first));
    REQUIRE(f.wait([&] { return f.seed->statuses > statuses; }));
    CHECK(f.observer.versions == std::vector<configuration_version>{3, 5});

    // Damaged: a new link starts from what is held.
    auto damaged = push_of(8, first);
    damaged.document.resize(damaged.document.size() / 2);
    f.seed->send(damaged);
    REQUIRE(f.wait([&] { return f.seed->statuses > statuses + 1; }));
    CHECK(f.seed->reported == 5);
    CHECK(f.observer.last_document == second);
}
