// A caller sends a request without a Host field, while other callers wait for
// their answers on kept connections of the same router.

#include "../stand_ins/harness.hpp"

using namespace review;

namespace
{

constexpr const char* host = "booking.example";
constexpr const char* key = "n2ctnfzs989anu6wsjnb";
constexpr int callers = 12;

// RULES.md: "more than three times".
constexpr int most_lost = 3;

constexpr int work_ms = 600;

std::string configuration()
{
    return text(
        "{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\","
        "\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\","
        "\"priority\",\"service\",\"max_attempts\",\"public\",\"sticky\","
        "\"resumable\"],\"rows\":[[\"r-book\",\"%s\",\"/book/\",\"unsafe\","
        "3000,300,1,\"booking\",2,false,false,false]]},"
        "\"services\":{\"columns\":[\"name\",\"health_path\","
        "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"booking\","
        "\"/health\",110,\"h1\",false]]},"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        "\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\"],"
        "\"rows\":[[\"hule930\",[\"%s\"],1]]}}",
        host, key);
}

std::string request_text(const std::string& id, int work)
{
    const std::string body = std::to_string(work);
    return text(
               "POST /book/visit HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
               "Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n"
               "Content-Length: %zu\r\n\r\n",
               host, id.c_str(), key, body.size()) +
           body;
}

std::mutex runs_mutex;
std::set<std::string> begun;

bool serve(const std::string& server, const message& request, connection& peer)
{
    const std::string id = request.field("Request-Id");
    record().line(text("server=%s runs id=%s", server.c_str(), id.c_str()));
    {
        const std::lock_guard lock{runs_mutex};
        begun.insert(id);
    }
    sleep_ms(std::atoi(request.body.c_str()));
    return send_success(peer, id, "booked " + id);
}

struct outcome
{
    bool answered_first = false;
    bool closed_without_answer = false;
    int status = 0;
};

outcome call_twice(const address& front, int number)
{
    outcome result;
    const auto peer = connection::dial(front);
    if (peer == nullptr)
    {
        return result;
    }
    const std::string first = text("caller-%d-first", number);
    record().line(text("sent id=%s", first.c_str()));
    peer->send(request_text(first, 5));
    const message early = read_message(*peer, now_ms() + 3000, true);
    record().line(text("answered id=%s status=%d", first.c_str(), early.status()));
    result.answered_first = early.complete && early.status() == 200;
    const std::string second = text("caller-%d-second", number);
    record().line(text("sent id=%s on the same connection", second.c_str()));
    peer->send(request_text(second, work_ms));
    const message late = read_message(*peer, now_ms() + 3500, true);
    result.status = late.has_head ? late.status() : 0;
    const std::lock_guard lock{runs_mutex};
    result.closed_without_answer =
        !late.has_head && peer->ended() && begun.contains(second);
    record().line(text(
        "%s id=%s status=%d", late.complete ? "answered" : "connection_closed",
        second.c_str(), result.status));
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    set_up(argc, argv);
    auto processes = std::make_unique<fleet>(fleet_options{});
    platform_list list;
    if (!list.open(processes->list_address()))
    {
        finish(std::move(processes), not_run, "the list can't be served");
    }
    std::vector<std::unique_ptr<replica_server>> servers;
    for (int i = 0; i < 3; ++i)
    {
        const listed_replica replica{
            text("i-booking%d", i), "booking", processes->replica_address(i),
            fleet::zone(i), 6};
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
    std::vector<outcome> outcomes(callers);
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i)
    {
        threads.emplace_back(
            [&, i] { outcomes[i] = call_twice(processes->front(0), i); });
    }
    sleep_ms(300);
    const std::string named = has_trouble() ? "" : "Host: nowhere.example\r\n";
    record().line(text(
        "sent id=odd-1 %s", has_trouble() ? "without a Host field"
                                          : "for a host without routes"));
    const message odd = fleet::call(
        processes->front(0),
        text(
            "GET /book/visit HTTP/1.1\r\n%sRequest-Id: odd-1\r\n"
            "Deadline-Ms: 3000\r\n\r\n",
            named.c_str()),
        2000);
    record().line(
        text("answered id=odd-1 status=%d", odd.has_head ? odd.status() : 0));
    for (std::thread& each : threads)
    {
        each.join();
    }
    int status = 0;
    const bool ended = processes->router(0).has_ended(&status);
    int lost = 0;
    int served = 0;
    int first = 0;
    for (const outcome& each : outcomes)
    {
        lost += each.closed_without_answer ? 1 : 0;
        served += each.status == 200 ? 1 : 0;
        first += each.answered_first ? 1 : 0;
    }
    const std::string summary = text(
        "callers=%d served_first=%d served_second=%d "
        "closed_without_answer=%d router_ended=%d signal=%d",
        callers, first, served, lost, ended,
        ended && WIFSIGNALED(status) ? WTERMSIG(status) : 0);
    if (first < callers)
    {
        finish(std::move(processes), not_run, summary);
    }
    finish(
        std::move(processes),
        lost > most_lost ? rule_broken : rule_held, summary);
}
