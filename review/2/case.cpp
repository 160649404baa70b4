// A caller hides a second request in the value of a header field of its own
// request. Checks what the backend servers run.

#include "../stand_ins/harness.hpp"

using namespace review;

namespace
{

constexpr std::string_view host = "booking.example";
constexpr std::string_view caller_key = "n2ctnfzs989anu6wsjnb";
constexpr std::string_view other_key = "anfqasnmgkcuyj8pjbvk";
constexpr std::string_view caller_tenant = "hule930";
constexpr std::string_view other_tenant = "vima417";

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
        "\"rows\":[[\"%s\",[\"%s\"],1],[\"%s\",[\"%s\"],1]]}}",
        std::string{host}.c_str(), std::string{caller_tenant}.c_str(),
        std::string{caller_key}.c_str(), std::string{other_tenant}.c_str(),
        std::string{other_key}.c_str());
}

struct run
{
    std::string id;
    std::string tenant;
    std::string target;
};

// What the booking service has run.
std::mutex runs_mutex;
std::vector<run> runs;

bool serve(const std::string& server, const message& request, connection& peer)
{
    const std::string id = request.field("Request-Id");
    const std::string tenant = request.field("Tenant");
    record().line(text(
        "server=%s ran id=%s tenant=%s target=%s body=\"%s\"", server.c_str(),
        id.c_str(), tenant.c_str(), request.word(1).c_str(),
        printable(request.body).c_str()));
    {
        const std::lock_guard lock{runs_mutex};
        runs.push_back({id, tenant, request.word(1)});
    }
    return send_success(peer, id, "booked " + id);
}

std::string base64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "abcdefghijklmnopqrstuvwxyz"
                                        "0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8U |
                    (i + j < bytes.size()
                         ? static_cast<unsigned char>(bytes[i + j])
                         : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            result += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
        }
    }
    return result;
}

// The request that is hidden: a booking in the name of the other tenant. What
// the router writes behind it is the start of a third message, which no server
// can read.
std::string hidden_request(const std::string& id)
{
    return text(
        "x\r\nContent-Length: 0\r\n\r\n"
        "POST /book/visit HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
        "Tenant: %s\r\nContent-Length: 0\r\n\r\nrest: ",
        std::string{host}.c_str(), id.c_str(),
        std::string{other_tenant}.c_str());
}

std::string request_text(const std::string& id, const std::string& note)
{
    const std::string body = "visit " + id;
    return text(
               "POST /book/visit HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
               "Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nNote: %s\r\n"
               "Content-Length: %zu\r\n\r\n",
               std::string{host}.c_str(), id.c_str(),
               std::string{caller_key}.c_str(), note.c_str(), body.size()) +
           body;
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
    std::set<std::string> sent;
    int unanswered = 0;
    for (int i = 0; i < 40; ++i)
    {
        const std::string id = text("caller-%d", i);
        // Every fourth request carries a note that isn't plain text.
        const bool hides = has_trouble() && i % 4 == 3;
        const std::string note =
            hides ? "=?utf-8?B?" +
                        base64(hidden_request(text("hidden-%d", i))) + "?="
                  : "ring twice";
        sent.insert(id);
        record().line(text(
            "sent id=%s router=%d hides=%d", id.c_str(), i % 2, hides));
        const message answer =
            fleet::call(processes->front(i % 2), request_text(id, note), 4000);
        record().line(text(
            "answered id=%s status=%d body=\"%s\"", id.c_str(),
            answer.has_head ? answer.status() : 0,
            printable(answer.body).c_str()));
        unanswered += answer.complete ? 0 : 1;
        sleep_ms(20);
    }
    sleep_ms(500);
    int not_sent = 0;
    int wrong_tenant = 0;
    int total = 0;
    const std::lock_guard lock{runs_mutex};
    for (const run& each : runs)
    {
        ++total;
        not_sent += sent.contains(each.id) ? 0 : 1;
        wrong_tenant += each.tenant == caller_tenant ? 0 : 1;
    }
    const std::string summary = text(
        "sent=%zu unanswered=%d runs=%d runs_that_nobody_sent=%d "
        "runs_for_another_tenant=%d",
        sent.size(), unanswered, total, not_sent, wrong_tenant);
    if (total == 0)
    {
        finish(std::move(processes), not_run, summary);
    }
    finish(
        std::move(processes),
        not_sent + wrong_tenant > 0 ? rule_broken : rule_held, summary);
}
