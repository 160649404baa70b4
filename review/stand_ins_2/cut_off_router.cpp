// A router is cut off from all machines of the system, though not from callers
// and backend servers, and is killed before the cut has healed. Callers take up
// the streams that began there.
//
// usage: cut_off_router BINARY RECORD
// TROUBLE: 1 (default); 0 no cut and no kill, the callers close their
// connections; kill: only the kill; cut: only the cut, the callers close.
#include "small_fleet.hpp"

namespace
{

using namespace review;

constexpr int router_count = 6;
constexpr int server_count = 4;
constexpr int stream_count = 24;
constexpr int event_count = 60;
constexpr int event_gap_ms = 100;
constexpr int deadline_ms = 12000;
constexpr int max_tries = 3;

// for_s of the cut in the site file, and when in it the router is killed.
constexpr double cut_s = 5.5;
constexpr double killed_after_s = 5.0;

// When in the cut the streams begin.
constexpr double streams_after_s = 3.0;

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

// Passes connections on, unless it is cut.
class proxy
{
public:
    proxy(
        const std::string& host, int port, std::string target_host,
        int target_port)
        : target_host_{std::move(target_host)}
        , target_port_{target_port}
        , listener_{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = address_of(host, port);
        if (::bind(
                listener_, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0 ||
            ::listen(listener_, 128) != 0)
        {
            std::perror("proxy");
            std::exit(2);
        }
        std::thread{[this] { accept_all(); }}.detach();
    }

    // Resets what is open and what comes.
    void set_cut(bool is_cut)
    {
        const std::lock_guard lock{mutex_};
        is_cut_ = is_cut;
        if (is_cut)
        {
            for (const int descriptor : open_)
            {
                reset(descriptor);
            }
        }
    }

private:
    static void reset(int descriptor)
    {
        const linger now{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::shutdown(descriptor, SHUT_RDWR);
    }

    void accept_all()
    {
        while (true)
        {
            const int incoming = ::accept(listener_, nullptr, nullptr);
            if (incoming < 0)
            {
                return;
            }
            std::thread{[this, incoming] { serve(incoming); }}.detach();
        }
    }

    void serve(int incoming)
    {
        int outgoing = -1;
        {
            const std::lock_guard lock{mutex_};
            if (is_cut_)
            {
                reset(incoming);
                ::close(incoming);
                return;
            }
        }
        outgoing = connect_to(target_host_, target_port_, 500);
        if (outgoing < 0)
        {
            reset(incoming);
            ::close(incoming);
            return;
        }
        {
            const std::lock_guard lock{mutex_};
            open_.insert({incoming, outgoing});
            if (is_cut_)
            {
                reset(incoming);
                reset(outgoing);
            }
        }
        std::thread back{[=] { pump(outgoing, incoming); }};
        pump(incoming, outgoing);
        back.join();
        const std::lock_guard lock{mutex_};
        open_.erase(incoming);
        open_.erase(outgoing);
        ::close(incoming);
        ::close(outgoing);
    }

    static void pump(int from, int to)
    {
        char buffer[16384];
        while (true)
        {
            const ssize_t count = ::recv(from, buffer, sizeof buffer, 0);
            if (count <= 0 ||
                !send_all(to, {buffer, static_cast<std::size_t>(count)}))
            {
                break;
            }
        }
        ::shutdown(from, SHUT_RDWR);
        ::shutdown(to, SHUT_RDWR);
    }

    std::string target_host_;
    int target_port_;
    int listener_;
    std::mutex mutex_;
    bool is_cut_ = false;
    std::set<int> open_;
};

struct taken_stream
{
    std::string first_attempt;
    int last_event = 0;
    bool goes_on = false;
    int descriptor = -1;
};

class trial
{
public:
    trial(const std::string& binary, const std::string& record_path)
        : record_{record_path}
        , fleet_{binary, record_, router_count}
    {
    }

    int run(bool cuts, bool kills)
    {
        start_servers();
        start_proxies();
        fleet_.start_all();
        if (!fleet_.file(document(), 15) || !fleet_.wait_until_ready(10))
        {
            record_.line("the fleet did not start");
            return 2;
        }
        std::this_thread::sleep_for(std::chrono::seconds{5});
        record_.line("6 routers ready for 5 s, 4 servers, all version v1");
        const double begin = now_s();
        if (cuts)
        {
            set_cut(true);
            record_.line("front-1 is cut off from all machines of the system");
        }
        sleep_until(begin + streams_after_s);
        std::vector<taken_stream> streams(stream_count);
        int began = 0;
        for (int i = 0; i < stream_count; ++i)
        {
            began += begin_stream(streams[static_cast<std::size_t>(i)], i);
        }
        record_.line("%d of %d streams begin at front-1", began, stream_count);
        if (began < stream_count)
        {
            return 2;
        }
        sleep_until(begin + killed_after_s);
        if (kills)
        {
            fleet::kill(fleet_.router(1), SIGKILL);
            record_.line("front-1 is killed");
        }
        for (taken_stream& stream : streams)
        {
            finish_reading(stream, !kills);
        }
        const int code = take_up(streams);
        sleep_until(begin + cut_s);
        set_cut(false);
        return code;
    }

    void stop()
    {
        fleet_.end();
    }

private:
    void start_servers()
    {
        std::string list;
        for (int i = 1; i <= server_count; ++i)
        {
            servers_.push_back(std::make_unique<backend_stand_in>(
                fleet_.backend_host(i), fleet_.backend_port(),
                [](int descriptor, const std::string& head)
                { serve(descriptor, head); }));
            list += (i == 1 ? "" : ",") +
                    fleet_.entry("i-" + std::to_string(i), "s-1", i, "v1");
        }
        fleet_.show(list);
    }

    // Front-1 uses another internal port. At that port of each other machine
    // stands a proxy to the port that this machine uses, and at the common port
    // of front-1 one to its own.
    void start_proxies()
    {
        std::vector<std::string> hosts;
        for (int i = 1; i <= small_fleet::voters; ++i)
        {
            hosts.push_back(fleet_.core_host(i));
        }
        for (int i = 2; i <= router_count; ++i)
        {
            hosts.push_back(fleet_.router_host(i));
        }
        std::vector<std::string> all = hosts;
        all.push_back(fleet_.router_host(1));
        const int own = free_port(all);
        fleet_.set_peer_port(1, own);
        for (const std::string& host : hosts)
        {
            proxies_.push_back(
                std::make_unique<proxy>(host, own, host, fleet_.peer_port()));
        }
        proxies_.push_back(std::make_unique<proxy>(
            fleet_.router_host(1), fleet_.peer_port(), fleet_.router_host(1),
            own));
    }

    void set_cut(bool is_cut)
    {
        for (const auto& each : proxies_)
        {
            each->set_cut(is_cut);
        }
    }

    static void serve(int descriptor, const std::string& head)
    {
        const int last = std::atoi(field_of(head, "Last-Event-Id").c_str());
        if (!send_all(
                descriptor,
                "HTTP/1.1 200 OK\r\nRequest-Id: " +
                    field_of(head, "Request-Id") +
                    "\r\nReply-Seal: seal\r\nContent-Type: text/event-stream"
                    "\r\nTransfer-Encoding: chunked\r\n\r\n"))
        {
            return;
        }
        for (int i = last + 1; i <= event_count; ++i)
        {
            const std::string text =
                "id: " + std::to_string(i) + "\ndata: v1\n\n";
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

    static std::string request(
        int caller, const std::string& id, const taken_stream& stream)
    {
        const std::string body = "c" + std::to_string(caller);
        std::string text =
            "POST /p/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
            "\r\nAuthorization: Bearer key-1\r\nModel: m\r\nToken-Count: "
            "1460,400\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4" +
            std::to_string(1000 + caller) + ":250\r\n";
        if (stream.last_event > 0)
        {
            text += "Last-Event-Id: " + std::to_string(stream.last_event) +
                    "\r\nResumes: " + stream.first_attempt + "\r\n";
        }
        return text + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    // Reads until an event has come or the answer has ended. Returns the text.
    static std::string read_some(int descriptor, int limit_ms)
    {
        const auto limit = steady::now() + milliseconds{limit_ms};
        std::string input;
        char buffer[16384];
        while (input.find("data: v1\n\n") == std::string::npos)
        {
            const auto left = std::chrono::duration_cast<milliseconds>(
                limit - steady::now());
            pollfd wait{descriptor, POLLIN, 0};
            if (left.count() <= 0 ||
                ::poll(&wait, 1, static_cast<int>(left.count())) <= 0)
            {
                break;
            }
            const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (count <= 0)
            {
                break;
            }
            input.append(buffer, static_cast<std::size_t>(count));
            if (input.rfind("HTTP/1.1 200", 0) != 0 &&
                input.find("\r\n\r\n") != std::string::npos)
            {
                break;
            }
        }
        return input;
    }

    static int last_event_in(const std::string& input, int before)
    {
        const std::size_t at = input.rfind("\nid: ");
        const std::size_t first = input.find("id: ");
        if (first == std::string::npos)
        {
            return before;
        }
        return std::atoi(
            input.c_str() + (at == std::string::npos ? first + 4 : at + 5));
    }

    bool begin_stream(taken_stream& stream, int caller)
    {
        stream.first_attempt = "c" + std::to_string(caller) + "-1";
        stream.descriptor = connect_to(
            fleet_.router_host(1), fleet_.caller_port(), 1000);
        if (stream.descriptor < 0 ||
            !send_all(
                stream.descriptor,
                request(caller, stream.first_attempt, stream)))
        {
            return false;
        }
        const std::string input = read_some(stream.descriptor, 2000);
        stream.last_event = last_event_in(input, 0);
        return stream.last_event > 0;
    }

    // Reads what has come until the connection breaks, or closes it.
    static void finish_reading(taken_stream& stream, bool closes)
    {
        std::string input;
        char buffer[16384];
        while (true)
        {
            const ssize_t count = ::recv(
                stream.descriptor, buffer, sizeof buffer,
                closes ? MSG_DONTWAIT : 0);
            if (count <= 0)
            {
                break;
            }
            input.append(buffer, static_cast<std::size_t>(count));
        }
        ::close(stream.descriptor);
        // An event whose end has not come doesn't count.
        const std::size_t end = input.rfind("data: v1\n\n");
        stream.last_event = last_event_in(
            end == std::string::npos ? std::string{} : input.substr(0, end),
            stream.last_event);
    }

    int take_up(std::vector<taken_stream>& streams)
    {
        std::vector<std::thread> callers;
        std::atomic<int> new_begin = 0;
        for (int i = 0; i < stream_count; ++i)
        {
            callers.emplace_back(
                [&, i]
                { resume(streams[static_cast<std::size_t>(i)], i); });
            callers.emplace_back(
                [&, i]
                {
                    taken_stream fresh;
                    const auto answer = try_at(
                        2 + i % (router_count - 1),
                        request(1000 + i, "n" + std::to_string(i), fresh));
                    new_begin += answer.first == 200 ? 1 : 0;
                });
        }
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        int go_on = 0;
        for (const taken_stream& stream : streams)
        {
            go_on += stream.goes_on ? 1 : 0;
        }
        record_.line(
            "%d of %d streams that were taken up again go on; %d of %d new "
            "ones begin",
            go_on, stream_count, new_begin.load(), stream_count);
        // Under half of the share of new streams.
        const bool is_broken = 2 * go_on < new_begin;
        record_.line(is_broken ? "BROKEN" : "held");
        return is_broken ? 1 : 0;
    }

    void resume(taken_stream& stream, int caller)
    {
        for (int i = 2; i < 2 + max_tries && !stream.goes_on; ++i)
        {
            const std::string id =
                "c" + std::to_string(caller) + "-" + std::to_string(i);
            const int router = 2 + (caller + i) % (router_count - 1);
            const auto answer = try_at(router, request(caller, id, stream));
            stream.goes_on = answer.first == 200;
            record_.line(
                "%s after event %d at front-%d: status %d", id.c_str(),
                stream.last_event, router, answer.first);
            if (!stream.goes_on)
            {
                sleep_until(now_s() + answer.second);
            }
        }
    }

    // Status of the answer, and the time to wait that it names.
    std::pair<int, double> try_at(int router, const std::string& text)
    {
        const int descriptor = connect_to(
            fleet_.router_host(router), fleet_.caller_port(), 1000);
        std::string input;
        if (descriptor >= 0 && send_all(descriptor, text))
        {
            input = read_some(descriptor, 3000);
        }
        ::close(descriptor);
        const std::string wait = field_of(
            input.substr(0, input.find("\r\n\r\n") + 2), "Retry-After");
        return {
            input.size() > 12 ? std::atoi(input.c_str() + 9) : 0,
            wait.empty() ? 0.3 : std::min(std::atof(wait.c_str()), 3.0)};
    }

    record record_;
    small_fleet fleet_;
    std::vector<std::unique_ptr<backend_stand_in>> servers_;
    std::vector<std::unique_ptr<proxy>> proxies_;
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
    // Threads of the proxies outlive the trial.
    auto* all = new trial{argv[1], argv[2]};
    const int code = all->run(
        trouble == "1" || trouble == "cut", trouble == "1" || trouble == "kill");
    std::fflush(stdout);
    all->stop();
    std::_Exit(code);
}
