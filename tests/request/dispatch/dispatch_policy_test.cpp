#include "common/hashing.hpp"
#include "request/dispatch/dispatch_policy.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

std::vector<listed_backend> make_list(int count)
{
    std::vector<listed_backend> list;
    for (int i = 0; i < count; ++i)
    {
        list.push_back(
            {fmt::format("b{}", i),
             "reports",
             fmt::format("domain-{}", i % 3),
             {"10.0.0.1", static_cast<std::uint16_t>(8000 + i)},
             16,
             false});
    }
    return list;
}

// Policies with a table of servers and a clock.
struct fixture
{
    explicit fixture(int servers = 6)
    {
        table.replace(make_list(servers));
    }

    dispatch_choice choose(dispatch_policy& policy, std::uint64_t key = 0)
    {
        const auto members = table.members("reports");
        return policy.choose(
            members, {key, shared_tokens, "domain-0", excluded}, now);
    }

    // Servers that take new requests.
    std::vector<const backend_record*> serving() const
    {
        auto result = table.members("reports");
        std::erase_if(
            result, [](const backend_record* record)
            { return record->listed.leaving; });
        return result;
    }

    backend_table table;
    std::vector<backend_server_id> excluded;
    std::uint32_t shared_tokens = 10000;
    time_point now{1h};
};

constexpr std::uint64_t key = 0x5c1e07a2;

} // namespace

// Load: servers that are full tell this router for how long they want nothing.
// Guards against requests to them, as a last resort too, and against a wrong
// time at which callers may come back.
TEST_CASE("servers that decline or leave are not chosen")
{
    fixture f{3};
    least_cost_policy cost{1};
    prefix_affinity_policy affinity;
    dispatch_policy* policy =
        GENERATE_REF(static_cast<dispatch_policy*>(&cost), &affinity);
    const auto members = f.table.members("reports");
    f.table.on_declined(members[0]->id, f.now + 2s);
    f.table.on_declined(members[0]->id, f.now + 1s);
    f.table.on_leaving(members[1]->id);
    CHECK_FALSE(time_until_accepted(members, f.now));
    for (int i = 0; i < 20; ++i)
    {
        CHECK(f.choose(*policy, key).backend == members[2]);
    }
    f.table.on_declined(members[2]->id, f.now + 3s);
    CHECK(f.choose(*policy, key).backend == nullptr);
    CHECK(time_until_accepted(members, f.now) == 2s);
    // The list still shows all of them.
    f.table.replace(make_list(3));
    CHECK(f.choose(*policy, key).backend == nullptr);
    f.now = f.now + 2s;
    CHECK_FALSE(time_until_accepted(members, f.now));
    CHECK(f.choose(*policy, key).backend == members[0]);
}

// Load: many requests about a few popular prompts, seen by several routers.
// Guards against routers that send the same prompt to different engines.
TEST_CASE("requests about one prompt go to one engine on every router")
{
    fixture first;
    fixture second;
    prefix_affinity_policy policy;
    std::map<backend_server_id, int> used;
    for (std::uint64_t prompt = 1; prompt <= 200; ++prompt)
    {
        const auto choice = first.choose(policy, prompt);
        REQUIRE(choice.backend != nullptr);
        CHECK(choice.reason == dispatch_reason::preferred);
        CHECK(second.choose(policy, prompt).backend->id == choice.backend->id);
        ++used[choice.backend->id];
    }
    CHECK(used.size() == 6);
}

// Load: one key gets a large part of the traffic. Guards against an engine
// that is loaded over the fleet's bound of twice the mean and three.
TEST_CASE("a hot prompt spills before its engine is over the bound")
{
    fixture f;
    prefix_affinity_policy policy;
    std::uint32_t most = 0;
    for (int i = 1; i <= 300; ++i)
    {
        const auto choice = f.choose(policy, key);
        REQUIRE(choice.backend != nullptr);
        f.table.on_sent(choice.backend->id, f.now);
        f.table.on_progress(choice.backend->id, f.now);
        most = std::max(most, choice.backend->in_flight);
        CHECK(most <= 2.0 * i / 6 + 3);
    }
    // More engines share it only as far as the bound demands.
    const auto serving = f.serving();
    CHECK(
        std::ranges::max(serving, {}, &backend_record::in_flight)->in_flight >
        50);
}

// Guards against new work for engines that crashed, hang, fail, leave, or
// already failed this request, while others are sound.
TEST_CASE("an unsound engine gives way to the next one")
{
    using harm = std::function<void(fixture&, const backend_record&)>;
    const auto [label, break_it] = GENERATE(table<std::string, harm>({
        {"refuses connections", [](fixture& f, const backend_record& b)
         { f.table.on_unreachable(b.id, f.now); }},
        {"broke off twice",
         [](fixture& f, const backend_record& b)
         {
             for (int i = 0; i < 2; ++i)
             {
                 f.table.on_sent(b.id, f.now);
                 f.table.on_end(b.id, dispatch_outcome::broken, f.now);
             }
         }},
        {"hangs",
         [](fixture& f, const backend_record& b)
         {
             f.table.on_sent(b.id, f.now);
             f.now = f.now + 1s;
         }},
        {"fails many",
         [](fixture& f, const backend_record& b)
         {
             for (int i = 0; i < 10; ++i)
             {
                 f.table.on_sent(b.id, f.now);
                 f.table.on_end(b.id, dispatch_outcome::server_error, f.now);
             }
         }},
        {"leaves",
         [](fixture& f, const backend_record& b)
         {
             auto list = make_list(6);
             std::ranges::find(list, b.listed.id, &listed_backend::id)
                 ->leaving = true;
             f.table.replace(list);
         }},
        {"is gone from the list",
         [](fixture& f, const backend_record& b)
         {
             auto list = make_list(6);
             std::erase_if(
                 list, [&](const listed_backend& item)
                 { return hash_name(item.id) == b.id; });
             f.table.replace(list);
         }},
        {"was replaced at its address", [](fixture& f, const backend_record& b)
         { f.table.on_replaced(b.id, f.now); }},
        {"was tried", [](fixture& f, const backend_record& b)
         { f.excluded.push_back(b.id); }},
    }));
    CAPTURE(label);
    const bool affinity = GENERATE(true, false);
    prefix_affinity_policy by_prefix;
    least_cost_policy by_cost{1};
    dispatch_policy& policy =
        affinity ? static_cast<dispatch_policy&>(by_prefix) : by_cost;
    fixture f;
    const backend_server_id before = f.choose(policy, key).backend->id;
    break_it(f, *f.table.find(before));
    for (int i = 0; i < 20; ++i)
    {
        const auto choice = f.choose(policy, key);
        REQUIRE(choice.backend != nullptr);
        CHECK(choice.backend->id != before);
    }
}

// Guards against refusals while a server might answer, and against a request
// that is sent to a server twice.
TEST_CASE("the least bad server is the last resort")
{
    fixture f{2};
    prefix_affinity_policy policy;
    const auto serving = f.serving();
    f.table.on_unreachable(serving[0]->id, f.now);
    f.now = f.now + 100ms;
    f.table.on_unreachable(serving[1]->id, f.now);
    const auto choice = f.choose(policy, key);
    REQUIRE(choice.backend != nullptr);
    CHECK(choice.backend->id == serving[0]->id);
    CHECK(choice.reason == dispatch_reason::last_resort);
    f.excluded = {serving[0]->id, serving[1]->id};
    CHECK(f.choose(policy, key).backend == nullptr);
}

// Load: short calls to three servers, one of which has turned slow.
// Guards against calls that queue at the slow one.
TEST_CASE("short calls avoid a slow server")
{
    fixture f{3};
    least_cost_policy policy{1};
    const auto serving = f.serving();
    for (const backend_record* record : serving)
    {
        f.table.on_first_byte(record->id, record == serving[0] ? 100ms : 20ms);
    }
    std::map<backend_server_id, int> used;
    for (int i = 0; i < 300; ++i)
    {
        const auto choice = f.choose(policy);
        ++used[choice.backend->id];
        f.table.on_sent(choice.backend->id, f.now);
        f.table.on_end(choice.backend->id, dispatch_outcome::answered, f.now);
    }
    CHECK(used[serving[0]->id] < 30);
}

// Pattern: servers share their machines, and how long work takes changes many
// times a second. Guards against a fresh report that is not used, and against
// an old one that sends calls away from a server that is well again.
TEST_CASE("a fresh report of slow work counts, an old one does not")
{
    const auto [age, least, most] = GENERATE(table<duration, int, int>({
        {20ms, 0, 30},
        {500ms, 70, 130},
    }));
    CAPTURE(age.count());
    fixture f{3};
    least_cost_policy policy{1};
    const auto serving = f.serving();
    for (const backend_record* record : serving)
    {
        f.table.on_first_byte(record->id, 20ms);
    }
    f.table.on_load(serving[0]->id, {1, 0, 16, 500}, f.now - age);
    int used = 0;
    for (int i = 0; i < 300; ++i)
    {
        used += f.choose(policy).backend == serving[0] ? 1 : 0;
    }
    CHECK(used >= least);
    CHECK(used <= most);
}

// Guards against an estimate that forgets what other routers have placed, or
// keeps an old report for ever.
TEST_CASE("the load is the last report corrected by the own requests")
{
    fixture f{1};
    const backend_record& record = *f.serving().front();
    f.table.on_sent(record.id, f.now);
    f.table.on_load(record.id, {5, 2, 16}, f.now);
    CHECK(estimated_load(record, f.now) == Approx(7));
    f.table.on_sent(record.id, f.now);
    CHECK(estimated_load(record, f.now) == Approx(8));
    f.table.on_end(record.id, dispatch_outcome::answered, f.now);
    CHECK(estimated_load(record, f.now) == Approx(7));
    CHECK(estimated_load(record, f.now + 10s) == Approx(1).margin(0.1));
}

// Guards against a record that is dropped while a request still refers to it.
TEST_CASE("a server that left the list is forgotten after its last request")
{
    fixture f{1};
    const backend_server_id id = f.serving().front()->id;
    f.table.on_sent(id, f.now);
    f.table.replace({});
    REQUIRE(f.table.find(id) != nullptr);
    CHECK(f.serving().empty());
    f.table.on_end(id, dispatch_outcome::answered, f.now);
    CHECK(f.table.find(id) == nullptr);
}

// Load: a hot prompt, placed by several routers that each see a part of the
// traffic. Guards against an engine over twice the mean and three, although
// each router keeps the bound by its own count.
TEST_CASE("routers that share their counts keep the bound together")
{
    constexpr std::size_t routers = 6;
    constexpr std::size_t engines = 9;
    std::vector<std::unique_ptr<fixture>> fleet;
    for (std::size_t i = 0; i < routers; ++i)
    {
        fleet.push_back(std::make_unique<fixture>(static_cast<int>(engines)));
    }
    prefix_affinity_policy policy;
    std::map<std::uint32_t, std::uint32_t> held;
    std::uint32_t over = 0;
    constexpr std::uint32_t requests = 120;
    for (std::uint32_t sent = 1; sent <= requests; ++sent)
    {
        // Counts are exchanged after each ten requests, as in 200 ms.
        if (sent % 10 == 1)
        {
            std::vector<backend_condition> total;
            for (auto& router : fleet)
            {
                static_cast<void>(router->table.report_loads());
            }
            for (const auto& [backend, count] : held)
            {
                total.push_back(
                    {backend, static_cast<std::uint16_t>(count), 0});
            }
            for (auto& router : fleet)
            {
                router->table.on_fleet_load(total, router->now);
            }
        }
        fixture& router = *fleet[sent % routers];
        // Half of the requests are about one prompt.
        const auto choice = router.choose(policy, sent % 2 == 0 ? key : sent);
        router.table.on_sent(choice.backend->id, router.now);
        const auto count =
            ++held[static_cast<std::uint32_t>(choice.backend->id)];
        if (count > 2.0 * sent / engines + 3)
        {
            ++over;
        }
    }
    CHECK(over <= requests * 3 / 100);
}

// Pattern: many routers send short requests to a few servers, by the same
// counts that are older than a request takes. Guards against a server that gets
// the requests of all routers because it was the least loaded one. The bound is
// the fleet's limit: 3 in 100 requests at servers over twice the mean and
// three.
TEST_CASE("routers with the same old counts don't crowd one server")
{
    constexpr std::size_t routers = 200;
    constexpr std::size_t servers = 6;
    std::map<backend_server_id, std::size_t> chosen;
    std::size_t over = 0;
    for (std::size_t i = 1; i <= routers; ++i)
    {
        fixture router{static_cast<int>(servers)};
        least_cost_policy policy{i};
        std::vector<backend_condition> counts;
        std::uint16_t held = 0;
        for (const backend_record* record : router.table.members("reports"))
        {
            counts.push_back({load_number(record->id), held, 0});
            held += 3;
        }
        router.table.on_fleet_load(counts, router.now);
        const std::size_t count =
            ++chosen[router.choose(policy, 0).backend->id];
        over += count > 2 * i / servers + 3 ? 1 : 0;
    }
    CHECK(over <= routers * 3 / 100);
}

// Load: long prompts beside short ones, a burst of both. Guards against long
// prefixes that are read again because short requests fill their engine.
TEST_CASE("requests with short prefixes leave room on a loaded engine")
{
    fixture f;
    prefix_affinity_policy policy;
    const backend_record& first = *f.choose(policy, key).backend;
    for (const backend_record* record : f.serving())
    {
        for (int i = 0; i < (record == &first ? 10 : 6); ++i)
        {
            f.table.on_sent(record->id, f.now);
        }
    }
    f.shared_tokens = 700;
    CHECK(f.choose(policy, key).backend != &first);
    f.shared_tokens = 10000;
    CHECK(f.choose(policy, key).backend == &first);
}

// Load: engines are replaced one after the other. Guards against prefixes that
// are read again although the engine that leaves still keeps them.
TEST_CASE("the prefix is copied from the next engine in the key's order")
{
    fixture f;
    prefix_affinity_policy policy;
    const backend_record& first = *f.choose(policy, key).backend;
    const std::string first_id = first.listed.id;
    auto list = make_list(6);
    std::ranges::find(list, first_id, &listed_backend::id)->leaving = true;
    f.table.replace(list);
    const auto moved = f.choose(policy, key);
    REQUIRE(moved.prefix_source != nullptr);
    CHECK(moved.prefix_source->listed.id == first_id);
    CHECK(moved.backend->listed.id != first_id);
    // A source that does not answer would hold the request up.
    f.table.on_unreachable(moved.prefix_source->id, f.now);
    CHECK(f.choose(policy, key).prefix_source->listed.id != first_id);
    CHECK(f.choose(policy).prefix_source == nullptr);
}

// Load: calm traffic after most engines failed for some seconds. Guards against
// a few engines that take the load of all, because the others are never tried
// again.
TEST_CASE("engines that failed share the load and are tried again")
{
    fixture f;
    prefix_affinity_policy policy;
    const auto serving = f.serving();
    for (std::size_t i = 2; i < serving.size(); ++i)
    {
        for (int failure = 0; failure < 20; ++failure)
        {
            f.table.on_sent(serving[i]->id, f.now);
            f.table.on_end(
                serving[i]->id, dispatch_outcome::server_error, f.now);
        }
    }
    std::uint32_t most = 0;
    constexpr int requests = 60;
    for (int i = 0; i < requests; ++i)
    {
        const auto choice = f.choose(policy, static_cast<std::uint64_t>(i) + 1);
        f.table.on_sent(choice.backend->id, f.now);
        f.table.on_progress(choice.backend->id, f.now);
        most = std::max(most, choice.backend->in_flight);
    }
    CHECK(most <= 2.0 * requests / 6 + 3);
    CHECK(recent_failure_share(*serving[3], f.now) > 0.5);
    CHECK(recent_failure_share(*serving[3], f.now + 10s) < 0.05);
}
