// A new version of the configuration takes the only tenant and its key away.
// Checks which keys are served after that.

#include "../stand_ins/harness.hpp"

using namespace review;

namespace
{

constexpr const char* host = "booking.example";
constexpr const char* taken_key = "n2ctnfzs989anu6wsjnb";

// No version holds this key.
constexpr const char* foreign_key = "zz0000000000000000zz";

constexpr std::int64_t config_apply_ms = 2000;
constexpr std::int64_t stable_window_ms = 3000;

std::string configuration(int version, bool has_tenant)
{
    return text(
        "{\"version\":%d,\"routes\":{\"columns\":[\"name\",\"host\","
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
        "\"rows\":[%s]}}",
        version, host,
        has_tenant ? text("[\"hule930\",[\"%s\"],1]", taken_key).c_str() : "");
}

std::mutex runs_mutex;
std::set<std::string> ran;

bool serve(const std::string& server, const message& request, connection& peer)
{
    const std::string id = request.field("Request-Id");
    record().line(text(
        "server=%s ran id=%s tenant=\"%s\"", server.c_str(), id.c_str(),
        request.field("Tenant").c_str()));
    {
        const std::lock_guard lock{runs_mutex};
        ran.insert(id);
    }
    return send_success(peer, id, "booked " + id);
}

// Sends one request with the key to each router. Returns how many ran.
int send_all(const fleet& processes, const std::string& name, const char* key)
{
    int count = 0;
    for (int router = 0; router < 2; ++router)
    {
        const std::string id = text("%s-%d", name.c_str(), router);
        record().line(text("sent id=%s key=%s", id.c_str(), key));
        const message answer = fleet::call(
            processes.front(router),
            text(
                "POST /book/visit HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
                "Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n"
                "Content-Length: 0\r\n\r\n",
                host, id.c_str(), key),
            4000);
        record().line(text(
            "answered id=%s status=%d", id.c_str(),
            answer.has_head ? answer.status() : 0));
        const std::lock_guard lock{runs_mutex};
        count += ran.contains(id) ? 1 : 0;
    }
    return count;
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
    if (!processes->file(configuration(7, true)) ||
        !processes->wait_until_ready())
    {
        finish(std::move(processes), not_run, "the fleet isn't ready");
    }
    sleep_ms(stable_window_ms + 1000);
    const int held_before = send_all(*processes, "held-before", taken_key);
    const int foreign_before =
        send_all(*processes, "foreign-before", foreign_key);
    // Without the disruption, the new version takes nothing away.
    if (!processes->file(configuration(9, !has_trouble())))
    {
        finish(
            std::move(processes), not_run, "the version isn't acknowledged");
    }
    record().line(text(
        "version 9 is acknowledged, it holds %s",
        has_trouble() ? "no tenant" : "the same tenant"));
    sleep_ms(config_apply_ms + 1000);
    const int taken = send_all(*processes, "held-after", taken_key);
    const int foreign = send_all(*processes, "foreign-after", foreign_key);
    const std::string summary = text(
        "before: ran_with_the_key=%d of 2 ran_with_a_foreign_key=%d of 2; "
        "after: ran_with_the_key=%d of 2 ran_with_a_foreign_key=%d of 2",
        held_before, foreign_before, taken, foreign);
    if (held_before != 2)
    {
        finish(std::move(processes), not_run, summary);
    }
    const bool is_broken =
        foreign_before + foreign > 0 || (has_trouble() && taken > 0);
    finish(
        std::move(processes), is_broken ? rule_broken : rule_held, summary);
}
