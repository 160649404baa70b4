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

// Backend table and clock for the policies under test.
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

    // Servers that are not leaving.
    std::vector<const backend_record*> in_service() const
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

// Guards against facts about an earlier start of a server that are held against
// the next one, and against one that ends without a new start.
TEST_CASE("what is known of a server ends with a new start of it")
{
    struct list_change
    {
        std::string name;
        std::function<void(std::vector<listed_backend>&)> change;
        bool is_new_start;
    };
    const auto change = GENERATE(values<list_change>(
        {{"same entry", [](auto&) {}, false},
         {"leaves", [](auto& list) { list[0].leaving = true; }, false},
         {"is back in service",
          [](auto& list)
          {
              // The step before shows it as leaving.
              list[0].leaving = false;
          },
          true},
         {"other software", [](auto& list) { list[0].version = "v2"; }, true},
         {"other address", [](auto& list) { list[0].address.port = 1; }, true},
         {"cold", [](auto& list) { list[0].cold = true; }, false}}));
    CAPTURE(change.name);
    fixture f;
    auto list = make_list(6);
    const backend_server_id id = hash_name("b0");
    const auto record = [&] { return f.table.find(id); };
    f.table.on_sent(id, f.now);
    f.table.on_sent(id, f.now);
    f.table.on_unreachable(id, f.now);
    f.table.on_end(id, dispatch_outcome::silent, f.now);
    f.table.on_declined(id, f.now + 1h);
    f.table.on_load(id, {16, 8, 16}, f.now);
    f.table.on_first_byte(id, 90ms);
    f.table.on_leaving(id, 0);
    if (change.name == "is back in service")
    {
        list[0].leaving = true;
        f.table.replace(list);
        CHECK(record()->start == 0);
        CHECK(record()->declines_until == f.now + 1h);
    }
    change.change(list);
    f.table.replace(list);
    REQUIRE(record() != nullptr);
    CHECK(record()->start == (change.is_new_start ? 1 : 0));
    CHECK(record()->may_have_restarted == change.is_new_start);
    CHECK((record()->declines_until > f.now) != change.is_new_start);
    CHECK((record()->avoided_until > f.now) != change.is_new_start);
    CHECK((recent_failure_share(*record(), f.now) > 0) != change.is_new_start);
    CHECK(record()->report.has_value() != change.is_new_start);
    CHECK((record()->first_byte_ms > 0) != change.is_new_start);
    CHECK(record()->in_flight == 1);
    // The list alone does not end an announced shutdown: it may be old.
    CHECK_FALSE(is_in_service(*record()));
    f.table.on_restarted(id);
    CHECK(is_in_service(*record()) != record()->listed.leaving);
    // A late response of the former start.
    f.table.on_leaving(id, 0);
    CHECK_FALSE(is_in_service(*record()));
    CHECK(record()->may_have_restarted);
}

// An evacuation that ends is no new start of the servers.
TEST_CASE("an evacuated server that returns is the same start")
{
    fixture f;
    auto list = make_list(6);
    list[0].leaving = true;
    list[0].evacuated = true;
    f.table.replace(list);
    f.table.on_declined(hash_name("b0"), f.now + 1h);
    f.table.replace(make_list(6));
    CHECK(f.table.find(hash_name("b0"))->start == 0);
    CHECK(f.table.find(hash_name("b0"))->declines_until == f.now + 1h);
}

// Guards against requests, even as a last resort, to servers that have asked
// for none or announced their shutdown, and against a wrong time until a server
// accepts requests again. Full servers tell this router how long to send
// nothing.
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
    f.table.on_leaving(members[1]->id, members[1]->start);
    CHECK_FALSE(time_until_accepted(members, f.now));
    for (int i = 0; i < 20; ++i)
    {
        CHECK(f.choose(*policy, key).backend == members[2]);
    }
    f.table.on_declined(members[2]->id, f.now + 3s);
    CHECK(f.choose(*policy, key).backend == nullptr);
    CHECK(time_until_accepted(members, f.now) == 2s);
    // A list that still shows all servers must not undo it.
    f.table.replace(make_list(3));
    CHECK(f.choose(*policy, key).backend == nullptr);
    f.now = f.now + 2s;
    CHECK_FALSE(time_until_accepted(members, f.now));
    CHECK(f.choose(*policy, key).backend == members[0]);
}

// Guards against routers that send the same prompt to different engines, so
// that its prefix is cached several times. Many requests for a few popular
// prompts arrive at several routers.
TEST_CASE("requests for one prompt go to the same engine on every router")
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

// Guards against an engine that exceeds the load bound of the fleet, twice the
// mean plus three, when one key gets a large part of the traffic.
TEST_CASE("a popular prompt spills before its engine exceeds the load bound")
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
    // The key spreads to more engines only as the bound requires.
    const auto in_service = f.in_service();
    CHECK(
        std::ranges::max(in_service, {}, &backend_record::in_flight)
            ->in_flight > 50);
}

// Guards against new requests to servers that crashed, hang, fail, leave, or
// already failed this request, while healthy ones remain.
TEST_CASE("an unhealthy server is not chosen while others are healthy")
{
    using fault = std::function<void(fixture&, const backend_record&)>;
    const auto [label, inject_fault] = GENERATE(table<std::string, fault>({
        {"refuses connections", [](fixture& f, const backend_record& b)
         { f.table.on_unreachable(b.id, f.now); }},
        {"broke off responses twice",
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
        {"fails many requests",
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
        {"already failed this request", [](fixture& f, const backend_record& b)
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
    inject_fault(f, *f.table.find(before));
    for (int i = 0; i < 20; ++i)
    {
        const auto choice = f.choose(policy, key);
        REQUIRE(choice.backend != nullptr);
        CHECK(choice.backend->id != before);
    }
}

// Guards against a refusal while an avoided server could still respond, and
// against a request that is sent to the same server twice.
TEST_CASE("the server whose avoidance ends first is the last resort")
{
    fixture f{2};
    prefix_affinity_policy policy;
    const auto in_service = f.in_service();
    f.table.on_unreachable(in_service[0]->id, f.now);
    f.now = f.now + 100ms;
    f.table.on_unreachable(in_service[1]->id, f.now);
    const auto choice = f.choose(policy, key);
    REQUIRE(choice.backend != nullptr);
    CHECK(choice.backend->id == in_service[0]->id);
    CHECK(choice.reason == dispatch_reason::last_resort);
    f.excluded = {in_service[0]->id, in_service[1]->id};
    CHECK(f.choose(policy, key).backend == nullptr);
}

// Guards against short requests that queue at one of three servers that has
// become slow.
TEST_CASE("short requests avoid a slow server")
{
    fixture f{3};
    least_cost_policy policy{1};
    const auto in_service = f.in_service();
    for (const backend_record* record : in_service)
    {
        f.table.on_first_byte(
            record->id, record == in_service[0] ? 100ms : 20ms);
    }
    std::map<backend_server_id, int> used;
    for (int i = 0; i < 300; ++i)
    {
        const auto choice = f.choose(policy);
        ++used[choice.backend->id];
        f.table.on_sent(choice.backend->id, f.now);
        f.table.on_end(choice.backend->id, dispatch_outcome::answered, f.now);
    }
    CHECK(used[in_service[0]->id] < 30);
}

// Guards against a router that ignores a fresh report of slow work, and against
// an old report that diverts requests from a server that has recovered. Servers
// share their machines, so the time that work takes changes many times a
// second.
TEST_CASE("a fresh report of slow work counts and an old one does not")
{
    const auto [age, least, most] = GENERATE(table<duration, int, int>({
        {20ms, 0, 30},
        {500ms, 70, 130},
    }));
    CAPTURE(age.count());
    fixture f{3};
    least_cost_policy policy{1};
    const auto in_service = f.in_service();
    for (const backend_record* record : in_service)
    {
        f.table.on_first_byte(record->id, 20ms);
    }
    f.table.on_load(in_service[0]->id, {1, 0, 16, 500}, f.now - age);
    int used = 0;
    for (int i = 0; i < 300; ++i)
    {
        used += f.choose(policy).backend == in_service[0] ? 1 : 0;
    }
    CHECK(used >= least);
    CHECK(used <= most);
}

// Guards against a load estimate that ignores the requests of other routers, or
// uses an old report indefinitely.
TEST_CASE("the load estimate adds the router's own requests to the last report")
{
    fixture f{1};
    const backend_record& record = *f.in_service().front();
    f.table.on_sent(record.id, f.now);
    f.table.on_load(record.id, {5, 2, 16}, f.now);
    CHECK(estimated_load(record, f.now) == Approx(7));
    f.table.on_sent(record.id, f.now);
    CHECK(estimated_load(record, f.now) == Approx(8));
    f.table.on_end(record.id, dispatch_outcome::answered, f.now);
    CHECK(estimated_load(record, f.now) == Approx(7));
    CHECK(estimated_load(record, f.now + 10s) == Approx(1).margin(0.1));
    // A report whose sum exceeds 32 bits is not taken for that of an idle one.
    f.table.on_load(record.id, {4294967295, 2, 16}, f.now);
    CHECK(estimated_load(record, f.now) == Approx(4294967297.0));
}

// Guards against a server record that is dropped while a request still refers
// to it.
TEST_CASE("a server that left the list is dropped after its last request")
{
    fixture f{1};
    const backend_server_id id = f.in_service().front()->id;
    f.table.on_sent(id, f.now);
    f.table.replace({});
    REQUIRE(f.table.find(id) != nullptr);
    CHECK(f.in_service().empty());
    f.table.on_end(id, dispatch_outcome::answered, f.now);
    CHECK(f.table.find(id) == nullptr);
}

// Guards against an engine above twice the mean plus three although each router
// keeps the bound by its own count. Several routers place requests for a
// popular prompt, each seeing only a part of the traffic.
TEST_CASE("routers that exchange load counts keep the load bound together")
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
        // Routers exchange counts after every ten requests, as every 200 ms in
        // production.
        if (sent % 10 == 1)
        {
            std::vector<fleet_backend_load> total;
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
        // Half of the requests are for one prompt.
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

// Guards against a server that gets the requests of all routers because it was
// the least loaded one in load counts that are older than a request takes. The
// bound is the limit of the fleet: 3 in 100 requests at servers above twice the
// mean plus three.
TEST_CASE("routers with the same outdated counts don't overload one server")
{
    constexpr std::size_t routers = 200;
    constexpr std::size_t servers = 6;
    std::map<backend_server_id, std::size_t> chosen;
    std::size_t over = 0;
    for (std::size_t i = 1; i <= routers; ++i)
    {
        fixture router{static_cast<int>(servers)};
        least_cost_policy policy{i};
        std::vector<fleet_backend_load> counts;
        std::uint16_t held = 0;
        for (const backend_record* record : router.table.members("reports"))
        {
            counts.push_back({short_backend_id(record->id), held, 0});
            held += 3;
        }
        router.table.on_fleet_load(counts, router.now);
        const std::size_t count =
            ++chosen[router.choose(policy, 0).backend->id];
        over += count > 2 * i / servers + 3 ? 1 : 0;
    }
    CHECK(over <= routers * 3 / 100);
}

// Guards against long prefixes that have to be computed again because requests
// with short prefixes fill their engine, in a burst of both.
TEST_CASE("requests with short prefixes leave room on a loaded engine")
{
    fixture f;
    prefix_affinity_policy policy;
    const backend_record& first = *f.choose(policy, key).backend;
    for (const backend_record* record : f.in_service())
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

// Guards against prefixes that are computed again although the leaving engine
// still has them cached, when engines are replaced one after the other.
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
    // An unresponsive source would delay the request.
    f.table.on_unreachable(moved.prefix_source->id, f.now);
    CHECK(f.choose(policy, key).prefix_source->listed.id != first_id);
    CHECK(f.choose(policy).prefix_source == nullptr);
}

// Guards against a few engines that take the whole load after the others failed
// for some seconds, because failed engines are never tried again.
TEST_CASE("failed engines still share the load and are tried again")
{
    fixture f;
    prefix_affinity_policy policy;
    const auto in_service = f.in_service();
    for (std::size_t i = 2; i < in_service.size(); ++i)
    {
        for (int failure = 0; failure < 20; ++failure)
        {
            f.table.on_sent(in_service[i]->id, f.now);
            f.table.on_end(
                in_service[i]->id, dispatch_outcome::server_error, f.now);
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
    CHECK(recent_failure_share(*in_service[3], f.now) > 0.5);
    CHECK(recent_failure_share(*in_service[3], f.now + 10s) < 0.05);
}
