#include "process/gateway/gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

using connection = backend_double::connection;

const std::string answer_fields = "Request-Id: a1\r\nReply-Seal: s\r\n";
const std::string leaving_field = "Server-Leaving: 1\r\n";

// What the server behind the first identifier does at the moment.
struct played_server
{
    bool is_leaving = false;
    bool is_healthy = true;
    std::string health_id = "i-0";
    std::string health_fields = {};
    int runs = 0;
    int health_checks = 0;

    void respond(connection& to, const received_request& request)
    {
        const std::string leaving = is_leaving ? leaving_field : "";
        if (request.head->getURI() == "/health")
        {
            ++health_checks;
            to.write(fmt::format(
                "HTTP/1.1 {}\r\nInstance-Id: {}\r\n{}{}Content-Length: "
                "0\r\n\r\n",
                is_healthy && !is_leaving ? "200 OK"
                                          : "503 Service Unavailable",
                health_id, leaving, health_fields));
            return;
        }
        ++runs;
        to.write(fmt::format(
            "HTTP/1.1 200 OK\r\n{}{}Content-Length: 0\r\n\r\n", answer_fields,
            leaving));
    }
};

// A router and one server that has announced its shutdown in a response.
class restart_fixture
{
public:
    restart_fixture()
    {
        fixture_.add_backend(
            [this](connection& to, const received_request& request)
            { server_.respond(to, request); });
        server_.is_leaving = true;
        call();
        server_.runs = 0;
    }

    // Sends a request; true when a server has run it.
    bool call()
    {
        const caller_double& caller =
            fixture_.call(gateway_fixture::request_text());
        REQUIRE(fixture_.run_until(
            [&] { return !caller.received().empty() || caller.ended(); }));
        return caller.received().starts_with("HTTP/1.1 200");
    }

    void list_as(bool leaving)
    {
        fixture_.list_first_backend([leaving](listed_backend& entry)
                                    { entry.leaving = leaving; });
    }

    gateway_fixture& gateway()
    {
        return fixture_;
    }
    played_server& server()
    {
        return server_;
    }

private:
    played_server server_;
    gateway_fixture fixture_{
        gateway_fixture::make_route(call_kind::non_repeatable, 1)};
};

} // namespace

// Failure: a server that has announced its shutdown ends and starts again under
// its identifier. Guards against a server that is never used again.
TEST_CASE("a server that starts again under its identifier is used")
{
    enum class seen
    {
        draining_then_ready,
        missing_then_ready,
        always_ready,
        other_software
    };
    const auto [how, within] = GENERATE(table<seen, duration>(
        {{seen::draining_then_ready, 300ms},
         {seen::missing_then_ready, 300ms},
         {seen::other_software, 3s},
         {seen::always_ready, 3s}}));
    CAPTURE(static_cast<int>(how));
    restart_fixture f;
    REQUIRE_FALSE(f.call());
    if (how == seen::draining_then_ready)
    {
        f.list_as(true);
    }
    else if (how == seen::missing_then_ready)
    {
        f.gateway().unlist_first_backend();
    }
    REQUIRE_FALSE(f.call());
    f.server().is_leaving = false;
    if (how == seen::other_software)
    {
        f.gateway().list_first_backend([](listed_backend& entry)
                                       { entry.version = "v2"; });
    }
    else if (how != seen::always_ready)
    {
        f.list_as(false);
    }
    const time_point limit = boot_now() + within;
    bool is_used = false;
    while (!is_used && boot_now() < limit)
    {
        f.gateway().run_for(20ms);
        is_used = f.call();
    }
    CHECK(is_used);
    CHECK(f.server().health_checks <= 2);
}

// Guards against requests to a server that is still leaving, whatever the list
// shows or a health check leaves open.
TEST_CASE("a server that has announced its shutdown stays out of service")
{
    struct health
    {
        std::string name;
        bool is_leaving;
        bool is_healthy;
        std::string id;
    };
    const auto health = GENERATE(values<struct health>(
        {{"still leaving", true, true, "i-0"},
         {"not healthy", false, false, "i-0"},
         {"another server", false, true, "i-9"},
         {"unnamed", false, true, ""}}));
    CAPTURE(health.name);
    restart_fixture f;
    f.server().is_leaving = health.is_leaving;
    f.server().is_healthy = health.is_healthy;
    f.server().health_id = health.id;
    // The list goes back to an older state.
    f.list_as(true);
    f.list_as(false);
    for (int i = 0; i < 10; ++i)
    {
        CHECK_FALSE(f.call());
        f.gateway().run_for(20ms);
    }
    CHECK(f.server().runs == 0);
    CHECK(f.server().health_checks == 1);
    // It is asked again.
    f.server() = {};
    f.gateway().run_for(2700ms);
    CHECK(f.call());
}

// Failure: the last response of the former start arrives when the list shows
// the new one already. Guards against a new start that is taken for leaving.
TEST_CASE("a late announcement does not keep a new start out of service")
{
    const bool is_listed_first = GENERATE(false, true);
    CAPTURE(is_listed_first);
    gateway_fixture fixture{
        gateway_fixture::make_route(call_kind::non_repeatable, 1)};
    played_server server;
    connection* late = nullptr;
    fixture.add_backend(
        [&](connection& to, const received_request& request)
        {
            if (late == nullptr)
            {
                late = &to;
                return;
            }
            server.respond(to, request);
        });
    const caller_double& first = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return late != nullptr; }));
    const auto list_as = [&](bool leaving)
    {
        fixture.list_first_backend([leaving](listed_backend& entry)
                                   { entry.leaving = leaving; });
    };
    const auto respond_late = [&]
    {
        late->write(
            "HTTP/1.1 200 OK\r\n" + answer_fields + leaving_field +
            "Content-Length: 0\r\n\r\n");
        REQUIRE(fixture.run_until([&] { return !first.received().empty(); }));
    };
    list_as(true);
    if (!is_listed_first)
    {
        respond_late();
    }
    list_as(false);
    if (is_listed_first)
    {
        respond_late();
    }
    fixture.run_for(700ms);
    const caller_double& second = fixture.call(gateway_fixture::request_text());
    REQUIRE(fixture.run_until([&] { return !second.received().empty(); }));
    CHECK(second.received().starts_with("HTTP/1.1 200"));
}

// Guards against a cold server that fails because all routers check it at the
// same moment.
TEST_CASE("a cold server is checked when it is warm")
{
    restart_fixture f;
    f.server().is_leaving = false;
    f.list_as(true);
    f.gateway().list_first_backend(
        [](listed_backend& entry)
        {
            entry.leaving = false;
            entry.cold = true;
        });
    f.gateway().run_for(700ms);
    CHECK(f.server().health_checks == 0);
    CHECK_FALSE(f.call());
    f.gateway().list_first_backend([](listed_backend& entry)
                                   { entry.cold = false; });
    f.gateway().run_for(200ms);
    CHECK(f.server().health_checks == 1);
    CHECK(f.call());
}

// Guards against a limit of the former start that slows down the next one.
TEST_CASE("a new start names its own limit")
{
    const bool has_limit = GENERATE(false, true);
    CAPTURE(has_limit);
    restart_fixture f;
    const backend_server_id id =
        f.gateway().context().table().members("reports").front()->id;
    f.gateway().context().permits().on_response({id, 0.5});
    if (has_limit)
    {
        f.server().health_fields = "Server-Limit: 4\r\n";
    }
    f.server().is_leaving = false;
    f.list_as(true);
    f.list_as(false);
    f.gateway().run_for(200ms);
    REQUIRE(f.server().health_checks == 1);
    const permit_query query =
        f.gateway().context().permits().limits().make_query({{id}});
    REQUIRE(query.candidates.size() == 1);
    CHECK(query.candidates.front().is_ending == !has_limit);
    if (has_limit)
    {
        CHECK(query.candidates.front().requests_per_second == 4.0);
    }
}
