// Servers of a service crash and start again under the identifiers that they
// had, with a newer version of their software. Callers take their streams up.
//
// usage: same_identifier BINARY RECORD
// TROUBLE: 1 (default); 0 no crash; same: they crash and come back with the
// version that they had.
#include "small_fleet.hpp"

namespace
{

using namespace review;

constexpr int router_count = 2;
constexpr int server_count = 3;
constexpr int caller_count = 12;
constexpr int event_count = 60;
constexpr int event_gap_ms = 100;
constexpr int deadline_ms = 12000;
constexpr int max_tries = 8;

// More than so many streams with events of two versions break the rule.
constexpr int allowed_mixed = 2;

// How long the servers are down, and lag_ms of raiogaucho-rotas, by which the
// list is behind.
constexpr double down_s = 1.0;
constexpr double list_lag_s = 0.8;

std::string document()
{
    return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":"
           "\"a.example\",\"path_prefix\":\"/p/\",\"kind\":\"streaming\","
           "\"timeout_ms\":" +
           std::to_string(deadline_ms) +
           ",\"target_latency_ms\":800,\"priority\":0,\"service\":\"s-1\","
           "\"max_attempts\":2,\"public\":false,\"sticky\":true,"
           "\"resumable\":true,\"gap_target_ms\":400}],"
           "\"services\":[{\"name\":\"s-1\",\"health_path\":\"/health\","
           "\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,"
           "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":498049,"
           "\"kv_token_bytes\":18432,\"models\":[{\"name\":\"m\"}]}}],"
           "\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000},"
           "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"],"
           "\"priority\":1}]}";
}

struct event
{
    int id = 0;
    std::string version;
};

struct attempt_result
{
    int status = 0;
    bool is_complete = false;
    double retry_after_s = 0.2;
    std::vector<event> events;
};

class trial
{
public:
    trial(const std::string& binary, const std::string& record_path)
        : record_{record_path}
        , fleet_{binary, record_, router_count}
        , versions_(server_count + 1, "v1")
    {
    }

    int run(bool crashes, const std::string& later_version)
    {
        std::vector<std::unique_ptr<backend_stand_in>> servers;
        for (int i = 1; i <= server_count; ++i)
        {
            servers.push_back(std::make_unique<backend_stand_in>(
                fleet_.backend_host(i), fleet_.backend_port(),
                [this, i](int descriptor, const std::string& head)
                { serve(i, descriptor, head); }));
        }
        show_list();
        fleet_.start_all();
        if (!fleet_.file(document(), 15) || !fleet_.wait_until_ready(10))
        {
            record_.line("the fleet did not start");
            return 2;
        }
        std::this_thread::sleep_for(std::chrono::seconds{4});
        record_.line("2 routers ready for 4 s, 3 servers, all version v1");
        std::vector<std::thread> callers;
        for (int i = 1; i <= caller_count; ++i)
        {
            callers.emplace_back([this, i] { take_stream(i); });
            std::this_thread::sleep_for(milliseconds{40});
        }
        std::this_thread::sleep_for(std::chrono::seconds{2});
        if (crashes)
        {
            for (auto& server : servers)
            {
                server->crash();
            }
            record_.line("all servers of the service have crashed");
            sleep_until(now_s() + down_s);
            set_versions(later_version);
            for (auto& server : servers)
            {
                server->start();
            }
            record_.line(
                "all servers run again under the same identifiers and "
                "addresses, version %s",
                later_version.c_str());
            sleep_until(now_s() + list_lag_s);
            show_list();
            record_.line("the list shows version %s", later_version.c_str());
        }
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        record_.line(
            "%d streams, %d complete, %d with events of two versions, of "
            "these %d in one answer",
            caller_count, complete_, mixed_, mixed_in_one_);
        if (!crashes && complete_ != caller_count)
        {
            return 2;
        }
        if (mixed_ > allowed_mixed)
        {
            record_.line(
                "BROKEN: %d streams hold events of two versions", mixed_);
            return 1;
        }
        record_.line("held");
        return 0;
    }

private:
    std::string version_of(int server)
    {
        const std::lock_guard lock{mutex_};
        return versions_[static_cast<std::size_t>(server)];
    }

    void set_versions(const std::string& version)
    {
        const std::lock_guard lock{mutex_};
        std::fill(versions_.begin(), versions_.end(), version);
    }

    void show_list()
    {
        std::string list;
        for (int i = 1; i <= server_count; ++i)
        {
            list += (i == 1 ? "" : ",") +
                    fleet_.entry(
                        "i-" + std::to_string(i), "s-1", i, version_of(i));
        }
        fleet_.show(list);
    }

    void serve(int server, int descriptor, const std::string& head)
    {
        const std::string id = field_of(head, "Request-Id");
        const std::string version = version_of(server);
        const std::string expected = field_of(head, "Expect-Instance");
        if (expected != "i-" + std::to_string(server))
        {
            send_all(
                descriptor, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " +
                                id + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        const int last = std::atoi(field_of(head, "Last-Event-Id").c_str());
        record_.line(
            "i-%d (%s) runs %s from event %d on", server, version.c_str(),
            id.c_str(), last + 1);
        if (!send_all(
                descriptor,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                    "\r\nReply-Seal: seal\r\nContent-Type: text/event-stream"
                    "\r\nTransfer-Encoding: chunked\r\n\r\n"))
        {
            return;
        }
        for (int i = last + 1; i <= event_count; ++i)
        {
            const std::string text = "id: " + std::to_string(i) +
                                     "\ndata: " + version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!send_all(descriptor, size + text + "\r\n"))
            {
                return;
            }
            std::this_thread::sleep_for(milliseconds{event_gap_ms});
        }
        send_all(descriptor, "0\r\n\r\n");
    }

    // One stream of a caller, over as many tries as it takes. A later try names
    // the attempt that brought the first event.
    void take_stream(int caller)
    {
        const double limit = now_s() + deadline_ms / 1000.0;
        std::vector<event> events;
        std::string first_attempt;
        bool is_complete = false;
        bool is_mixed_in_one = false;
        for (int i = 1; i <= max_tries && !is_complete && now_s() < limit; ++i)
        {
            const std::string id = "c" + std::to_string(caller) + "-" +
                                   std::to_string(i);
            const attempt_result result = send_attempt(
                1 + (caller + i) % router_count, id,
                events.empty() ? 0 : events.back().id, first_attempt,
                static_cast<int>((limit - now_s()) * 1000));
            record_.line(
                "%s: status %d, retry after %.2f s, %zu events%s%s", id.c_str(),
                result.status, result.retry_after_s,
                result.events.size(),
                result.events.empty()
                    ? ""
                    : (", version " + result.events.front().version + " to " +
                       result.events.back().version)
                          .c_str(),
                result.is_complete ? ", complete" : "");
            if (first_attempt.empty() && !result.events.empty())
            {
                first_attempt = id;
            }
            is_mixed_in_one = is_mixed_in_one || is_mixed(result.events);
            events.insert(
                events.end(), result.events.begin(), result.events.end());
            is_complete = result.is_complete;
            if (!is_complete)
            {
                sleep_until(now_s() + result.retry_after_s);
            }
        }
        const std::lock_guard lock{mutex_};
        complete_ += is_complete ? 1 : 0;
        mixed_ += is_mixed(events) ? 1 : 0;
        mixed_in_one_ += is_mixed_in_one ? 1 : 0;
    }

    static bool is_mixed(const std::vector<event>& events)
    {
        for (const event& each : events)
        {
            if (each.version != events.front().version)
            {
                return true;
            }
        }
        return false;
    }

    attempt_result send_attempt(
        int router, const std::string& id, int last,
        const std::string& resumes, int left_ms)
    {
        attempt_result result;
        const int descriptor = connect_to(
            fleet_.router_host(router), fleet_.caller_port(), 1000);
        if (descriptor < 0)
        {
            return result;
        }
        std::string request =
            "POST /p/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: " + std::to_string(left_ms) +
            "\r\nAuthorization: Bearer key-1\r\nModel: m\r\nToken-Count: "
            "1460,400\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b" +
            std::to_string(10 + std::atoi(id.c_str() + 1)) + ":250\r\n";
        if (last > 0)
        {
            request += "Last-Event-Id: " + std::to_string(last) +
                       "\r\nResumes: " + resumes + "\r\n";
        }
        std::string input;
        // Callers send different requests, and the same one at each try.
        const std::string body = id.substr(0, id.find('-'));
        request += "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body;
        if (send_all(descriptor, request))
        {
            read_stream(descriptor, left_ms, input);
        }
        ::close(descriptor);
        if (input.size() > 12)
        {
            result.status = std::atoi(input.c_str() + 9);
        }
        const std::string wait = field_of(
            input.substr(0, input.find("\r\n\r\n") + 2), "Retry-After");
        if (!wait.empty())
        {
            result.retry_after_s = std::atof(wait.c_str());
        }
        result.is_complete =
            result.status == 200 && input.ends_with("\r\n0\r\n\r\n");
        for (std::size_t at = input.find("id: "); at != std::string::npos;
             at = input.find("id: ", at + 1))
        {
            const std::size_t data = input.find("\ndata: ", at);
            const std::size_t end = input.find("\n\n", at);
            if (data != std::string::npos && end != std::string::npos)
            {
                result.events.push_back(
                    {std::atoi(input.c_str() + at + 4),
                     input.substr(data + 7, end - data - 7)});
            }
        }
        return result;
    }

    static void
    read_stream(int descriptor, int limit_ms, std::string& input)
    {
        const auto limit = steady::now() + milliseconds{limit_ms};
        char buffer[16384];
        while (!input.ends_with("\r\n0\r\n\r\n"))
        {
            const std::size_t end = input.find("\r\n\r\n");
            if (end != std::string::npos)
            {
                const std::string size =
                    field_of(input.substr(0, end + 2), "Content-Length");
                if (!size.empty() &&
                    input.size() >=
                        end + 4 +
                            static_cast<std::size_t>(std::atol(size.c_str())))
                {
                    return;
                }
            }
            const auto left = std::chrono::duration_cast<milliseconds>(
                limit - steady::now());
            pollfd wait{descriptor, POLLIN, 0};
            if (left.count() <= 0 ||
                ::poll(&wait, 1, static_cast<int>(left.count())) <= 0)
            {
                return;
            }
            const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (count <= 0)
            {
                return;
            }
            input.append(buffer, static_cast<std::size_t>(count));
        }
    }

    record record_;
    small_fleet fleet_;
    std::mutex mutex_;
    std::vector<std::string> versions_;
    int complete_ = 0;
    int mixed_ = 0;
    int mixed_in_one_ = 0;
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
    const std::string trouble = value == nullptr ? "1" : value;
    int code = 2;
    {
        trial all{argv[1], argv[2]};
        code = all.run(trouble != "0", trouble == "same" ? "v1" : "v2");
    }
    std::fflush(stdout);
    std::_Exit(code);
}
