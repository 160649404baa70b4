#include "common/random.hpp"
#include "request/placement/cell_owner.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <map>
#include <set>

using namespace hickorygap;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

cell_description make_cell(std::size_t servers, std::uint32_t slots)
{
    cell_description description;
    description.id = 9;
    for (backend_server_id id = 1; id <= servers; ++id)
    {
        description.servers.push_back({id, slots, false});
    }
    return description;
}

placement_query make_query(request_id request, chat_id chat, time_point now)
{
    placement_query query;
    query.request = request;
    query.chat = chat;
    query.organisation = 1;
    query.expected_cost = 100;
    query.deadline = now + seconds{60};
    return query;
}

// Sends random requests to one owner and keeps its own count of the grants.
class owner_model
{
public:
    owner_model(std::uint64_t seed, std::size_t servers, std::uint32_t slots)
        : random(seed)
        , slot_limit(slots)
        , owner(make_cell(servers, slots), {64, 50, 4})
    {
        for (backend_server_id id = 1; id <= servers; ++id)
        {
            up[id] = true;
        }
    }

    void step()
    {
        now = now + milliseconds{static_cast<int>(random_below(random, 60))};
        renew();
        const auto kind = random_below(random, 100);
        if (kind < 55)
        {
            submit();
        }
        else if (kind < 85)
        {
            release_one();
        }
        else if (kind < 90)
        {
            withdraw_one();
        }
        else if (kind < 95)
        {
            const auto server = 1 + random_below(random, up.size());
            up[server] = !up[server];
            owner.on_backend_health(server, up[server], now);
        }
        else
        {
            owner.tick(now);
        }
        replay_records();
        for (const placement_decision& decided : owner.take_decided())
        {
            check_decision(decided);
        }
        RC_ASSERT(owner.grants() == granted.size());
        RC_ASSERT(owner.directory().size() <= 64U);
        RC_ASSERT(owner.queue().size() <= 50U);
    }

    void submit()
    {
        placement_query query =
            make_query(++last_request, random_below(random, 200), now);
        query.organisation = 1 + random_below(random, 4);
        query.request_rank =
            rank{static_cast<std::uint8_t>(random_below(random, rank_count))};
        if (random_below(random, 10) == 0)
        {
            query.excluded = {1 + random_below(random, up.size())};
            excluded[query.request] = query.excluded.front();
        }
        waiting.insert(query.request);
        const auto result = owner.place(query, now);
        replay_records();
        if (const auto* grant = std::get_if<placement_grant>(&result))
        {
            check_decision(*grant);
        }
        else if (const auto* refusal = std::get_if<placement_refusal>(&result))
        {
            check_decision(*refusal);
        }
    }

    void check_decision(const placement_decision& decided)
    {
        if (const auto* refusal = std::get_if<placement_refusal>(&decided))
        {
            RC_ASSERT(waiting.erase(refusal->request) == 1U);
            RC_ASSERT(refusal->retry_after > duration{0});
            return;
        }
        const auto& grant = std::get<placement_grant>(decided);
        // A refused request is no longer in the set.
        RC_ASSERT(waiting.erase(grant.request) == 1U);
        RC_ASSERT(up.at(grant.backend_server));
        RC_ASSERT(excluded[grant.request] != grant.backend_server);
        RC_ASSERT(granted.at(grant.request) == grant.backend_server);
    }

    // The records list the grants in the order in which they were made, so that
    // the bound is checked against the load at each of them.
    void replay_records()
    {
        for (const wire::decision_record_msg& record : owner.take_records())
        {
            const placement_reason reason{record.reason};
            if (reason != placement_reason::refused &&
                reason != placement_reason::ended)
            {
                RC_ASSERT(
                    granted.emplace(record.request, record.choice).second);
                check_bound(record.choice);
            }
        }
    }

    void check_bound(backend_server_id server)
    {
        double total = 0;
        double on_server = 0;
        double live = 0;
        for (const auto& [id, is_up] : up)
        {
            live += is_up ? 1 : 0;
        }
        for (const auto& [request, used] : granted)
        {
            total += up.at(used) ? 1 : 0;
            on_server += used == server ? 1 : 0;
        }
        RC_ASSERT(on_server <= std::max(1.0, std::ceil(1.25 * total / live)));
        RC_ASSERT(on_server <= slot_limit);
    }

    // Renews all grants like the entry routers do, well within the lease.
    void renew()
    {
        for (const auto& [request, server] : granted)
        {
            wire::held_grant_msg held;
            held.request = request;
            held.attempt = 1;
            held.backend_server = server;
            owner.adopt(0, held, now);
        }
    }

    void release_one()
    {
        if (granted.empty())
        {
            return;
        }
        auto position = granted.begin();
        std::advance(
            position,
            static_cast<std::ptrdiff_t>(random_below(random, granted.size())));
        attempt_report report;
        report.request = position->first;
        report.backend_server = position->second;
        report.actual_cost = 50;
        report.first_byte = milliseconds{200};
        granted.erase(position);
        owner.release(report, now);
    }

    void withdraw_one()
    {
        if (!waiting.empty())
        {
            owner.withdraw(*waiting.begin(), 1, now);
            waiting.erase(waiting.begin());
        }
    }

    random_engine random;
    std::uint32_t slot_limit;
    cell_owner owner;
    time_point now{seconds{1}};
    std::map<backend_server_id, bool> up;
    std::set<request_id> waiting;
    std::map<request_id, backend_server_id> excluded;
    std::map<request_id, backend_server_id> granted;
    request_id last_request = 0;
};

} // namespace

// Guards against an engine loaded beyond the bound, a request that is decided
// twice or granted after its refusal, a slot that is never freed, a grant on an
// excluded or failed engine, and unbounded memory.
TEST_CASE("an owner keeps the load bound and decides each request once")
{
    rc::prop(
        "random requests and health changes",
        [](std::uint64_t seed)
        {
            const auto servers = *rc::gen::inRange<std::size_t>(1, 17);
            const auto slots = *rc::gen::inRange<std::uint32_t>(1, 9);
            owner_model model{seed, servers, slots};
            for (int step = 0; step < 400; ++step)
            {
                model.step();
            }
            // Without renewals all grants expire, and the waiting requests are
            // refused.
            for (int step = 0; step < 200; ++step)
            {
                model.now = model.now + milliseconds{500};
                model.owner.tick(model.now);
                model.owner.take_decided();
            }
            RC_ASSERT(model.owner.grants() == 0U);
            RC_ASSERT(model.owner.queue().size() == 0U);
            for (const engine_index engine : model.owner.engines().listed())
            {
                RC_ASSERT(model.owner.engines().load(engine) == 0U);
            }
        });
}

// Guards against a duplicated message that takes a second slot.
TEST_CASE("a repeated request gets the same grant")
{
    cell_owner owner{make_cell(4, 8)};
    const time_point now{seconds{1}};
    const auto query = make_query(1, 5, now);
    const auto first = std::get<placement_grant>(owner.place(query, now));
    const auto second = std::get<placement_grant>(owner.place(query, now));
    CHECK(first.backend_server == second.backend_server);
    CHECK(owner.grants() == 1);
}

// Guards against other requests on the engine that tests whether a suspected
// request crashes it, and against an endless wait for such an engine.
TEST_CASE("an isolated request runs alone on its engine")
{
    cell_owner owner{make_cell(3, 4)};
    time_point now{seconds{1}};
    std::map<request_id, backend_server_id> running;
    for (request_id request = 1; request <= 9; ++request)
    {
        const auto grant = std::get<placement_grant>(
            owner.place(make_query(request, 0, now), now));
        running[request] = grant.backend_server;
    }
    auto query = make_query(100, 0, now);
    query.isolated = true;
    CHECK(std::holds_alternative<placement_queued>(owner.place(query, now)));
    for (const auto& [request, server] : running)
    {
        attempt_report report;
        report.request = request;
        report.backend_server = server;
        owner.release(report, now);
    }
    const auto decided = owner.take_decided();
    REQUIRE(decided.size() == 1);
    const auto isolated = std::get<placement_grant>(decided.front());
    CHECK(isolated.request == 100);

    for (request_id request = 200; request < 208; ++request)
    {
        const auto grant = std::get<placement_grant>(
            owner.place(make_query(request, 0, now), now));
        CHECK(grant.backend_server != isolated.backend_server);
    }
    attempt_report report;
    report.request = 100;
    report.backend_server = isolated.backend_server;
    owner.release(report, now);
    CHECK(owner.engines().live_count() == 3);
}

// Guards against a leaving engine that gets new requests, and against losing
// count of the requests that still run there.
TEST_CASE("a leaving engine keeps its requests and gets no new ones")
{
    cell_description description = make_cell(2, 4);
    cell_owner owner{description};
    const time_point now{seconds{1}};
    const auto grant =
        std::get<placement_grant>(owner.place(make_query(1, 5, now), now));
    for (engine_description& server : description.servers)
    {
        server.leaving = server.id == grant.backend_server;
    }
    owner.set_description(description, now);
    for (request_id request = 2; request < 6; ++request)
    {
        const auto other = std::get<placement_grant>(
            owner.place(make_query(request, 5, now), now));
        CHECK(other.backend_server != grant.backend_server);
    }
    const auto index = owner.engines().find(grant.backend_server);
    REQUIRE(index != no_engine);
    CHECK(owner.engines().in_flight(index) == 1);
}

// Guards against a directory that sends chats to an engine that no longer has
// their context, and against late cache events that undo newer placements.
TEST_CASE("cache events and restarts correct the directory")
{
    cell_owner owner{make_cell(4, 8)};
    time_point now{seconds{10}};
    const auto place = [&](request_id request)
    {
        const auto grant = std::get<placement_grant>(
            owner.place(make_query(request, 5, now), now));
        attempt_report report;
        report.request = request;
        report.backend_server = grant.backend_server;
        owner.release(report, now);
        return grant;
    };
    const auto server = place(1).backend_server;
    CHECK(place(2).reused);

    owner.on_cache_event(
        server, {cache_event_kind::evicted, 5, now - seconds{1}}, now);
    CHECK(place(3).reused);

    now = now + seconds{1};
    owner.on_cache_event(server, {cache_event_kind::evicted, 5, now}, now);
    CHECK_FALSE(place(4).reused);

    owner.on_load_report(server, {0, 0, 1, now}, now);
    owner.on_load_report(server, {0, 0, 2, now}, now);
    CHECK_FALSE(place(5).reused);
}

// Guards against overload of an engine on which another instance has placed
// requests that this owner does not count.
TEST_CASE("load reports add the load placed by others")
{
    cell_owner owner{make_cell(2, 4)};
    const time_point now{seconds{1}};
    owner.on_load_report(1, {4, 0, 1, now}, now);
    for (request_id request = 1; request <= 4; ++request)
    {
        const auto grant = std::get<placement_grant>(
            owner.place(make_query(request, 0, now), now));
        CHECK(grant.backend_server == 2);
    }
    CHECK_FALSE(std::holds_alternative<placement_grant>(
        owner.place(make_query(5, 0, now), now)));
    owner.tick(now + seconds{6});
    CHECK(owner.take_decided().size() == 1);
}

// Guards against a request that waits until its deadline although no engine can
// run it, and against a refusal without a Retry-After.
TEST_CASE("without an eligible engine the request is refused at once")
{
    cell_owner owner{make_cell(2, 4)};
    const time_point now{seconds{1}};
    auto query = make_query(1, 5, now);
    query.excluded = {1, 2};
    const auto excluded = std::get<placement_refusal>(owner.place(query, now));
    CHECK(excluded.reason == wire::refusal_reason::no_backend_server);
    CHECK(excluded.retry_after >= seconds{1});
    owner.on_backend_health(1, false, now);
    owner.on_backend_health(2, false, now);
    const auto down =
        std::get<placement_refusal>(owner.place(make_query(2, 5, now), now));
    CHECK(down.reason == wire::refusal_reason::no_backend_server);
}

// Guards against recomputing the context of a returning chat although its
// engine has capacity soon, and against waiting too long for that engine.
TEST_CASE("a returning chat waits a short time for its engine")
{
    cell_owner owner{make_cell(2, 1)};
    time_point now{seconds{1}};
    const auto first_server =
        std::get<placement_grant>(owner.place(make_query(1, 5, now), now))
            .backend_server;
    const auto second = owner.place(make_query(2, 5, now), now);
    CHECK(std::holds_alternative<placement_queued>(second));
    SECTION("the engine has capacity in time")
    {
        attempt_report report;
        report.request = 1;
        report.backend_server = first_server;
        owner.release(report, now + milliseconds{100});
        const auto decided = owner.take_decided();
        REQUIRE(decided.size() == 1);
        CHECK(
            std::get<placement_grant>(decided[0]).backend_server ==
            first_server);
    }
    SECTION("the engine stays full")
    {
        owner.tick(now + milliseconds{100});
        CHECK(owner.take_decided().empty());
        owner.tick(now + milliseconds{300});
        const auto decided = owner.take_decided();
        REQUIRE(decided.size() == 1);
        CHECK(
            std::get<placement_grant>(decided[0]).backend_server !=
            first_server);
    }
}

// Guards against a surge of one organisation that occupies all engines, so that
// another organisation waits for a slot and loses its cached context.
TEST_CASE("a surge of one organisation leaves engines to the others")
{
    cell_owner owner{make_cell(8, 4)};
    time_point now{seconds{1}};
    request_id next = 1;
    std::map<request_id, std::pair<backend_server_id, time_point>> running;
    std::size_t small_organisation_waits = 0;
    const auto submit = [&](organisation_id organisation)
    {
        auto query = make_query(next++, 0, now);
        query.organisation = organisation;
        const auto result = owner.place(query, now);
        if (const auto* grant = std::get_if<placement_grant>(&result))
        {
            running[grant->request] = {grant->backend_server, now};
            return true;
        }
        return false;
    };
    for (int step = 0; step < 3000; ++step)
    {
        now = now + milliseconds{10};
        submit(1);
        // 5 requests/s that run for 1 s each use 5 of the 32 slots.
        if (step % 20 == 0 && !submit(2) && step > 1000)
        {
            ++small_organisation_waits;
        }
        for (auto position = running.begin(); position != running.end();)
        {
            const auto current = position++;
            if (now - current->second.second >= seconds{1})
            {
                attempt_report report;
                report.request = current->first;
                report.backend_server = current->second.first;
                report.actual_cost = 100;
                running.erase(current);
                owner.release(report, now);
            }
        }
        owner.tick(now);
        for (const placement_decision& decided : owner.take_decided())
        {
            if (const auto* grant = std::get_if<placement_grant>(&decided))
            {
                running[grant->request] = {grant->backend_server, now};
            }
        }
    }
    // 100 requests of the small organisation were sent after the surge started.
    CHECK(small_organisation_waits < 5);
}
