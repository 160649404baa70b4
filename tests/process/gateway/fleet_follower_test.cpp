#include "common/compression.hpp"
#include "common/hashing.hpp"
#include "connection/event/listener.hpp"
#include "platform/replica_list.hpp"
#include "process/fleet_process/load_exchange.hpp"
#include "process/gateway/fleet_follower.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

// A crash report that names this many requests.
wire::blame_report_msg report_of(std::size_t requests)
{
    wire::blame_report_msg report;
    for (std::size_t i = 0; i < requests; ++i)
    {
        report.suspects.push_back(std::make_unique<wire::crash_suspect_msg>());
    }
    return report;
}

// Records what a follower passes on.
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
        return own_load;
    }
    void on_fleet_load(std::span<const fleet_backend_load> fleet) override
    {
        fleet_load.assign(fleet.begin(), fleet.end());
    }
    std::optional<wire::blame_report_msg> take_blame() override
    {
        return report_of(1);
    }
    std::optional<wire::blame_report_msg> all_blame() const override
    {
        return report_of(2);
    }
    void on_blame(const wire::blame_report_msg& report) override
    {
        blame += report.suspects.size();
    }
    std::optional<wire::streams_sent_msg> open_streams() const override
    {
        wire::streams_sent_msg message;
        message.streams.emplace_back(streams, 1);
        return message;
    }
    void on_streams_inherited(const wire::streams_sent_msg& message) override
    {
        inherited += message.streams.size();
    }
    void on_stream_answer(const wire::stream_answer_msg& /*answer*/) override
    {
    }
    void on_permit_grant(const wire::permit_grant_msg& /*grant*/) override
    {
    }
    std::vector<service_id> lost_services() const override
    {
        return {};
    }
    void on_tunnel_hosts(std::span<const instance_id> /*hosts*/) override
    {
    }
    void on_router_count(std::uint32_t count) override
    {
        routers = count;
    }

    // Identifier of the only open stream.
    stream_id streams = 77;
    std::size_t inherited = 0;
    std::uint32_t routers = 0;
    std::vector<configuration_version> versions;
    std::string last_document;
    std::vector<backend_load> own_load;
    std::vector<fleet_backend_load> fleet_load;
    std::size_t backends = 0;

    // Requests named in crash reports from voters.
    std::size_t blame = 0;
};

const std::string seed_host = "127.0.0.2";
const std::string other_host = "127.0.0.3";
const std::string relay_host = "127.0.0.4";

const std::uint32_t engine = short_backend_id(hash_name("i-7"));

// The backend list with the one engine, as the leader publishes it.
backend_list_replica published_list()
{
    backend_list_replica list;
    list.publish(
        1, std::vector<listed_backend>{
               {"i-7", "llm", "domain-a", {"10.0.0.1", 80}, 8, false}});
    return list;
}

wire::load_summary_msg summary_of(std::uint16_t in_flight)
{
    const backend_list_replica list = published_list();
    load_codec codec{list};
    const std::vector<fleet_backend_load> fleet{{engine, in_flight, 0}};
    auto summary = *codec.encode(fleet);
    summary.leader = instance_at(seed_host);
    return summary;
}

// A test voter on a loopback address. Responds to each status with its notice
// and records what it receives.
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
        is_open_ = listener_.open({host_, port}).ok();
    }

    void on_link_ready(link_connection& /*link*/) override
    {
    }
    void on_message(link_connection& link, wire::envelope_msg message) override
    {
        if (cut_off.contains(message.sender))
        {
            return;
        }
        if (const auto* status =
                message_in<wire::router_status_msg>(message.payload))
        {
            ++statuses;
            reported = status->version;
            last_status = *status;
            if (is_silent)
            {
                return;
            }
            if (is_relay)
            {
                link.send(make_payload(wire::relay_heartbeat_msg{}));
            }
            else
            {
                link.send(make_payload(notice));
            }
        }
        else if (
            const auto* report =
                message_in<wire::load_report_msg>(message.payload))
        {
            ++load_reports;
            loads = codec.decode(*report).value_or(std::vector<backend_load>{});
        }
        else if (
            const auto* blame =
                message_in<wire::blame_report_msg>(message.payload))
        {
            blamed.push_back(blame->suspects.size());
        }
        else if (
            const auto* sent =
                message_in<wire::streams_sent_msg>(message.payload))
        {
            streams += sent->streams.size();
            for (const wire::stream_version& item : sent->streams)
            {
                known_streams.insert(item.stream());
            }
        }
    }
    void on_link_end(link_connection& /*link*/) override
    {
        ++ended;
    }

    void close_links(instance_id router)
    {
        for (const auto& link : links_)
        {
            if (link->peer() == router)
            {
                link->close();
            }
        }
    }

    template <typename Message>
    void send(const Message& message)
    {
        links_.back()->send(make_payload(message));
    }

    // Sends to the peer that connected first.
    template <typename Message>
    void send_to_first(const Message& message)
    {
        links_.front()->send(make_payload(message));
    }

    bool opened() const
    {
        return is_open_;
    }

    wire::voter_notice_msg notice;
    bool is_relay = false;
    bool is_silent = false;
    wire::router_status_msg last_status;
    int load_reports = 0;
    std::vector<backend_load> loads;
    backend_list_replica list = published_list();
    load_codec codec{list};
    int statuses = 0;
    int ended = 0;
    configuration_version reported = 0;

    // Number of requests in each crash report received.
    std::vector<std::size_t> blamed;

    // Open streams of routers received.
    std::size_t streams = 0;
    std::set<stream_id> known_streams;

    // Routers whose messages do not arrive.
    std::set<instance_id> cut_off;

private:
    event_loop& loop_;
    std::string host_;
    std::vector<std::unique_ptr<link_connection>> links_;
    listener listener_;
    bool is_open_ = false;
};

// A follower whose settings name one of two voters.
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
            relay = std::make_unique<voter_double>(
                loop, relay_host, settings.peers.port);
            relay->is_relay = true;
        } while (!seed->opened() || !other->opened() || !relay->opened());
        settings.instance.host = "127.0.0.1";
        settings.peers.seeds = {seed_host};
        // No server listens there.
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

    // A router that the voters assign as relay in some tests.
    std::unique_ptr<voter_double> relay;
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

// Guards against routers that never hear the leader, when all machines restart
// and the voters elect one that is not among the seeds of the routers.
TEST_CASE("a router finds a leader that is not among its seeds")
{
    follower_fixture f;
    f.other->notice.leads = true;
    REQUIRE(f.follower->start().ok());
    REQUIRE(f.wait([&] { return f.seed->statuses > 0; }));
    CHECK(f.wait([&] { return f.other->statuses > 0; }));
    CHECK(f.wait([&] { return f.follower->leader_silence() < 1s; }));
}

// Guards against a router that takes seconds after a restart to find a leader
// that the first notice names, while callers wait.
TEST_CASE(
    "a router that has just started connects to the voters in the first notice")
{
    follower_fixture f;
    f.other->notice.leads = true;
    const time_point start = boot_now();
    REQUIRE(f.follower->start().ok());
    REQUIRE(f.wait([&] { return f.other->statuses > 0; }));
    CHECK(boot_now() - start < 600ms);
}

// Guards against a voter that does not know the streams which a router has
// begun while the two were not linked.
TEST_CASE("each voter hears of the open streams when it is linked")
{
    follower_fixture f;
    REQUIRE(f.follower->start().ok());
    CHECK(f.wait([&] { return f.seed->streams == 1; }));
    CHECK(f.wait([&] { return f.other->streams == 1; }));
}

// Guards against a router that has hardly any retry budget for a second after
// its start, because it assumes a large fleet, and against one that uses too
// large a share after the fleet has grown.
TEST_CASE("the number of routers counts from the notice that names it")
{
    constexpr duration notice_delay = 200ms;
    follower_fixture f;
    f.seed->notice.leads = true;
    f.seed->notice.routers = 3;
    REQUIRE(f.follower->start().ok());
    REQUIRE(f.wait([&] { return f.seed->statuses > 0; }));
    CHECK(run_until(
        f.loop, [&] { return f.observer.routers == 3; }, notice_delay));
    f.seed->notice.routers = 5;
    f.seed->send(f.seed->notice);
    CHECK(run_until(
        f.loop, [&] { return f.observer.routers == 5; }, notice_delay));
}

// Guards against a new leader that does not know of earlier crashes of servers,
// and against crash reports to voters that are not the leader.
TEST_CASE("a new leader gets all crashes and the current leader gets new ones")
{
    follower_fixture f;
    f.seed->notice.leads = true;
    REQUIRE(f.follower->start().ok());
    REQUIRE(f.wait([&] { return !f.seed->blamed.empty(); }));
    f.follower->report_blame();
    REQUIRE(f.wait([&] { return f.seed->blamed.size() == 2; }));
    CHECK(f.seed->blamed == std::vector<std::size_t>{2, 1});
    REQUIRE(f.wait([&] { return f.other->statuses > 0; }));
    CHECK(f.other->blamed.empty());

    f.seed->notice.leads = false;
    f.other->notice.leads = true;
    REQUIRE(f.wait([&] { return !f.other->blamed.empty(); }));
    CHECK(f.other->blamed.front() == 2);

    f.other->send(report_of(3));
    CHECK(f.wait([&] { return f.observer.blame == 3; }));
}

// Guards against links to removed voters that are reconnected indefinitely.
TEST_CASE("the link to a voter that the leader no longer names is closed")
{
    follower_fixture f;
    f.seed->notice.leads = true;
    REQUIRE(f.follower->start().ok());
    REQUIRE(f.wait([&] { return f.other->statuses > 0; }));
    f.seed->notice.voters = {instance_at(seed_host)};
    CHECK(f.wait([&] { return f.other->ended > 0; }));
}

// Guards against a change that is applied to the wrong base version, and
// against voters that do not learn which version a router holds.
TEST_CASE("configurations arrive as whole documents or as changes")
{
    const std::string first = "first document";
    const std::string second = "second document";
    follower_fixture f;
    REQUIRE(f.follower->start().ok());
    REQUIRE(f.wait([&] { return f.seed->statuses > 0; }));

    f.seed->send(push_of(3, first));
    REQUIRE(f.wait([&] { return f.seed->reported == 3; }));
    CHECK(f.observer.last_document == first);

    f.seed->send(push_of(5, second, 3, first));
    REQUIRE(f.wait([&] { return f.seed->reported == 5; }));
    CHECK(f.observer.last_document == second);

    // An older version, and a change to a base that this router no longer
    // holds: both are reported and not applied.
    const int statuses = f.seed->statuses;
    f.seed->send(push_of(4, first));
    f.seed->send(push_of(7, first, 3, first));
    REQUIRE(f.wait([&] { return f.seed->statuses > statuses; }));
    CHECK(f.observer.versions == std::vector<configuration_version>{3, 5});

    // Damaged: a new link starts from the version held.
    auto damaged = push_of(8, first);
    damaged.document.resize(damaged.document.size() / 2);
    f.seed->send(damaged);
    REQUIRE(f.wait([&] { return f.seed->statuses > statuses + 1; }));
    CHECK(f.seed->reported == 5);
    CHECK(f.observer.last_document == second);
}

// Guards against a router that still uses direct links to the leader although
// it has a relay, and against one that applies a configuration from a relay
// that is behind the voters.
TEST_CASE("a router exchanges documents and loads through its relay")
{
    follower_fixture f;
    f.observer.own_load = {{engine, 2}};
    f.seed->notice.leads = true;
    f.seed->notice.version = 3;
    f.seed->notice.relay = instance_at(relay_host);
    REQUIRE(f.follower->start().ok());
    REQUIRE(f.wait([&] { return f.relay->statuses > 0; }));
    f.relay->send(*published_list().changes_since({}));
    REQUIRE(f.wait([&] { return f.relay->load_reports > 0; }));
    CHECK(f.relay->loads == f.observer.own_load);
    CHECK(f.wait(
        [&] { return f.seed->last_status.relay == instance_at(relay_host); }));
    const int reports_to_leader = f.seed->load_reports;
    REQUIRE(f.wait([&] { return f.relay->load_reports > 3; }));
    CHECK(f.seed->load_reports == reports_to_leader);

    f.relay->send(summary_of(9));
    CHECK(f.wait([&] { return !f.observer.fleet_load.empty(); }));

    // Outdated: the voters have reported that version 3 is committed.
    f.relay->send(push_of(2, "old document"));
    f.relay->send(push_of(3, "new document"));
    REQUIRE(f.wait([&] { return f.relay->reported == 3; }));
    CHECK(f.observer.versions == std::vector<configuration_version>{3});
}

// Guards against routers that stay with a relay that is frozen or partitioned,
// and work without load totals.
TEST_CASE("a router gives up a relay that stops responding")
{
    follower_fixture f;
    f.seed->notice.leads = true;
    f.seed->notice.relay = instance_at(relay_host);
    REQUIRE(f.follower->start().ok());
    REQUIRE(f.wait([&] { return f.relay->statuses > 0; }));
    f.relay->send(*published_list().changes_since({}));
    REQUIRE(f.wait([&] { return f.relay->load_reports > 0; }));
    REQUIRE(f.wait([&] { return f.seed->last_status.relay != 0; }));
    f.relay->is_silent = true;
    REQUIRE(f.wait(
        [&] {
            return f.seed->last_status.avoided_relay == instance_at(relay_host);
        }));
    CHECK(f.seed->last_status.relay == 0);
    const int reports = f.seed->load_reports;
    CHECK(f.wait([&] { return f.seed->load_reports > reports; }));
}

// Guards against a relay that does not forward documents or load totals to its
// group, and against loads of the group that never reach the leader.
TEST_CASE("a relay serves the routers that connect to it")
{
    follower_fixture f;
    f.observer.own_load = {{engine, 2}};
    f.seed->notice.leads = true;
    f.seed->notice.relay = instance_at("127.0.0.1");
    REQUIRE(f.follower->start().ok());
    REQUIRE(f.wait([&] { return f.seed->statuses > 0; }));
    f.seed->send_to_first(*published_list().changes_since({}));
    REQUIRE(f.wait([&] { return f.seed->load_reports > 0; }));
    f.seed->send_to_first(push_of(3, "document"));

    REQUIRE(f.wait([&] { return f.seed->last_status.version == 3; }));

    observer_double member;
    member.own_load = {{engine, 5}};
    fleet_settings settings = f.settings;
    settings.instance.host = "127.0.0.5";
    fleet_follower member_follower{f.loop, settings, f.list, member};
    REQUIRE(member_follower.start().ok());
    REQUIRE(f.wait([&] { return member.versions.size() == 1; }));
    CHECK(member.last_document == "document");
    REQUIRE(f.wait(
        [&] {
            return f.seed->loads == std::vector<backend_load>{{engine, 7}};
        }));
    f.seed->send_to_first(summary_of(9));
    CHECK(f.wait([&] { return !member.fleet_load.empty(); }));
}

// Guards against streams that nobody can resume because their router was cut
// off from the voters when they began, and has ended since (review/3). The cut
// is noticed, or not yet; the connections to the voters hang, or are closed.
TEST_CASE("voters hear of the streams of a router that was cut off and ended")
{
    struct row
    {
        bool reaches_seed;
        bool reaches_other;
        bool closes_links;
        duration until_end;
    };
    const auto [reaches_seed, reaches_other, closes_links, until_end] =
        GENERATE(values<row>(
            {{true, true, false, 0ms},
             {true, false, false, 0ms},
             {true, false, false, 2s},
             {false, false, false, 0ms},
             {false, false, false, 2s},
             {false, false, true, 0ms},
             {false, false, true, 2s}}));
    CAPTURE(reaches_seed, reaches_other, closes_links, until_end.count());
    constexpr stream_id begun = 99;
    const instance_id router = instance_at("127.0.0.1");
    follower_fixture f;
    f.seed->notice.leads = true;
    f.seed->notice.tunnel_hosts = {router, instance_at("127.0.0.5")};
    observer_double observer;
    fleet_settings settings = f.settings;
    settings.instance.host = "127.0.0.5";
    fleet_follower backup{f.loop, settings, f.list, observer};
    REQUIRE(backup.start().ok());
    REQUIRE(f.follower->start().ok());
    REQUIRE(
        f.wait([&] { return f.seed->streams == 2 && f.other->streams == 2; }));
    // Time for the link to the backup.
    run_for(f.loop, 600ms);
    for (const auto& [voter, is_reached] :
         {std::pair{f.seed.get(), reaches_seed},
          std::pair{f.other.get(), reaches_other}})
    {
        if (!is_reached)
        {
            voter->cut_off.insert(router);
            if (closes_links)
            {
                voter->close_links(router);
            }
        }
    }
    wire::streams_sent_msg message;
    message.streams.emplace_back(begun, 1);
    f.observer.streams = begun;
    f.follower->send_streams(message);
    run_for(f.loop, until_end);
    f.follower.reset();
    CHECK(f.wait([&] { return f.seed->known_streams.contains(begun); }));
    CHECK(f.wait([&] { return f.other->known_streams.contains(begun); }));
}

// Guards against a backup that keeps streams to itself: their router is frozen,
// or the backup reached no voter either when the router ended.
TEST_CASE("a backup passes on the streams of a router that falls silent")
{
    const bool reaches_voters = GENERATE(true, false);
    const bool is_frozen = GENERATE(true, false);
    CAPTURE(reaches_voters, is_frozen);
    follower_fixture f;
    REQUIRE(f.follower->start().ok());
    REQUIRE(f.wait([&] { return f.seed->statuses > 0; }));
    const auto link = link_connection::dial(
        f.loop, {"127.0.0.1", f.settings.peers.port}, instance_at("127.0.0.6"),
        *f.relay);
    REQUIRE(f.wait([&] { return link->is_ready(); }));
    if (!reaches_voters)
    {
        f.seed.reset();
        f.other.reset();
        run_for(f.loop, 100ms);
    }
    wire::streams_sent_msg message;
    message.streams.emplace_back(99, 1);
    message.is_backup = true;
    link->send(make_payload(message));
    run_for(f.loop, 100ms);
    if (!is_frozen)
    {
        link->close();
    }
    const auto is_passed_on = [&]
    {
        return reaches_voters ? f.seed->known_streams.contains(99)
                              : f.observer.inherited == 1;
    };
    CHECK(run_until(f.loop, is_passed_on, 4s));
}
