#include "process/gateway/permit_client.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t service = 11;

permit_request request_of(std::uint32_t rank, std::uint64_t excluded = 0)
{
    permit_request request{{1, 2}, true, service};
    request.rank_below_first = rank;
    if (excluded != 0)
    {
        request.excluded = {excluded};
    }
    return request;
}

} // namespace

// Guards against a leader whose processor is taken up by queries that it
// denies, while callers ask for many times what limited servers accept, and
// against requests of other kinds that are denied with them.
TEST_CASE("after a denial a router denies requests of the same kind itself")
{
    // Denials of the fleet are limited to 500 a second.
    constexpr std::uint32_t routers = 100;
    constexpr duration interval = 200ms;
    event_loop loop;
    REQUIRE(loop.open().ok());
    permit_client client{loop, 1};
    client.limits().set_routers(routers);
    client.limits().on_response({1, 2.0}, loop.now());
    client.limits().on_response({2, 2.0}, loop.now());
    std::vector<std::uint32_t> asked;
    client.set_send(
        [&](const wire::payloadUnion& payload)
        {
            const auto* message = message_in<wire::permit_request_msg>(payload);
            REQUIRE(message != nullptr);
            asked.push_back(message->number);
            return true;
        });
    std::optional<bool> is_permitted;
    const auto ask = [&](const permit_request& request)
    {
        is_permitted.reset();
        const std::size_t before = asked.size();
        client.ask(
            request, [&](std::optional<backend_server_id> backend)
            { is_permitted = backend.has_value(); });
        return asked.size() > before;
    };
    const auto answer = [&](backend_server_id backend)
    {
        wire::permit_grant_msg grant;
        grant.number = asked.back();
        grant.backend = backend;
        client.on_grant(grant);
    };
    REQUIRE(ask(request_of(2)));
    answer(0);
    CHECK(is_permitted == false);
    for (int i = 0; i < 10; ++i)
    {
        CHECK_FALSE(ask(request_of(2)));
        CHECK(run_until(
            loop, [&] { return is_permitted == false; }, 50ms));
    }
    CHECK(ask(request_of(0)));
    answer(1);
    CHECK(is_permitted == true);
    // A retry may go to other servers than the request before.
    CHECK(ask(request_of(2, 7)));
    answer(2);
    run_for(loop, interval + 20ms);
    CHECK(ask(request_of(2)));
    answer(2);
    CHECK(is_permitted == true);
    CHECK(ask(request_of(2)));
    answer(2);
}

// Guards against a router that was paused and uses the permits that it was
// given before, beside those that other routers were given since.
TEST_CASE("a permit that arrives late is given up")
{
    constexpr duration pause = 100ms;
    event_loop loop;
    REQUIRE(loop.open().ok());
    permit_client client{loop, 1};
    // Own permits are next to impossible.
    client.limits().set_routers(1'000'000);
    client.limits().on_response({1, 2.0}, loop.now());
    client.set_send([](const wire::payloadUnion& /*payload*/) { return true; });
    const bool is_paused = GENERATE(false, true);
    CAPTURE(is_paused);
    wire::permit_grant_msg grant;
    grant.backend = 1;
    // Answered before the timeout is handled.
    loop.after(0ms, [&] { client.on_grant(grant); });
    std::optional<bool> is_permitted;
    grant.number = client.ask(
        {{1}}, [&](std::optional<backend_server_id> backend)
        { is_permitted = backend.has_value(); });
    if (is_paused)
    {
        std::this_thread::sleep_for(pause);
    }
    REQUIRE(run_until(loop, [&] { return is_permitted.has_value(); }));
    CHECK(*is_permitted == !is_paused);
}
