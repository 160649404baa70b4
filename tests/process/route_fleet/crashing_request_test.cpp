#include "process/route_fleet/route_fleet_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view document_template =
    R"({{"version":7,"routes":[{{"name":"r1","host":"h.example",
    "path_prefix":"/a/","kind":"{}","resumable":true,"timeout_ms":3000,
    "target_latency_ms":500,"gap_target_ms":300,"service":"llm",
    "max_attempts":3}}],
    "services":[{{"name":"llm","max_connections":500}}],
    "tenants":[{{"name":"t1","api_keys":["key-1"],"priority":1}}]}})";

const std::string crashing_body = "draft with the fault";
constexpr std::size_t routers = 3;
constexpr std::size_t backends = 12;

// The guarantee of the fleet: no request crashes more servers than this.
constexpr std::size_t max_crashes = 3;

// A server that crashes when it starts the crashing request, or after some
// events of its stream, and responds to other requests with a delay.
backend_double::script
crashing_script(event_loop& loop, backend_double*& self, int events)
{
    return [&loop, &self,
            events](backend_double::connection& to, const received_request& got)
    {
        const std::string fields = fmt::format(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n",
            got.head->get("Request-Id"));
        const std::string stream = fields +
                                   "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n";
        const auto event = [](int id)
        {
            const std::string text = fmt::format("id: {}\ndata: x\n\n", id);
            return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
        };
        if (got.body == crashing_body)
        {
            if (events > 0)
            {
                // Continue after the last event that the caller has.
                int last = std::stoi(got.head->get("Last-Event-Id", "0"));
                to.write(stream);
                for (int i = 0; i < events; ++i)
                {
                    to.write(event(++last));
                }
            }
            self->crash();
            return;
        }
        loop.after(
            60ms,
            [&to, fields, stream, event,
             is_stream = got.body.starts_with("stream")]
            {
                to.write(
                    is_stream ? stream + event(1) + "0\r\n\r\n"
                              : fields + "Content-Length: 4\r\n\r\nfine");
            });
    };
}

std::string request_text(std::string_view id, std::string_view body)
{
    return gateway_fixture::request_text(
        "Deadline-Ms: 3000\r\n", body, "POST", id);
}

const std::string crashing_part = "dead0:50";

// The target: five crashes show the part, and three more requests may be under
// way. Each of them can crash one server.
constexpr std::size_t max_crashes_by_part = 8;

// A server that crashes when it starts a request with the crashing part in its
// prompt, and answers all others after a delay.
backend_double::script
crashing_part_script(event_loop& loop, backend_double*& self)
{
    return [&loop,
            &self](backend_double::connection& to, const received_request& got)
    {
        if (got.head->get("Prompt-Prefix").find(crashing_part) !=
            std::string::npos)
        {
            self->crash();
            return;
        }
        loop.after(
            60ms,
            [&to, id = got.head->get("Request-Id"),
             is_stream = got.body.starts_with("stream")]
            {
                to.write(fmt::format(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n{}",
                    id,
                    is_stream ? "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n"
                              : "Content-Length: 4\r\n\r\nfine"));
            });
    };
}

// The callers that got no success, with the first line of what they got.
std::string describe_unserved(std::span<const caller_double* const> callers)
{
    std::string text;
    for (std::size_t i = 0; i < callers.size(); ++i)
    {
        const std::string_view received = callers[i]->received();
        if (!received.starts_with("HTTP/1.1 200"))
        {
            text += fmt::format(
                "call {}: {}\n", i, received.substr(0, received.find('\r')));
        }
    }
    return text;
}

} // namespace

// Guards against routers that each let the same request crash more servers, and
// against healthy requests that are refused because they ran on the same
// servers. A request crashes every server that runs it, and its caller retries
// it under new identifiers and through any router.
TEST_CASE("a request that crashes servers is quarantined by all routers")
{
    struct row
    {
        std::string label;
        std::string kind;
        int events;
    };
    const auto tested = GENERATE(
        row{"repeatable", "safe", 0}, row{"not repeatable", "unsafe", 0},
        row{"stream", "streaming", 0},
        row{"stream with events", "streaming", 2});
    CAPTURE(tested.label);
    route_fleet fleet{routers, fmt::format(document_template, tested.kind)};
    std::vector<backend_double*> servers(backends, nullptr);
    for (backend_double*& server : servers)
    {
        server = &fleet.add_backend(
            crashing_script(fleet.loop(), server, tested.events));
    }
    fleet.await_readiness();
    const std::string healthy_body =
        tested.kind == "streaming" ? "stream" : "plain";
    std::vector<const caller_double*> healthy;
    for (std::size_t i = 0; i < 2 * backends; ++i)
    {
        const auto healthy_call = [&](std::string_view label)
        {
            healthy.push_back(&fleet.call(
                i % routers,
                request_text(
                    fmt::format("{}{}", label, i),
                    fmt::format("{} {}{}", healthy_body, label, i))));
        };
        // One healthy request is in progress at some server when it crashes,
        // and one comes after.
        healthy_call("near");
        fleet.run_for(10ms);
        const caller_double& caller = fleet.call(
            i % routers, request_text(fmt::format("p{}", i), crashing_body));
        REQUIRE(run_until(
            fleet.loop(), [&] { return is_answered(caller); }, 4s));
        healthy_call("after");
        fleet.run_for(30ms);
    }
    const auto crashed =
        std::ranges::count_if(servers, &backend_double::crashed);
    CHECK(static_cast<std::size_t>(crashed) <= max_crashes);
    REQUIRE(run_until(
        fleet.loop(),
        [&]
        {
            return std::ranges::all_of(
                healthy, [](const auto* each) { return is_answered(*each); });
        },
        4s));
    const auto served = std::ranges::count_if(
        healthy, [](const caller_double* each)
        { return each->received().starts_with("HTTP/1.1 200"); });
    INFO("not served:\n" << describe_unserved(healthy));
    // A non-repeatable request is lost with its server.
    const auto lost = tested.kind == "unsafe" ? crashed : 0;
    CHECK(served + lost >= static_cast<std::ptrdiff_t>(healthy.size()));
}

// Guards against routers that recognise a crashing request only by its whole
// content. One part of the prompt crashes every server that runs it, and no two
// requests with that part are alike; healthy requests have the same caller and
// the same other parts.
TEST_CASE("a prompt part that crashes servers is quarantined by all routers")
{
    struct row
    {
        std::string label;
        std::string kind;
        std::string prompt;
    };
    const auto tested = GENERATE(
        row{"first part", "safe", "{part},a1:500,{own}:20"},
        row{"inner part", "streaming", "a1:500,{part},b2:90,{own}:20"},
        row{"last shared part", "streaming", "a1:500,b2:90,{part},{own}:20"},
        row{"only shared part", "unsafe", "{part},{own}:20"});
    CAPTURE(tested.label);
    constexpr std::size_t servers_of_part_test = 16;
    constexpr std::size_t calls = 24;
    route_fleet fleet{routers, fmt::format(document_template, tested.kind)};
    std::vector<backend_double*> servers(servers_of_part_test, nullptr);
    for (backend_double*& server : servers)
    {
        server = &fleet.add_backend(crashing_part_script(fleet.loop(), server));
    }
    fleet.await_readiness();
    std::size_t sent = 0;
    const auto call = [&](bool is_crashing) -> const caller_double&
    {
        ++sent;
        std::string prompt = tested.prompt;
        const auto replace = [&](std::string_view from, std::string_view to)
        { prompt.replace(prompt.find(from), from.size(), to); };
        replace("{part}", is_crashing ? crashing_part : "c3:50");
        replace("{own}", fmt::format("{:x}", 0xf000 + sent));
        return fleet.call(
            sent % routers,
            gateway_fixture::request_text(
                fmt::format(
                    "Deadline-Ms: 3000\r\nModel: m\r\nToken-Count: "
                    "700,10\r\nPrompt-Prefix: {}\r\n",
                    prompt),
                fmt::format("stream {}", sent), "POST",
                fmt::format("p{}", sent)));
    };
    std::vector<const caller_double*> healthy;
    for (std::size_t i = 0; i < calls; ++i)
    {
        healthy.push_back(&call(false));
        fleet.run_for(10ms);
        const caller_double& crashing = call(true);
        REQUIRE(run_until(
            fleet.loop(), [&] { return is_answered(crashing); }, 4s));
        healthy.push_back(&call(false));
        fleet.run_for(200ms);
    }
    const auto crashed = static_cast<std::size_t>(
        std::ranges::count_if(servers, &backend_double::crashed));
    CHECK(crashed <= max_crashes_by_part);
    REQUIRE(run_until(
        fleet.loop(),
        [&]
        {
            return std::ranges::all_of(
                healthy, [](const auto* each) { return is_answered(*each); });
        },
        4s));
    const auto served = static_cast<std::size_t>(std::ranges::count_if(
        healthy, [](const caller_double* each)
        { return each->received().starts_with("HTTP/1.1 200"); }));
    INFO("not served:\n" << describe_unserved(healthy));
    // A non-repeatable request is lost with its server.
    const std::size_t lost = tested.kind == "unsafe" ? crashed : 0;
    CHECK(served + lost >= healthy.size());
}
