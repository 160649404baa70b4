#include "process/route_fleet/route_fleet_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t routers = 3;
constexpr std::size_t servers = 4;

// A route of each kind, and in odd versions one more.
std::string document_of(int version)
{
    constexpr std::string_view route =
        R"({{"name":"{}","host":"h.example","path_prefix":"/a/{}/",
        "kind":"{}","resumable":{},"timeout_ms":6000,"target_latency_ms":500,
        "gap_target_ms":200,"service":"llm","max_attempts":{}}})";
    std::string routes =
        fmt::format(route, "calls", "calls", "unsafe", false, 1) + "," +
        fmt::format(route, "safe", "safe", "safe", false, 2) + "," +
        fmt::format(route, "streams", "streams", "streaming", true, 2);
    if (version % 2 == 1)
    {
        routes += "," + fmt::format(route, "other", "other", "safe", false, 2);
    }
    return fmt::format(
        R"({{"version":{},"routes":[{}],
        "services":[{{"name":"llm","max_connections":500}}],
        "tenants":[{{"name":"t1","api_keys":["key-1"],"priority":1}}]}})",
        version, routes);
}

constexpr int events = 12;
constexpr duration event_interval = 100ms;
constexpr duration call_time = 150ms;

// Servers that answer plain calls after some time and streams event by event,
// and count how often each call that may run once has run.
class recording_servers
{
public:
    explicit recording_servers(route_fleet& fleet)
        : loop_{fleet.loop()}
    {
        for (std::size_t i = 0; i < servers; ++i)
        {
            all_.push_back(&fleet.add_backend(
                [this](
                    backend_double::connection& to, const received_request& got)
                { on_request(to, got); }));
        }
    }

    backend_double& at(std::size_t index)
    {
        return *all_.at(index);
    }

    int most_runs_of_a_call() const
    {
        int most = 0;
        for (const auto& [id, runs] : runs_)
        {
            most = std::max(most, runs);
        }
        return most;
    }

private:
    void on_request(backend_double::connection& to, const received_request& got)
    {
        const std::string id = got.head->get("Request-Id");
        const std::string head = fmt::format(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nReply-Seal: s\r\n", id);
        if (got.head->getURI().find("/streams/") != std::string::npos)
        {
            to.write(
                head + "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
            write_event(to, std::stoi(got.head->get("Last-Event-Id", "0")) + 1);
            return;
        }
        if (got.head->getURI().find("/calls/") != std::string::npos)
        {
            ++runs_[id];
        }
        loop_.after(
            call_time,
            [&to, head] { to.write(head + "Content-Length: 4\r\n\r\nfine"); });
    }

    void write_event(backend_double::connection& to, int id)
    {
        const std::string event = fmt::format("id: {}\ndata: e\n\n", id);
        to.write(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
        if (id == events)
        {
            to.write("0\r\n\r\n");
            return;
        }
        loop_.after(
            event_interval, [this, &to, id] { write_event(to, id + 1); });
    }

    event_loop& loop_;
    std::vector<backend_double*> all_;
    std::map<std::string, int> runs_;
};

// Whether each event of the stream is there once and in order, and its end.
bool is_whole_stream(const std::string& received)
{
    std::size_t at = 0;
    for (int id = 1; id <= events; ++id)
    {
        const std::string event = fmt::format("id: {}\ndata: e\n\n", id);
        at = received.find(event, at);
        if (at == std::string::npos ||
            received.find(event, at + 1) != std::string::npos)
        {
            return false;
        }
    }
    return received.ends_with("0\r\n\r\n");
}

} // namespace

// Guards against routers that take the silence of a sound server for its end
// while a configuration changes: requests without an answer, cut streams, and
// calls that run twice.
TEST_CASE("no request is lost when servers fall silent in turn")
{
    route_fleet fleet{routers, document_of(7)};
    recording_servers backends{fleet};
    fleet.await_readiness();
    // Until a router knows how many others there are, its share of the retry
    // budget is that of a large fleet.
    fleet.run_for(1500ms);
    const std::vector<std::string> kinds{"calls", "safe", "streams"};
    std::vector<std::pair<std::string, const caller_double*>> sent;
    constexpr duration interval = 30ms;
    constexpr int rounds = 8;
    constexpr int requests_per_round = 50;
    for (int round = 0; round < rounds; ++round)
    {
        // Two at a time: more streams stall than the retry budget has sends.
        for (int i = 0; i < 2; ++i)
        {
            backends.at(static_cast<std::size_t>(2 * round + i) % servers)
                .fall_silent(1500ms);
        }
        for (int i = 0; i < requests_per_round; ++i)
        {
            const std::string& kind = kinds[sent.size() % kinds.size()];
            const std::string id = fmt::format("q{}", sent.size());
            sent.emplace_back(
                kind,
                &fleet.call(
                    sent.size() / kinds.size() % routers,
                    fmt::format(
                        "POST /a/{}/x HTTP/1.1\r\nHost: h.example\r\n"
                        "Request-Id: {}\r\nAuthorization: Bearer key-1\r\n"
                        "Deadline-Ms: 6000\r\nContent-Length: {}\r\n\r\n{}",
                        kind, id, id.size(), id)));
            fleet.run_for(interval);
            if (i == requests_per_round / 3)
            {
                fleet.submit_document(document_of(8 + round));
            }
        }
    }
    fleet.run_for(3500ms);
    for (const auto& [kind, caller] : sent)
    {
        CAPTURE(kind, caller->received());
        CHECK(caller->received().starts_with("HTTP/1.1 200"));
        CHECK(
            (kind == "streams" ? is_whole_stream(caller->received())
                               : caller->received().ends_with("fine")));
    }
    CHECK(backends.most_runs_of_a_call() == 1);
}
