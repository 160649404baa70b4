#include "common/compression.hpp"
#include "common/error.hpp"
#include "platform/configuration_document.hpp"
#include "platform/control_calls.hpp"
#include "platform/replica_list.hpp"
#include "process/consensus/file_log_storage.hpp"
#include "process/voter_node/voter_node.hpp"
#include "support/loopback.hpp"
#include "support/temporary_folder.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

const std::string document = R"({"version":7,"routes":[
    {"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming",
     "timeout_ms":12000,"service":"llm","max_attempts":2}],
    "services":[{"name":"llm","max_connections":500}],
    "tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]})";

// A voter on loopback that creates a group of one.
class single_voter
{
public:
    explicit single_voter(double link_megabits_per_second = 1000)
    {
        loop_opened_ = loop_.open().ok();
        settings_.instance.host = "127.0.0.1";
        settings_.storage.folder = folder_.path();
        settings_.storage.bootstrap = true;
        settings_.peers.seeds = {"127.0.0.1"};
        settings_.peers.link_megabits_per_second = link_megabits_per_second;
        // No server listens on this port.
        settings_.backend_list.address = {"127.0.0.1", 1};
    }

    // Opens the voter on free ports.
    void open()
    {
        REQUIRE(loop_opened_);
        do
        {
            settings_.peers.port = next_port();
            settings_.operators = {"127.0.0.1", next_port()};
            node_ = std::make_unique<voter_node>(
                loop_, settings_,
                voter_dialects{&configurations_, &list_, &calls_});
        } while (!node_->open().ok());
    }

    // Sends one operator call and returns the response; empty after 3 s without
    // one.
    std::string call(std::string_view head, std::string_view body)
    {
        caller_double caller{loop_, settings_.operators.port};
        caller.send(fmt::format(
            "{} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{}", head,
            body.size(), body));
        run_until(
            loop_, [&] { return !caller.received().empty(); }, 3s);
        return caller.received();
    }

    // Files the document, repeatedly until the voter is the leader.
    void file_document()
    {
        std::string answer;
        for (int attempt = 0; attempt < 50; ++attempt)
        {
            answer = call("PUT /config", document);
            if (answer.find("200 OK") != std::string::npos)
            {
                return;
            }
            run_until(
                loop_, [] { return false; }, 100ms);
        }
        FAIL("configuration not filed after 50 attempts: " << answer);
    }

    event_loop& loop()
    {
        return loop_;
    }
    voter_node& node()
    {
        return *node_;
    }
    const fleet_settings& settings() const
    {
        return settings_;
    }

private:
    temporary_folder folder_;
    event_loop loop_;
    bool loop_opened_ = false;
    fleet_settings settings_;
    platform::configuration_document configurations_;
    platform::replica_list list_;
    platform::control_calls calls_;
    std::unique_ptr<voter_node> node_;
};

// Voters of one group on loopback addresses that end in 11 and higher, with
// lost_disks 2. The first three create the group.
class voter_group
{
public:
    static constexpr int seed_count = 3;

    // Opens the voters one after another; false if that fails.
    bool open(int count)
    {
        const std::uint16_t peer_port = next_port();
        const std::uint16_t operator_port = next_port();
        for (int i = 0; i < count; ++i)
        {
            fleet_settings settings;
            settings.instance.host = host(i);
            settings.storage.folder = folders_.emplace_back().path();
            settings.storage.bootstrap = i < seed_count;
            settings.storage.lost_disks = 2;
            for (int seed = 0; seed < seed_count; ++seed)
            {
                settings.peers.seeds.push_back(host(seed));
            }
            settings.peers.port = peer_port;
            settings.operators = {settings.instance.host, operator_port};
            settings.backend_list.address = {"127.0.0.1", 1};
            auto& self = members_.emplace_back(std::make_unique<member>());
            if (!self->loop.open().ok())
            {
                return false;
            }
            self->node = std::make_unique<voter_node>(
                self->loop, settings,
                voter_dialects{&configurations_, &list_, &calls_});
            if (!self->node->open().ok())
            {
                return false;
            }
        }
        return true;
    }

    // Runs all voters in turn until the condition holds; false on timeout. A
    // voter that has stopped its loop ends.
    bool run_until(const std::function<bool()>& condition, duration time)
    {
        const time_point limit = boot_now() + time;
        while (!condition() && boot_now() < limit)
        {
            for (auto& self : members_)
            {
                if (self)
                {
                    self->loop.run_once(1ms);
                }
                if (self && self->loop.is_stopped())
                {
                    self.reset();
                }
            }
        }
        return condition();
    }

    std::optional<std::size_t> leader() const
    {
        for (std::size_t i = 0; i < members_.size(); ++i)
        {
            if (members_[i] && metric(i, "hickorygap_leads_bool") == 1)
            {
                return i;
            }
        }
        return std::nullopt;
    }

    // Whether the leader knows a group of this size.
    bool has_voters(int count) const
    {
        const auto at = leader();
        return at && metric(*at, "hickorygap_group_voters") == count;
    }

    void shut_down(std::size_t number)
    {
        members_[number]->node->shut_down();
    }
    bool is_running(std::size_t number) const
    {
        return members_[number] != nullptr;
    }

private:
    struct member
    {
        event_loop loop;
        std::unique_ptr<voter_node> node;
    };

    static std::string host(int number)
    {
        constexpr int first_host = 11;
        return fmt::format("127.0.0.{}", first_host + number);
    }

    // Value that the voter shows of a metric; -1 without it.
    int metric(std::size_t number, std::string_view name) const
    {
        const std::string text = members_[number]->node->metrics_text();
        const std::string line = fmt::format("\n{} ", name);
        const auto found = text.find(line);
        return found == std::string::npos
                   ? -1
                   : std::stoi(text.substr(found + line.size()));
    }

    std::deque<temporary_folder> folders_;
    platform::configuration_document configurations_;
    platform::replica_list list_;
    platform::control_calls calls_;
    std::vector<std::unique_ptr<member>> members_;
};

// Test double of a router, which connects to the voter by a link.
class router_double final : public link_observer
{
public:
    router_double(event_loop& loop, std::uint16_t port, instance_id self)
        : link_{link_connection::dial(loop, {"127.0.0.1", port}, self, *this)}
    {
    }

    void on_link_ready(link_connection& /*link*/) override
    {
    }
    void
    on_message(link_connection& /*link*/, wire::envelope_msg message) override
    {
        if (const auto* push =
                message_in<wire::routing_push_msg>(message.payload))
        {
            ++copies_;
            content_ = push->document;
            version_ = push->version;
        }
        else if (
            const auto* grant =
                message_in<wire::permit_grant_msg>(message.payload))
        {
            limit_changes_.push_back(grant->limits.size());
        }
    }
    void on_link_end(link_connection& /*link*/) override
    {
    }

    template <typename Message>
    void send(const Message& message)
    {
        link_->send(make_payload(message));
    }
    void send_status(configuration_version version)
    {
        wire::router_status_msg status;
        status.version = version;
        send(status);
    }
    void report_limit(backend_server_id server)
    {
        wire::permit_request_msg report;
        report.observed.emplace_back(server, 2.0, false, false, false, 0);
        send(report);
    }
    bool is_ready() const
    {
        return link_->is_ready();
    }
    // Sizes of the changes of limits that were received.
    const std::vector<std::size_t>& limit_changes() const
    {
        return limit_changes_;
    }
    int copies() const
    {
        return copies_;
    }
    configuration_version version() const
    {
        return version_;
    }
    std::string content() const
    {
        return decompress(content_, 1'000'000).value();
    }

private:
    std::unique_ptr<link_connection> link_;
    int copies_ = 0;
    configuration_version version_ = 0;
    std::vector<std::uint8_t> content_;
    std::vector<std::size_t> limit_changes_;
};

} // namespace

// Guards against a configuration that is acknowledged but can't be read back.
TEST_CASE("a configuration is filed and read back")
{
    single_voter voter;
    voter.open();
    voter.file_document();
    CHECK_THAT(voter.call("GET /config", ""), Catch::EndsWith(document));
    const std::string metrics = voter.node().metrics_text();
    for (const char* line :
         {"hickorygap_configuration_version 7\n", "hickorygap_leads_bool 1\n",
          "hickorygap_operator_calls_total{call=\"file\",confirmed=\"yes\"} "
          "1\n",
          "hickorygap_operator_calls_total{call=\"read\",confirmed=\"yes\"} "
          "1\n"})
    {
        CHECK_THAT(metrics, Catch::Contains(line));
    }
}

// Failure: a voter gets SIGTERM after its successor has joined. Guards against
// a process that ends while the group still counts on its vote (review/6), and
// against one that waits for a removal which the group can't afford.
TEST_CASE("a voter ends in order once the group does without it")
{
    const bool has_successor = GENERATE(true, false);
    const bool leads = GENERATE(true, false);
    CAPTURE(has_successor, leads);
    voter_group group;
    const int count = has_successor ? 6 : 5;
    REQUIRE(group.open(count));
    REQUIRE(group.run_until([&] { return group.has_voters(count); }, 20s));
    const std::size_t leader = *group.leader();
    const std::size_t leaving = leads ? leader : (leader + 1) % 5;
    group.shut_down(leaving);
    REQUIRE(group.run_until(
        [&] { return !group.is_running(leaving); },
        has_successor ? 5s : 500ms));
    CHECK(group.run_until([&] { return group.has_voters(5); }, 5s));
}

// Guards against invalid calls that are accepted, end the process, or are
// refused without an error that names the problem.
TEST_CASE("invalid operator calls are refused with a reason")
{
    const auto [head, body, status, reason] =
        GENERATE(table<std::string, std::string, std::string, std::string>({
            {"PUT /config", R"({"version":)", "400", "error"},
            {"PUT /config", R"({"version":1,"routes":7})", "400", "routes"},
            {"PUT /config", std::string(120000, '['), "400", "no JSON"},
            {"PUT /config", std::string(120000, '[') + std::string(120000, ']'),
             "400", "levels"},
            {"GET /other", "", "404", "check method and path"},
            {"POST /config", "", "404", "check method and path"},
        }));
    CAPTURE(head, body);
    single_voter voter;
    voter.open();
    const std::string answer = voter.call(head, body);
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 " + status));
    CHECK_THAT(answer, Catch::Contains(reason));
}

// Guards against duplicate transfers to a router that reports its status again
// while the voter's rate limit delays the document.
TEST_CASE("a router that reports again before the transfer gets one copy")
{
    // At this link rate one copy of the document takes about 100 ms of the
    // permitted share.
    single_voter voter{0.04};
    voter.open();
    voter.file_document();
    std::vector<std::unique_ptr<router_double>> routers;
    for (instance_id id = 1; id <= 5; ++id)
    {
        routers.push_back(std::make_unique<router_double>(
            voter.loop(), voter.settings().peers.port, id));
    }
    for (const auto& router : routers)
    {
        REQUIRE(run_until(voter.loop(), [&] { return router->is_ready(); }));
        for (int i = 0; i < 3; ++i)
        {
            router->send_status(0);
        }
    }
    // The last router reports that it holds the version before its transfer
    // starts, as if another voter had sent it.
    routers.back()->send_status(7);
    const auto have_one = [&]
    {
        return std::all_of(
            routers.begin(), routers.end() - 1,
            [](const auto& router) { return router->copies() >= 1; });
    };
    REQUIRE(run_until(voter.loop(), have_one, 5s));
    run_until(
        voter.loop(), [] { return false; }, 300ms);
    for (std::size_t i = 0; i + 1 < routers.size(); ++i)
    {
        CHECK(routers[i]->copies() == 1);
        CHECK(routers[i]->version() == 7);
        CHECK(routers[i]->content() == document);
    }
    CHECK(routers.back()->copies() == 0);
}

// Guards against a voter that has lost its leadership and tells routers, in the
// name of the next leader, that there are no limits.
TEST_CASE("a voter sends no limits after it has lost its leadership")
{
    // At this link rate the second change waits for about a second.
    single_voter voter{0.002};
    voter.open();
    router_double router{
        voter.loop(), voter.settings().peers.port, instance_id{1}};
    REQUIRE(run_until(voter.loop(), [&] { return router.is_ready(); }));
    router.send_status(0);
    // Reports are ignored until the voter leads.
    const auto has_changes = [&] { return !router.limit_changes().empty(); };
    for (int attempt = 0; attempt < 50 && !has_changes(); ++attempt)
    {
        router.report_limit(1);
        run_until(voter.loop(), has_changes, 100ms);
    }
    REQUIRE(has_changes());
    router.report_limit(2);
    wire::vote_reply_msg later_term;
    later_term.term = 9;
    router.send(later_term);
    run_for(voter.loop(), 3s);
    CHECK(router.limit_changes() == std::vector<std::size_t>{1});
}

// Guards against a voter that reports no failure when an entry of its log can't
// be decoded.
TEST_CASE("a voter with an unusable log stops and reports the remedy")
{
    single_voter voter;
    {
        file_log_storage storage{voter.settings().storage.folder};
        REQUIRE(storage.load().ok());
        storage_write change;
        change.hard = hard_state{};
        change.hard->term = 1;
        change.hard->disk = 9;
        change.hard->bootstrap = voter_list{};
        change.hard->bootstrap->voters = {{instance_at("127.0.0.1"), 9}};
        wire::log_entry_msg entry;
        entry.index = 1;
        entry.term = 1;
        entry.kind = wire::entry_kind::routing;
        entry.data = {1, 2, 3};
        change.entries = {entry};
        storage.write(std::move(change));
        REQUIRE(storage.sync().ok());
    }
    voter.open();
    CHECK(run_until(
        voter.loop(), [&] { return !voter.node().failure().ok(); }, 5s));
    CHECK(kind_of(voter.node().failure()) == error_kind::storage_damaged);
    CHECK_THAT(
        std::string{voter.node().failure().message()},
        Catch::Contains("remove this instance's data folder"));
}
