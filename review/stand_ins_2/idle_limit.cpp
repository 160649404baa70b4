// The configuration changes: the time for which callers may stay idle becomes
// zero. Sends requests before and after, and after the change is taken back.
//
// usage: idle_limit BINARY RECORD
// TROUBLE: 1 (default) zero; 0 another time.
#include "small_fleet.hpp"

namespace
{

using namespace review;

constexpr int timeout_ms = 3000;
constexpr int late_ms = 500;
constexpr int config_apply_ms = 2000;
constexpr int router_count = 2;
constexpr int calls_per_router = 10;

std::string document(int version, int idle_timeout_ms)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
           "\"path_prefix\":\"/p/\",\"kind\":\"unsafe\",\"timeout_ms\":" +
           std::to_string(timeout_ms) +
           ",\"target_latency_ms\":300,\"priority\":0,\"service\":\"s-1\","
           "\"max_attempts\":2,\"public\":false,\"sticky\":false,"
           "\"resumable\":false}],"
           "\"services\":[{\"name\":\"s-1\",\"health_path\":\"/health\","
           "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}],"
           "\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":" +
           std::to_string(idle_timeout_ms) +
           "},\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"],"
           "\"priority\":1}]}";
}

struct counts
{
    int sent = 0;
    int answered = 0;
    int unanswered = 0;
};

class trial
{
public:
    trial(const std::string& binary, const std::string& record_path)
        : record_{record_path}
        , fleet_{binary, record_, router_count}
    {
    }

    int run(int idle_timeout_ms)
    {
        std::vector<std::unique_ptr<backend_stand_in>> backends;
        std::string list;
        for (int i = 1; i <= 3; ++i)
        {
            backends.push_back(std::make_unique<backend_stand_in>(
                fleet_.backend_host(i), fleet_.backend_port(),
                [this](int descriptor, const std::string& head)
                { serve(descriptor, head); }));
            list += (i == 1 ? "" : ",") +
                    fleet_.entry("i-" + std::to_string(i), "s-1", i, "v1");
        }
        fleet_.show(list);
        fleet_.start_all();
        if (!fleet_.file(document(1, 15000), 15) || !fleet_.wait_until_ready(10))
        {
            record_.line("the fleet did not start");
            return 2;
        }
        record_.line("2 routers ready, configuration 1, idle_timeout_ms 15000");
        const counts before = send_calls("before");
        if (before.answered != before.sent)
        {
            return 2;
        }
        if (!fleet_.file(document(2, idle_timeout_ms)))
        {
            record_.line("held: configuration 2 was not acknowledged");
            return 0;
        }
        record_.line(
            "configuration 2 acknowledged, idle_timeout_ms %d",
            idle_timeout_ms);
        std::this_thread::sleep_for(milliseconds{config_apply_ms});
        const counts after = send_calls("under configuration 2");
        for (int i = 1; i <= router_count; ++i)
        {
            record_.line(
                "front-%d: process %s, /ready %s", i,
                fleet::is_running(fleet_.router(i)) ? "runs" : "has ended",
                fleet_.is_ready(i) ? "200" : "no answer or no 200");
        }
        const bool is_filed = fleet_.file(document(3, 15000));
        record_.line(
            "configuration 3 %s, idle_timeout_ms 15000",
            is_filed ? "acknowledged" : "not acknowledged");
        std::this_thread::sleep_for(milliseconds{config_apply_ms});
        const counts later = send_calls("under configuration 3");
        record_.line("runs at backend servers in all: %d", runs_.load());
        if (after.unanswered * 2 > after.sent)
        {
            record_.line(
                "BROKEN: %d of %d requests have no answer %d ms after their "
                "route's timeout_ms; %d of %d after the change was taken back",
                after.unanswered, after.sent, late_ms, later.unanswered,
                later.sent);
            return 1;
        }
        record_.line("held: %d of %d requests answered", after.answered,
                     after.sent);
        return 0;
    }

private:
    void serve(int descriptor, const std::string& head)
    {
        ++runs_;
        std::this_thread::sleep_for(milliseconds{60});
        send_all(
            descriptor,
            "HTTP/1.1 200 OK\r\nRequest-Id: " + field_of(head, "Request-Id") +
                "\r\nReply-Seal: seal\r\nContent-Length: 2\r\n\r\nok");
    }

    // Each request goes over a connection of its own and is sent at once. It
    // counts as unanswered if nothing came by timeout_ms and late_ms.
    counts send_calls(const char* when)
    {
        counts result;
        std::mutex mutex;
        std::vector<std::thread> callers;
        for (int i = 0; i < router_count * calls_per_router; ++i)
        {
            callers.emplace_back(
                [&, i]
                {
                    std::this_thread::sleep_for(milliseconds{50 * i});
                    const int router = 1 + i % router_count;
                    const std::string id =
                        "r" + std::to_string(++last_id_);
                    const double sent = now_s();
                    const auto answer = send_call(router, id);
                    const std::lock_guard lock{mutex};
                    ++result.sent;
                    (answer ? result.answered : result.unanswered) += 1;
                    record_.line(
                        "%s: request %s to front-%d: %s after %.2f s", when,
                        id.c_str(), router,
                        answer ? std::to_string(answer->status).c_str()
                               : "no answer",
                        now_s() - sent);
                });
        }
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        record_.line(
            "%s: %d sent, %d answered, %d without an answer", when, result.sent,
            result.answered, result.unanswered);
        return result;
    }

    std::optional<http_answer> send_call(int router, const std::string& id)
    {
        const int descriptor = connect_to(
            fleet_.router_host(router), fleet_.caller_port(), 1000);
        if (descriptor < 0)
        {
            return std::nullopt;
        }
        const std::string request =
            "POST /p/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: " + std::to_string(timeout_ms) +
            "\r\nAuthorization: Bearer key-1\r\nContent-Length: 1\r\n\r\nb";
        auto answer = send_all(descriptor, request)
                          ? read_answer(descriptor, timeout_ms + late_ms)
                          : std::nullopt;
        ::close(descriptor);
        return answer;
    }

    record record_;
    small_fleet fleet_;
    std::atomic<int> runs_ = 0;
    std::atomic<int> last_id_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const char* const value = std::getenv("TROUBLE");
    const bool is_zero = value == nullptr || std::string{value} != "0";
    int code = 2;
    {
        trial all{argv[1], argv[2]};
        code = all.run(is_zero ? 0 : 14000);
    }
    std::fflush(stdout);
    std::_Exit(code);
}
