#include "request/rate_limit/rate_limit_allocator.hpp"
#include "request/rate_limit/router_limits.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

// The platform's bound for requests in any 4 s.
constexpr duration window = 4s;

double max_requests(double limit)
{
    return 1.5 * limit * 4 + 5;
}

// Largest number of the times within one window.
std::size_t most_in_window(const std::vector<time_point>& times)
{
    std::size_t most = 0;
    for (auto begin = times.begin(); begin != times.end(); ++begin)
    {
        const auto end = std::lower_bound(begin, times.end(), *begin + window);
        most = std::max(most, static_cast<std::size_t>(end - begin));
    }
    return most;
}

} // namespace

// Guards against a leader that permits more requests than a server accepts, or
// wastes what it accepts. The demand is many times the limit; it stops for some
// seconds, and another leader takes over.
TEST_CASE("the permits of leaders keep within a limit and use it")
{
    const double limit = GENERATE(0.0, 0.3, 1.0, 4.2, 30.0);
    CAPTURE(limit);
    constexpr backend_server_id server = 7;
    rate_limit_allocator leader{1};
    std::vector<time_point> permitted;
    leader.answer({0, {}, {{server, limit}}}, {0s});
    for (time_point now{1ms}; now < time_point{60s}; now = now + 5ms)
    {
        if (now == time_point{20001ms})
        {
            leader = rate_limit_allocator{2};
            leader.answer({0, {}, {{server, limit}}}, now);
        }
        const bool is_idle = now > time_point{10s} && now < time_point{16s};
        if (!is_idle &&
            leader.answer({leader.version(), {{server, limit}}, {}}, now)
                    .backend == server)
        {
            permitted.push_back(now);
        }
    }
    CHECK(
        static_cast<double>(most_in_window(permitted)) <= max_requests(limit));
    CHECK(static_cast<double>(permitted.size()) >= 0.8 * 54 * limit);
    // A server without capacity is still asked from time to time.
    CHECK(permitted.size() >= 8);
}

// Guards against a permit for a server that accepts nothing more while the next
// in the order of preference would.
TEST_CASE("a permit is for the first server that accepts the request")
{
    rate_limit_allocator leader{5};
    const std::vector<backend_limit> both{{1, 2.0}, {2, 2.0}};
    leader.answer({0, {}, both}, {0s});
    const auto take = [&](time_point now) {
        return leader.answer({leader.version(), both, {}}, now).backend;
    };
    CHECK(take({500ms}) == 1);
    CHECK(take({510ms}) == 2);
    CHECK(take({520ms}) == std::nullopt);
    CHECK(leader.changes_since(0).limits == both);
}

// Guards against a refusal although a server that the router did not name still
// accepts requests, and against one that may not have the request.
TEST_CASE("a request gets a permit for any server that may have it")
{
    constexpr std::uint64_t service = 11;
    constexpr std::uint64_t version = 21;
    struct row
    {
        std::string label;
        permit_request request;
        listed_server other;
        bool is_permitted;
    };
    const listed_server other{2, service, version, false};
    const auto tested = GENERATE_COPY(
        row{"only those named", {{}, false, service}, other, false},
        row{"any of the service", {{}, true, service}, other, true},
        row{"of its version", {{}, true, service, version}, other, true},
        row{"another version", {{}, true, service, version + 1}, other, false},
        row{"tried before", {{}, true, service, 0, {2}}, other, false},
        row{"another service",
            {{}, true, service},
            {2, service + 1, version, false},
            false},
        row{"leaving",
            {{}, true, service},
            {2, service, version, true},
            false});
    CAPTURE(tested.label);
    rate_limit_allocator leader{1};
    leader.answer({0, {}, {{1, 2.0}, {2, 2.0}}}, {0s});
    leader.keep_listed(
        std::vector<listed_server>{{1, service, version, false}, tested.other},
        {0s});
    permit_query query{leader.version(), {{1, 2.0}}, {}, tested.request};
    CHECK(leader.answer(query, {1s}).backend == 1);
    CHECK(
        leader.answer(query, {1s}).backend ==
        (tested.is_permitted ? std::optional<backend_server_id>{2}
                             : std::nullopt));
}

// Guards against routers that all return to a server at the moment when it no
// longer names its limit, and against a limit that does not end then.
TEST_CASE("the permitted rate grows when a limit ends")
{
    constexpr double limit = 3;
    rate_limit_allocator leader{1};
    leader.answer({0, {}, {{1, limit}}}, {0s});
    std::vector<time_point> permitted;
    leader.answer({0, {}, {{1, {}}}}, {10s});
    for (time_point now{10s}; now < time_point{12s}; now = now + 5ms)
    {
        if (leader.answer({leader.version(), {{1, limit, true}}, {}}, now)
                .backend)
        {
            permitted.push_back(now);
        }
    }
    const auto first_second = std::ranges::count_if(
        permitted, [](time_point at) { return at < time_point{11s}; });
    CHECK(static_cast<double>(first_second) <= max_requests(limit));
    CHECK(static_cast<double>(permitted.size()) <= max_requests(4 * limit));
    CHECK(static_cast<double>(permitted.size()) >= 8 * limit);
    const permit_answer after =
        leader.answer({leader.version(), {{1, limit, true}}, {}}, {12100ms});
    CHECK(after.backend == 1);
    CHECK(leader.size() == 0);
    CHECK(after.changes.limits == std::vector<backend_limit>{{1, {}}});
}

// Guards against routers that return to a server with two limits when it no
// longer names the smaller one, while the larger one holds for some seconds
// more, and against a limit that does not end then.
TEST_CASE("two limits of one server end one after the other")
{
    constexpr double smaller = 1.0;
    constexpr double larger = 2.6;
    rate_limit_allocator leader{1};
    leader.answer({0, {}, {{1, larger}}}, {0s});
    leader.answer({0, {}, {{1, smaller}}}, {5s});
    std::vector<time_point> permitted;
    for (time_point now{6s}; now < time_point{13s}; now = now + 5ms)
    {
        if (now == time_point{10s})
        {
            leader.answer({0, {}, {{1, {}}}}, now);
        }
        if (leader.answer({leader.version(), {{1, smaller, true}}, {}}, now)
                .backend)
        {
            permitted.push_back(now);
        }
    }
    CHECK(
        static_cast<double>(most_in_window(permitted)) <= max_requests(larger));
    leader.answer({0, {}, {}}, {15s});
    CHECK(leader.size() == 0);
}

// Guards against a new leader that permits requests without bound because the
// limit was ending under the leader before it, and against a limit that ends
// again with each router that asks.
TEST_CASE("the permitted rate grows under a new leader when a limit was ending")
{
    constexpr double limit = 3;
    rate_limit_allocator leader{2};
    std::size_t permitted = 0;
    for (time_point now{0s}; now < time_point{1s}; now = now + 5ms)
    {
        const permit_answer answer =
            leader.answer({1, {{1, limit, true}}, {}}, now);
        permitted += answer.backend ? 1 : 0;
    }
    CHECK(static_cast<double>(permitted) <= max_requests(limit));
    const permit_answer after =
        leader.answer({1, {{1, limit, true}}, {}}, {2100ms});
    CHECK(after.backend == 1);
    CHECK(leader.size() == 0);
}

// Guards against a leader that permits requests without bound because it has
// not heard of a limit that the asking router knows: it has been elected since,
// the report was lost, or the leader has emptied its table between two terms.
TEST_CASE("a leader learns a limit from each query that concerns its server")
{
    constexpr std::uint64_t term = 5;
    struct row
    {
        std::string label;
        std::uint64_t version;
        bool was_known;
        bool is_learnt;
    };
    const std::uint64_t first = rate_limit_allocator{term}.version();
    const auto tested = GENERATE_COPY(
        row{"no version yet", 0, false, true},
        row{"version of the leader before", first - 1, false, true},
        row{"the report was lost", first, false, true},
        row{"the limit has ended since", first + 2, true, false},
        row{"the router knows of its end", first + 3, true, true});
    CAPTURE(tested.label);
    rate_limit_allocator leader{term};
    if (tested.was_known)
    {
        leader.answer({0, {}, {{1, 2.0}}}, {0s});
        leader.answer({0, {}, {{1, {}}}}, {0s});
        leader.answer({0, {}, {}}, {9s});
    }
    const permit_answer answer =
        leader.answer({tested.version, {{1, 2.0}}, {}}, {10s});
    CHECK(answer.backend.has_value() == !tested.is_learnt);
    CHECK(leader.size() == (tested.is_learnt ? 1 : 0));
    // The router learns that it need not ask.
    router_limits router{1};
    router.on_response({1, 2.0}, {0s});
    router.on_changes(answer.changes, {10s});
    CHECK(router.is_limited(1) == tested.is_learnt);
}

// Guards against a leader that goes on with a larger limit than the routers
// know because the report of the smaller one was lost.
TEST_CASE("a leader learns a smaller limit from each query, but no larger one")
{
    struct row
    {
        std::string label;
        double named;
        bool has_heard;
        double expected;
    };
    const auto tested = GENERATE(
        row{"smaller", 2.0, true, 2.0}, row{"larger", 5.0, true, 4.0},
        row{"from before the last change", 2.0, false, 4.0});
    CAPTURE(tested.label);
    rate_limit_allocator leader{1};
    leader.answer({0, {}, {{1, 2.0}}}, {0s});
    const std::uint64_t before = leader.version();
    leader.answer({0, {}, {{1, 4.0}}}, {0s});
    leader.answer(
        {tested.has_heard ? leader.version() : before, {{1, tested.named}}, {}},
        {1s});
    CHECK(
        leader.changes_since(0).limits ==
        std::vector<backend_limit>{{1, tested.expected}});
}

// Guards against a new leader that makes routers forget the limits that it has
// not heard of yet.
TEST_CASE("limits outlive a change of leaders")
{
    rate_limit_allocator before{1};
    router_limits router{1};
    router.on_changes(
        before.answer({0, {}, {{1, 2.0}, {2, 3.0}}}, {0s}).changes, {0s});
    rate_limit_allocator leader{2};
    router.on_changes(leader.answer({0, {}, {{3, 4.0}}}, {9s}).changes, {9s});
    CHECK(router.size() == 3);
    const permit_answer answer = leader.answer(
        router.make_query({std::vector<backend_server_id>{1}}), {9s});
    CHECK(answer.backend == std::nullopt);
    CHECK(leader.size() == 2);
}

// Guards against routers that forget a limit because a message of the leader
// before arrives late.
TEST_CASE("a router takes no changes from a leader that was replaced")
{
    rate_limit_allocator before{1};
    rate_limit_allocator leader{2};
    before.answer({0, {}, {{1, 2.0}}}, {0s});
    before.answer({0, {}, {{1, {}}}}, {0s});
    before.answer({0, {}, {}}, {3s});
    router_limits router{1};
    router.on_changes(leader.answer({0, {}, {{1, 2.0}}}, {5s}).changes, {5s});
    router.on_changes(before.changes_since(0), {7s});
    CHECK(router.is_limited(1));
}

// Guards against answers that repeat all limits: at 195 routers and 82 servers
// with limits they filled the link of the leader.
TEST_CASE("an answer holds only what the router does not know")
{
    constexpr backend_server_id servers = 100;
    rate_limit_allocator leader{1};
    for (backend_server_id id = 1; id <= servers; ++id)
    {
        leader.answer({0, {}, {{id, 2.0}}}, {0s});
    }
    router_limits router{1};
    const permit_request request{{1, 2}};
    const auto ask = [&]
    {
        const permit_answer answer =
            leader.answer(router.make_query(request), {1s});
        router.on_changes(answer.changes, {1s});
        return answer.changes.limits.size();
    };
    CHECK(ask() == servers);
    CHECK(ask() == 0);
    leader.answer({0, {}, {{3, 5.0}, {4, {}}}}, {1s});
    CHECK(ask() == 2);
    CHECK(router.size() == servers);
}

// Guards against a limit that is forgotten when an entry of the list could not
// be read once, and against one that outlives its server.
TEST_CASE("a limit is kept while its server may still run")
{
    struct row
    {
        duration unlisted;
        bool is_kept;
    };
    const auto tested = GENERATE(row{1s, true}, row{5s, true}, row{60s, false});
    rate_limit_allocator leader{1};
    leader.answer({0, {}, {{1, 2.0}}}, {0s});
    const std::vector<listed_server> present{{1}, {2}};
    const std::vector<listed_server> missing{{2}};
    for (time_point now{0s}; now < time_point{30s}; now = now + 1s)
    {
        leader.keep_listed(present, now);
    }
    leader.keep_listed(missing, time_point{29s} + tested.unlisted);
    CHECK(leader.size() == (tested.is_kept ? 1 : 0));
}

// Guards against routers without a leader that exceed a limit together, also
// after a pause in which none had a request, and against routers that then send
// nothing at all.
TEST_CASE("routers without a leader keep within a limit together")
{
    struct row
    {
        std::uint32_t routers;
        double limit;
    };
    const auto tested = GENERATE(
        row{1, 4.0}, row{8, 4.0}, row{8, 0.5}, row{195, 3.0}, row{195, 30.0});
    CAPTURE(tested.routers, tested.limit);
    constexpr backend_server_id server = 7;
    std::vector<std::unique_ptr<router_limits>> routers;
    for (std::uint32_t i = 0; i < tested.routers; ++i)
    {
        routers.push_back(std::make_unique<router_limits>(i));
        routers.back()->set_routers(tested.routers);
        routers.back()->on_response({server, tested.limit}, {0s});
    }
    std::vector<time_point> sent;
    for (time_point now{0s}; now < time_point{60s}; now = now + 20ms)
    {
        const bool is_idle = now > time_point{20s} && now < time_point{30s};
        for (const auto& router : routers)
        {
            if (!is_idle && router->take_own_permit(server, now))
            {
                sent.push_back(now);
            }
        }
    }
    CHECK(
        static_cast<double>(most_in_window(sent)) <=
        max_requests(tested.limit));
    CHECK(static_cast<double>(sent.size()) >= 0.25 * 50 * tested.limit);
}

// Guards against routers that all return to a server at once because it stopped
// to name its limit just before their leader was lost, and against a limit that
// holds for as long as there is no leader.
TEST_CASE("routers without a leader return slowly when a limit ends")
{
    constexpr double limit = 4;
    constexpr std::uint32_t routers = 195;
    std::size_t sent = 0;
    for (std::uint32_t i = 0; i < routers; ++i)
    {
        router_limits router{i};
        router.set_routers(routers);
        router.on_response({1, limit}, {0s});
        router.on_changes({1, 0, {{1, limit, true}}}, {2s});
        for (time_point now{2s}; now <= time_point{4s}; now = now + 20ms)
        {
            sent += router.take_own_permit(1, now) ? 1 : 0;
        }
        CHECK(router.take_own_permit(1, {4020ms}));
    }
    CHECK(static_cast<double>(sent) <= max_requests(limit));
    CHECK(static_cast<double>(sent) >= 0.5 * limit);
}

// Guards against a leader that hides what a response has just shown, and
// against a limit that is reported again and again.
TEST_CASE("a router reports what responses show and follows the leader")
{
    router_limits router{1};
    CHECK(router.on_response({1, 2.0}, {0s}));
    CHECK_FALSE(router.on_response({1, 2.0}, {1ms}));
    CHECK_FALSE(router.on_response({2, {}}, {1ms}));
    CHECK(
        router.make_query({}).observed == std::vector<backend_limit>{{1, 2.0}});
    router.on_reported();
    CHECK(router.make_query({}).observed.empty());
    // These changes were on their way when the report was sent.
    router.on_changes({9, 0, {{1, {}}, {3, 1.0}}}, {100ms});
    CHECK(router.make_query({}).version == 9);
    CHECK(router.is_limited(1));
    CHECK(router.is_limited(3));
    router.on_changes({10, 9, {{1, {}}}}, {5s});
    CHECK_FALSE(router.is_limited(1));
    CHECK(router.on_response({3, {}}, {5s}));
    CHECK(
        router.make_query({}).observed == std::vector<backend_limit>{{3, {}}});
    CHECK(router.on_response({3, 1.0}, {5s}));
}
