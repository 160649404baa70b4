#include "placement_fleet.hpp"
#include "request/placement/placement_service.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace hickorygap;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against losing a query, a grant or the end of a grant on the way
// between entry router and owner, on one instance and on several.
TEST_CASE("queries are granted and ended grants free their slots")
{
    const std::size_t instances = GENERATE(1, 3, 8);
    placement_fleet fleet{instances, make_test_topology(12, 8), 1};
    fleet.run(milliseconds{100});

    for (request_id request = 1; request <= 24; ++request)
    {
        fleet.submit(
            1 + request % instances,
            make_test_query(request, request + 1000, fleet.now));
    }
    fleet.run(milliseconds{100});

    CHECK(fleet.owned_grants() == 24);
    for (const instance_id id : fleet.live())
    {
        for (const decided_placement& decided : fleet.decisions(id))
        {
            const auto* grant = std::get_if<placement_grant>(&decided.decision);
            REQUIRE(grant != nullptr);
            fleet.finish(id, *grant);
        }
    }
    fleet.run(milliseconds{100});
    CHECK(fleet.owned_grants() == 0);
}

// Guards against a returning chat that loses its cached context when another
// instance receives its request.
TEST_CASE("a returning chat goes to the same backend server")
{
    placement_fleet fleet{4, make_test_topology(20, 8), 1};
    fleet.run(milliseconds{100});
    std::set<backend_server_id> used;

    for (request_id request = 1; request <= 8; ++request)
    {
        const instance_id id = 1 + request % 4;
        fleet.submit(id, make_test_query(request, 555, fleet.now));
        fleet.run(milliseconds{50});
        const auto decisions = fleet.decisions(id);
        REQUIRE(decisions.size() == 1);
        const auto& grant =
            std::get<placement_grant>(decisions.front().decision);
        CHECK(grant.reused == (request > 1));
        used.insert(grant.backend_server);
        fleet.finish(id, grant);
        fleet.run(milliseconds{50});
    }

    CHECK(used.size() == 1);
}

namespace
{

// Sends random queries through a fleet and checks the decisions that the
// callers get.
class fleet_model
{
public:
    fleet_model(std::uint64_t seed, std::size_t instances)
        : random(seed)
        , fleet(instances, make_test_topology(20, 4), seed)
    {
        fleet.run(milliseconds{100});
    }

    void submit()
    {
        const auto live = fleet.live();
        const instance_id id = live[random_below(random, live.size())];
        auto query = make_test_query(
            ++last_request, 1 + random_below(random, 50), fleet.now,
            1 + random_below(random, 3));
        query.isolated = random_below(random, 50) == 0;
        waiting[query.request] = id;
        fleet.submit(id, query);
    }

    void withdraw()
    {
        if (!waiting.empty())
        {
            const request_id request = waiting.begin()->first;
            const instance_id id = waiting.begin()->second;
            fleet.call_on(
                id, [&](placement_service& service)
                { service.withdraw(request, 1, fleet.now); });
        }
    }

    void collect()
    {
        for (const instance_id id : fleet.live())
        {
            for (const decided_placement& decided : fleet.decisions(id))
            {
                // Exactly one decision, at the instance that submitted the
                // query.
                RC_ASSERT(waiting.contains(decided.request));
                RC_ASSERT(waiting.at(decided.request) == id);
                waiting.erase(decided.request);
                if (const auto* grant =
                        std::get_if<placement_grant>(&decided.decision))
                {
                    running.push_back({id, *grant});
                }
            }
        }
    }

    void finish_one()
    {
        if (running.empty())
        {
            return;
        }
        const auto index = random_below(random, running.size());
        const auto [id, grant] = running[index];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        fleet.finish(
            id, grant,
            random_below(random, 10) == 0
                ? wire::attempt_outcome::backend_server_lost
                : wire::attempt_outcome::completed);
    }

    void crash_one()
    {
        const instance_id id = fleet.live().back();
        fleet.crash(id);
        std::erase_if(
            waiting, [&](const auto& entry) { return entry.second == id; });
        std::erase_if(
            running, [&](const auto& entry) { return entry.first == id; });
    }

    void run(duration length)
    {
        const time_point end = fleet.now + length;
        while (fleet.now < end)
        {
            fleet.run(milliseconds{20});
            collect();
            if (random_below(random, 3) == 0)
            {
                submit();
            }
            if (random_below(random, 3) == 0)
            {
                finish_one();
            }
            if (random_below(random, 20) == 0)
            {
                withdraw();
            }
        }
    }

    // Ends all requests without further faults and checks that no grant is
    // left.
    void drain()
    {
        fleet.faults = {};
        for (int round = 0; round < 2000 && !idle(); ++round)
        {
            fleet.run(milliseconds{20});
            collect();
            finish_one();
        }
        RC_ASSERT(idle());
        // Grants whose messages were lost expire after their lease.
        fleet.run(cell_owner::grant_lease + seconds{1});
        collect();
        RC_ASSERT(running.empty());
        RC_ASSERT(fleet.owned_grants() == 0U);
        for (const instance_id id : fleet.live())
        {
            RC_ASSERT(fleet.at(id).entry().held() == 0U);
            RC_ASSERT(fleet.at(id).entry().waiting() == 0U);
        }
    }

    bool idle() const
    {
        return waiting.empty() && running.empty();
    }

    random_engine random;
    placement_fleet fleet;
    std::map<request_id, instance_id> waiting;
    std::vector<std::pair<instance_id, placement_grant>> running;
    request_id last_request = 0;
};

} // namespace

// Guards against slots that are never freed and against queries that get no
// decision or several, when messages are lost, duplicated, delayed and
// reordered, owners change and entry routers crash.
TEST_CASE(
    "no grant leaks and each query gets one decision under network faults")
{
    rc::prop(
        "random faults",
        [](std::uint64_t seed)
        {
            fleet_model model{seed, 5};
            model.fleet.faults.lost = *rc::gen::inRange(0U, 30U);
            model.fleet.faults.duplicated = *rc::gen::inRange(0U, 30U);
            model.fleet.faults.longest_delay =
                milliseconds{*rc::gen::inRange(1, 500)};
            model.run(seconds{2});
            model.crash_one();
            // The others detect the crash later.
            model.run(seconds{1});
            model.fleet.announce_members();
            model.run(seconds{2});
            const instance_id leaver = model.fleet.live().front();
            model.fleet.call_on(
                leaver, [&](placement_service& service)
                { service.begin_handover(model.fleet.now); });
            model.run(seconds{2});
            model.drain();
        });
}

// Guards against unlimited overload while two instances consider themselves the
// owner of a cell, because their membership views differ: each of them keeps
// the load bound for its own grants.
TEST_CASE("two owners at once exceed the load bound at most twofold")
{
    rc::prop(
        "two instances that each see only themselves",
        [](std::uint64_t seed)
        {
            placement_fleet fleet{2, make_test_topology(8, 8), seed};
            fleet.run(milliseconds{100});
            for (const instance_id id : fleet.live())
            {
                const std::vector<instance_id> alone{id};
                fleet.call_on(
                    id, [&](placement_service& service)
                    { service.set_members(alone, fleet.now); });
            }
            fleet.run(seconds{4});
            std::map<backend_server_id, double> load;
            const auto requests = *rc::gen::inRange(1, 100);
            double total = 0;
            for (int request = 1; request <= requests; ++request)
            {
                const instance_id id =
                    1 + static_cast<instance_id>(request % 2);
                fleet.submit(
                    id, make_test_query(
                            static_cast<request_id>(request),
                            31 * static_cast<chat_id>(request), fleet.now));
                for (const auto& decided : fleet.decisions(id))
                {
                    if (const auto* grant =
                            std::get_if<placement_grant>(&decided.decision))
                    {
                        load[grant->backend_server] += 1;
                        total += 1;
                    }
                }
            }
            for (const auto& [server, in_flight] : load)
            {
                const double per_owner =
                    std::max(1.0, std::ceil(1.25 * (total / 2 + 1) / 8));
                RC_ASSERT(in_flight <= 2 * per_owner);
                RC_ASSERT(in_flight <= 2 * 8);
            }
        });
}

// Guards against a new owner that overloads engines because it does not know
// the grants of its predecessor, after a handover and after a crash.
TEST_CASE("a new owner learns which grants are in use")
{
    const bool graceful = GENERATE(true, false);
    placement_fleet fleet{4, make_test_topology(12, 4), 3};
    fleet.run(milliseconds{100});
    instance_id owner = 0;
    for (const instance_id id : fleet.live())
    {
        owner = fleet.at(id).owned_cells().empty() ? owner : id;
    }
    const instance_id entry = owner == 1 ? 2 : 1;
    for (request_id request = 1; request <= 30; ++request)
    {
        fleet.submit(entry, make_test_query(request, request, fleet.now));
    }
    fleet.run(milliseconds{50});
    REQUIRE(fleet.at(entry).entry().held() == 30);

    if (graceful)
    {
        fleet.call_on(
            owner, [&](placement_service& service)
            { service.begin_handover(fleet.now); });
        CHECK(fleet.at(owner).owned_cells().empty());
    }
    else
    {
        fleet.crash(owner);
        fleet.announce_members();
    }
    fleet.run(milliseconds{100});

    CHECK(fleet.owned_grants() == 30);
    fleet.submit(entry, make_test_query(500, 500, fleet.now));
    fleet.run(milliseconds{100});
    CHECK(fleet.at(entry).entry().held() == 31);
}

// Guards against callers that wait while the owner of their cell has crashed
// and the others have not detected it.
TEST_CASE("without an owner the share of the instance is placed locally")
{
    placement_fleet fleet{4, make_test_topology(12, 4), 3};
    fleet.run(milliseconds{100});
    instance_id owner = 0;
    for (const instance_id id : fleet.live())
    {
        owner = fleet.at(id).owned_cells().empty() ? owner : id;
    }
    const instance_id entry = owner == 1 ? 2 : 1;
    fleet.crash(owner);
    for (request_id request = 1; request <= 30; ++request)
    {
        fleet.submit(entry, make_test_query(request, request, fleet.now));
    }
    fleet.run(seconds{1});
    // 48 slots divided by 4 members.
    CHECK(fleet.at(entry).entry().held() == 12);
    fleet.run(seconds{1});
    std::size_t refused = 0;
    for (const auto& decided : fleet.decisions(entry))
    {
        const auto* refusal = std::get_if<placement_refusal>(&decided.decision);
        refused += refusal != nullptr ? 1 : 0;
    }
    CHECK(refused == 18);
    fleet.announce_members();
    fleet.run(milliseconds{200});
    CHECK(fleet.owned_grants() == 12);
}

// Guards against an instance that accepts or grants requests while it may have
// missed a configuration ticket.
TEST_CASE("a partitioned instance refuses new queries as not run")
{
    placement_fleet fleet{1, make_test_topology(4, 4), 3};
    fleet.call_on(
        1, [&](placement_service& service)
        { service.set_partitioned(true, fleet.now); });
    fleet.submit(1, make_test_query(1, 1, fleet.now));
    const auto decisions = fleet.decisions(1);
    REQUIRE(decisions.size() == 1);
    CHECK(
        std::get<placement_refusal>(decisions.front().decision).reason ==
        wire::refusal_reason::cut_off);
    CHECK(fleet.owned_grants() == 0);
}

// Guards against backend servers that two instances poll or that none polls.
TEST_CASE("each cell has one owner, which polls its backend servers")
{
    placement_fleet fleet{6, make_test_topology(60, 4), 3};
    fleet.run(milliseconds{100});
    std::multiset<backend_server_id> polled;
    for (const instance_id id : fleet.live())
    {
        const auto servers = fleet.at(id).polled_backend_servers();
        polled.insert(servers.begin(), servers.end());
    }
    CHECK(polled.size() == 60);
    CHECK(std::set(polled.begin(), polled.end()).size() == 60);
}

// Guards against grants of a crashed entry router that occupy slots for ever,
// and against granting its waiting requests.
TEST_CASE("the grants of a lost entry router are released")
{
    placement_fleet fleet{4, make_test_topology(12, 4), 3};
    fleet.run(milliseconds{100});
    instance_id entry = 1;
    while (!fleet.at(entry).owned_cells().empty())
    {
        ++entry;
    }
    for (request_id request = 1; request <= 60; ++request)
    {
        fleet.submit(entry, make_test_query(request, request, fleet.now));
    }
    fleet.run(milliseconds{50});
    CHECK(fleet.owned_grants() == 48);
    fleet.crash(entry);
    fleet.announce_members();
    fleet.run(milliseconds{50});
    CHECK(fleet.owned_grants() == 0);
}

// Guards against chats that lose their cached context when the owner of their
// cell crashes without a handover.
TEST_CASE("a new owner learns where chats were served")
{
    placement_fleet fleet{4, make_test_topology(12, 8), 3};
    fleet.run(milliseconds{100});
    instance_id owner = 1;
    while (fleet.at(owner).owned_cells().empty())
    {
        ++owner;
    }
    std::map<chat_id, backend_server_id> served;
    request_id next = 1;
    const auto serve = [&](chat_id chat)
    {
        const instance_id entry = owner == 1 ? 2 : 1;
        fleet.submit(entry, make_test_query(next++, chat, fleet.now));
        fleet.run(milliseconds{30});
        const auto decisions = fleet.decisions(entry);
        REQUIRE(decisions.size() == 1);
        const auto grant =
            std::get<placement_grant>(decisions.front().decision);
        fleet.finish(entry, grant);
        return grant;
    };
    for (chat_id chat = 1; chat <= 20; ++chat)
    {
        served[chat] = serve(chat).backend_server;
    }
    fleet.crash(owner);
    fleet.announce_members();
    fleet.run(milliseconds{100});
    for (chat_id chat = 1; chat <= 20; ++chat)
    {
        CHECK(serve(chat).backend_server == served[chat]);
    }
}

namespace
{

instance_id find_owner(placement_fleet& fleet)
{
    for (const instance_id id : fleet.live())
    {
        if (!fleet.at(id).owned_cells().empty())
        {
            return id;
        }
    }
    return 0;
}

// The server that a request of the chat gets; the request ends after `length`.
backend_server_id serve_chat(
    placement_fleet& fleet, instance_id entry, request_id request, chat_id chat,
    duration length)
{
    fleet.submit(entry, make_test_query(request, chat, fleet.now));
    fleet.run(length);
    const auto decisions = fleet.decisions(entry);
    REQUIRE(decisions.size() == 1);
    const auto grant = std::get<placement_grant>(decisions.front().decision);
    fleet.finish(entry, grant);
    fleet.run(milliseconds{10});
    return grant.backend_server;
}

} // namespace

// Guards against a handover without the chats that a hash would place on the
// same server: the next owner does not choose by a hash, but by the load.
TEST_CASE("a handover keeps chats on their servers whatever the loads are")
{
    constexpr double any_load = 12;
    placement_fleet fleet{4, make_test_topology(12, 8, any_load), 3};
    fleet.run(milliseconds{100});
    const instance_id owner = find_owner(fleet);
    const instance_id entry = owner == 1 ? 2 : 1;
    std::map<chat_id, backend_server_id> served;
    for (chat_id chat = 1; chat <= 20; ++chat)
    {
        served[chat] = serve_chat(fleet, entry, chat, chat, milliseconds{30});
    }
    // An entry router reports its recent chats too, unless it has failed.
    fleet.crash(entry);
    fleet.announce_members();
    fleet.call_on(
        owner,
        [&](placement_service& service) { service.begin_handover(fleet.now); });
    fleet.run(milliseconds{100});
    const instance_id next = find_owner(fleet);
    for (const auto& [chat, server] : served)
    {
        CAPTURE(chat);
        fleet.call_on(
            next,
            [&](placement_service& service)
            {
                load_report report;
                report.running = 1;
                service.on_load_report(server, report, fleet.now);
            });
        CHECK(
            serve_chat(fleet, next, 100 + chat, chat, milliseconds{30}) ==
            server);
    }
}

// Guards against a surge of one organisation that floods the owner with
// messages although it is refused, and against refusals that affect other
// organisations.
TEST_CASE("refusals because of overload are reused locally for a short time")
{
    placement_fleet fleet{1, make_test_topology(1, 1), 3};
    request_id next = 1;
    std::size_t refused = 0;
    const auto submit = [&](organisation_id organisation)
    {
        fleet.submit(1, make_test_query(next++, 0, fleet.now, organisation));
        const auto decisions = fleet.decisions(1);
        if (decisions.empty())
        {
            return wire::refusal_reason::none;
        }
        const auto* refusal =
            std::get_if<placement_refusal>(&decisions.front().decision);
        refused += refusal != nullptr ? 1 : 0;
        return refusal == nullptr ? wire::refusal_reason::none
                                  : refusal->reason;
    };
    for (int request = 0; request < 100 && refused == 0; ++request)
    {
        submit(1);
    }
    REQUIRE(refused == 1);
    const cell_id cell = fleet.at(1).owned_cells().front();
    const std::size_t queued = fleet.at(1).find_owned(cell)->queue().size();
    CHECK(submit(1) == wire::refusal_reason::overloaded);
    CHECK(submit(2) == wire::refusal_reason::none);
    CHECK(fleet.at(1).find_owned(cell)->queue().size() == queued + 1);
    // Every decision is recorded, also refusals without the owner.
    CHECK(fleet.at(1).take_records().size() == refused + 1);
}
