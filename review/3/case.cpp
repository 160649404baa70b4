// A router is cut off from the voters, begins streams, and is killed. The
// callers take their streams up again at the other routers.

#include "../stand_ins/harness.hpp"

using namespace review;

namespace
{

constexpr const char* host = "chats.example";
constexpr const char* key = "n2ctnfzs989anu6wsjnb";

// RULES.md (news): "Of 12 or more streams that clients take up again".
constexpr int least_streams = 12;
constexpr int streams = 24;

// As on the site: one of them is cut off and killed.
constexpr int routers = 8;

// A stream: events and the time between them. The caller's deadline is 15 s.
constexpr int events_in_stream = 60;
constexpr int event_gap_ms = 150;
constexpr std::int64_t deadline_ms = 15000;

std::string configuration()
{
    return text(
        "{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\","
        "\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\","
        "\"priority\",\"service\",\"max_attempts\",\"public\",\"sticky\","
        "\"resumable\",\"gap_target_ms\"],\"rows\":[[\"r-report\",\"%s\","
        "\"/report/\",\"streaming\",15000,800,0,\"models\",2,false,true,true,"
        "300]]},"
        "\"services\":{\"columns\":[\"name\",\"health_path\","
        "\"max_connections\",\"protocol\",\"tls\",\"engine\"],\"rows\":[["
        "\"models\",\"/health\",500,\"h1\",false,{\"slots\":96,"
        "\"kv_capacity_tokens\":692737,\"kv_token_bytes\":18432,"
        "\"models\":[{\"name\":\"m\"}]}]]},"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        "\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\"],"
        "\"rows\":[[\"hule930\",[\"%s\"],1]]}}",
        host, key);
}

// The engine: writes the events behind the one that the request names.
bool serve(const std::string& server, const message& request, connection& peer)
{
    const std::string id = request.field("Request-Id");
    const int after = std::atoi(request.field("Last-Event-Id").c_str());
    record().line(text(
        "server=%s runs id=%s after=%d", server.c_str(), id.c_str(), after));
    if (!peer.send(text(
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReply-Seal: seal-%s\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            id.c_str(), id.c_str())))
    {
        return false;
    }
    for (int event = after + 1; event <= events_in_stream; ++event)
    {
        const std::string data =
            text("id: %d\ndata: word %d\n\n", event, event);
        if (peer.peer_has_closed() ||
            !peer.send(text("%zx\r\n", data.size()) + data + "\r\n"))
        {
            record().line(
                text("server=%s dropped id=%s", server.c_str(), id.c_str()));
            return false;
        }
        sleep_ms(event_gap_ms);
    }
    return peer.send("0\r\n\r\n");
}

struct stream
{
    std::string id;
    int last_event = 0;
    bool complete = false;
    bool out_of_order = false;
    int status = 0;
    double retry_after = 0;
};

// Takes the events out of the chunks that have arrived.
void read_events(stream& output, std::string& buffer)
{
    std::size_t at = 0;
    while ((at = buffer.find("id: ")) != std::string::npos)
    {
        const std::size_t end = buffer.find("\n\n", at);
        if (end == std::string::npos)
        {
            return;
        }
        const int event = std::atoi(buffer.c_str() + at + 4);
        output.out_of_order =
            output.out_of_order || event != output.last_event + 1;
        output.last_event = event;
        buffer.erase(0, end + 2);
    }
}

// Sends the request and reads until the stream ends, breaks off, or
// `stop_at` (the caller then closes its connection).
void call(
    const address& front, stream& output, const std::string& resumes,
    std::int64_t deadline, std::int64_t stop_at)
{
    const auto peer = connection::dial(front);
    if (peer == nullptr)
    {
        record().line(text("not_connected id=%s", output.id.c_str()));
        return;
    }
    std::string request = text(
        "POST /report/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\n"
        "Token-Count: 1460,360\r\nPrompt-Prefix: 5c1e07a2:800,%zx:660\r\n"
        "Deadline-Ms: %lld\r\nAuthorization: Bearer %s\r\n",
        host, output.id.c_str(), std::hash<std::string>{}(output.id) >> 32U,
        static_cast<long long>(deadline - now_ms()), key);
    if (output.last_event > 0)
    {
        request += text(
            "Last-Event-Id: %d\r\nResumes: %s\r\n", output.last_event,
            resumes.c_str());
    }
    record().line(text(
        "sent id=%s to=%s after=%d", output.id.c_str(), front.host.c_str(),
        output.last_event));
    peer->send(request + "Content-Length: 0\r\n\r\n");
    message head;
    while (!head.has_head && now_ms() < std::min(deadline, stop_at))
    {
        const std::size_t end = peer->input.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            parse_head(std::string_view{peer->input}.substr(0, end + 4), head);
            peer->input.erase(0, end + 4);
        }
        else if (!peer->receive(50) && peer->ended())
        {
            break;
        }
    }
    output.status = head.has_head ? head.status() : 0;
    output.retry_after = std::atof(head.field("Retry-After").c_str());
    while (output.status == 200 && now_ms() < std::min(deadline, stop_at))
    {
        read_events(output, peer->input);
        if (output.last_event == events_in_stream)
        {
            output.complete = true;
            break;
        }
        if (!peer->receive(50) && peer->ended())
        {
            read_events(output, peer->input);
            break;
        }
    }
    record().line(text(
        "%s id=%s status=%d events_through=%d",
        output.complete ? "complete" : "broken_off", output.id.c_str(),
        output.status, output.last_event));
}

// Takes the stream up again as clients do: a few tries within the deadline, each
// after the time that the answer before has named.
bool take_up(
    fleet& processes, stream& broken, std::int64_t deadline, int first_router)
{
    const std::string begun_by = broken.id;
    const int had = broken.last_event;
    for (int attempt = 0; attempt < 3 && now_ms() < deadline; ++attempt)
    {
        stream next = broken;
        next.id = text("%s-again%d", begun_by.c_str(), attempt);
        call(
            processes.front(first_router + attempt), next, begun_by,
            deadline, deadline);
        broken.last_event = next.last_event;
        broken.complete = next.complete;
        if (broken.complete || broken.last_event > had)
        {
            return true;
        }
        sleep_ms(std::max<std::int64_t>(
            static_cast<std::int64_t>(next.retry_after * 1000), 100));
    }
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    set_up(argc, argv);
    fleet_options options;
    options.routers = routers;
    options.proxied = true;
    auto processes = std::make_unique<fleet>(options);
    platform_list list;
    if (!list.open(processes->list_address()))
    {
        finish(std::move(processes), not_run, "the list can't be served");
    }
    std::vector<std::unique_ptr<replica_server>> servers;
    for (int i = 0; i < 4; ++i)
    {
        const listed_replica replica{
            text("i-model%d", i), "models", processes->replica_address(i),
            fleet::zone(i), 96};
        servers.push_back(std::make_unique<replica_server>());
        const bool is_open = servers.back()->open(
            replica, [id = replica.id](const message& request, connection& peer)
            { return serve(id, request, peer); });
        if (!is_open)
        {
            finish(std::move(processes), not_run, "a server can't be opened");
        }
        list.set(replica);
    }
    processes->start();
    if (!processes->file(configuration()) || !processes->wait_until_ready())
    {
        finish(std::move(processes), not_run, "the fleet isn't ready");
    }
    // Longer than stable_window_ms, so that all machines are in touch.
    sleep_ms(4000);

    const bool trouble = has_trouble();
    const std::int64_t cut_at = now_ms();
    const std::int64_t kill_at = cut_at + 5000;
    if (trouble)
    {
        record().line("router-0 is cut off from the voters");
        processes->cut_off(0, true);
    }
    // New streams begin at all routers during the cut.
    std::vector<stream> at_first(streams);
    std::vector<stream> at_others(streams);
    std::vector<int> gone_on(streams);
    std::vector<std::thread> threads;
    for (int i = 0; i < streams; ++i)
    {
        const std::int64_t start = cut_at + 1000 + i * 100;
        threads.emplace_back(
            [&, i, start]
            {
                sleep_ms(start - now_ms());
                const std::int64_t deadline = now_ms() + deadline_ms;
                at_first[i].id = text("first-%d", i);
                // Without the disruption, the callers close their connections
                // at the time of the kill.
                call(
                    processes->front(0), at_first[i], "", deadline,
                    trouble ? deadline : kill_at);
                if (!at_first[i].complete && at_first[i].last_event > 0)
                {
                    gone_on[i] =
                        take_up(*processes, at_first[i], deadline, 1 + i % 5)
                            ? 1
                            : -1;
                }
            });
        threads.emplace_back(
            [&, i, start]
            {
                sleep_ms(start - now_ms());
                const std::int64_t deadline = now_ms() + deadline_ms;
                at_others[i].id = text("other-%d", i);
                call(
                    processes->front(1 + i % (routers - 1)), at_others[i], "", deadline,
                    deadline);
            });
    }
    sleep_ms(kill_at - now_ms());
    if (trouble)
    {
        record().line("router-0 is killed");
        processes->router(0).end();
        sleep_ms(500);
        record().line("the cut ends, router-0 starts again");
        processes->cut_off(0, false);
        processes->router(0).start();
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    int taken_up = 0;
    int went_on = 0;
    int began = 0;
    int wrong = 0;
    for (int i = 0; i < streams; ++i)
    {
        taken_up += gone_on[i] != 0 ? 1 : 0;
        went_on += gone_on[i] == 1 ? 1 : 0;
        began += at_others[i].last_event > 0 ? 1 : 0;
        wrong += at_first[i].out_of_order ? 1 : 0;
    }
    const std::string summary = text(
        "new_streams=%d began=%d taken_up_again=%d went_on=%d out_of_order=%d",
        streams, began, taken_up, went_on, wrong);
    if (taken_up < least_streams || began == 0)
    {
        finish(std::move(processes), not_run, summary);
    }
    // "the share that goes on is under half of the share of new streams that
    // begin"
    const bool is_broken = 2.0 * went_on / taken_up <
                           static_cast<double>(began) / streams;
    finish(
        std::move(processes), is_broken ? rule_broken : rule_held, summary);
}
