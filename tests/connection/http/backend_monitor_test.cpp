#include "connection/http/backend_monitor.hpp"
#include "connection/http/relay_fixture.hpp"

#include <catch2/catch.hpp>

using namespace hickorygap;
using namespace hickorygap::testing;

namespace
{

struct monitor_fixture
{
    std::vector<monitor_result> results()
    {
        const std::lock_guard lock{mutex};
        return received;
    }

    std::size_t results_of(backend_server_id id)
    {
        std::size_t count = 0;
        for (const monitor_result& result : results())
        {
            count += result.backend_server == id ? 1 : 0;
        }
        return count;
    }

    std::mutex mutex;
    std::vector<monitor_result> received;
    backend_monitor monitor{
        [this](const monitor_result& result)
        {
            const std::lock_guard lock{mutex};
            received.push_back(result);
        },
        {std::chrono::milliseconds{2}, std::chrono::seconds{5}, 65536}};
};

} // namespace

// Guards against cache events that are lost without notice, and against load
// figures in the wrong field.
TEST_CASE("the monitor reports load and cache events and detects event gaps")
{
    engine_options options;
    options.slots = 3;
    options.cache_chats = 2;
    options.event_gap = 3;
    engine_model engine{options};
    const auto server = start_stand_in(0, 4, make_engine_handler(engine));
    monitor_fixture fixture;
    for (const char* chat : {"0a", "0b", "0c"})
    {
        // Events: 0a, 0b and 0c stored, of which the third is lost, and
        // eviction of 0a as the fourth.
        engine.use_cache(chat);
    }
    fixture.monitor.set_servers({{7, "127.0.0.1", server->port(), true}});

    REQUIRE(eventually([&] { return fixture.results_of(7) >= 3; }));
    const auto results = fixture.results();
    CHECK(results[0].healthy);
    REQUIRE(results[0].load.has_value());
    CHECK(results[0].load->slots == 3);
    REQUIRE(results[0].events.size() == 3);
    CHECK(results[0].events_missing);
    CHECK(results[0].events[0].chat == 0x0a);
    CHECK(results[0].events[0].stored);
    CHECK(results[0].events[2].sequence == 4);
    CHECK_FALSE(results[0].events[2].stored);
    CHECK(results[1].events.empty());
    CHECK_FALSE(results[1].events_missing);
}

// Guards against a dead server that is reported healthy or stops the polling
// of the others, and against a server that is polled after its removal.
TEST_CASE("the monitor polls its current servers and reports dead ones")
{
    engine_model engine{engine_options{}};
    const auto server = start_stand_in(0, 4, make_engine_handler(engine));
    auto stopped =
        std::make_unique<scripted_backend>([](scripted_backend::exchange&) {});
    const std::uint16_t stopped_port = stopped->port();
    stopped.reset();
    monitor_fixture fixture;
    fixture.monitor.set_servers(
        {{1, "127.0.0.1", stopped_port, true},
         {2, "127.0.0.1", server->port(), true}});
    REQUIRE(eventually([&] { return fixture.results_of(2) >= 2; }));
    for (const monitor_result& result : fixture.results())
    {
        CHECK(result.healthy == (result.backend_server == 2));
    }

    fixture.monitor.set_servers({{3, "127.0.0.1", server->port(), false}});
    REQUIRE(eventually([&] { return fixture.results_of(3) >= 2; }));
    const auto before = fixture.results_of(2);
    const auto polled = fixture.results_of(3);
    REQUIRE(eventually([&] { return fixture.results_of(3) > polled; }));
    CHECK(fixture.results_of(2) == before);
}

// Guards against events of a restarted server, whose numbers start again, that
// are ignored as already received.
TEST_CASE("the monitor detects a restarted server")
{
    engine_model first{engine_options{}};
    engine_model second{engine_options{}};
    first.use_cache("0a");
    first.use_cache("0b");
    second.use_cache("0c");
    std::atomic<bool> restarted{false};
    const auto server = start_stand_in(
        0, 4,
        [&](auto& request, auto& response) {
            make_engine_handler(restarted ? second : first)(request, response);
        });
    monitor_fixture fixture;
    fixture.monitor.set_servers({{7, "127.0.0.1", server->port(), true}});
    REQUIRE(eventually([&] { return fixture.results_of(7) >= 1; }));
    restarted = true;

    const auto knows_new_event = [&]
    {
        bool missing = false;
        for (const monitor_result& result : fixture.results())
        {
            missing |= result.events_missing;
            if (!result.events.empty() && result.events[0].chat == 0x0c)
            {
                return missing;
            }
        }
        return false;
    };
    CHECK(eventually(knows_new_event));
}
