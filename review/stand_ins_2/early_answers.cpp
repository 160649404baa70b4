// Servers that are full reject long requests before they have read them, keep
// the connection and read on later. Callers send bodies of legal size.
//
// usage: early_answers BINARY RECORD
// TROUBLE: 1 (default); 0 the servers read a request before they reject it.
#include "small_fleet.hpp"

namespace
{

using namespace review;

constexpr int server_count = 9;

// Bodies that are a little shorter than max_body_bytes, one to each server in
// this interval.
constexpr std::size_t body_bytes = std::size_t{4} * 1024 * 1024 - 4096;
constexpr int interval_ms = 750;
constexpr double sending_s = 14;

// The servers read on after this time.
constexpr int read_on_s = 8;

// limits.memory_mb of the front machines of raiogaucho-rotas. The platform
// kills a process that uses more.
constexpr long memory_mb = 260;

constexpr std::size_t long_request_bytes = 65536;
constexpr int receive_buffer_bytes = 65536;

std::string document()
{
    return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":"
           "\"a.example\",\"path_prefix\":\"/p/\",\"kind\":\"streaming\","
           "\"timeout_ms\":12000,\"target_latency_ms\":800,\"priority\":0,"
           "\"service\":\"s-1\",\"max_attempts\":1,\"public\":false,"
           "\"sticky\":true,\"resumable\":false,\"gap_target_ms\":400}],"
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

// A server that reads small requests and answers them with a stream of one
// event. Long ones it rejects, as one that is full: early, or once it has read
// them.
class full_server
{
public:
    full_server(const std::string& host, int port, bool is_early)
        : is_early_{is_early}
        , listener_{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        ::setsockopt(
            listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
            sizeof receive_buffer_bytes);
        const sockaddr_in address = address_of(host, port);
        if (::bind(
                listener_, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0 ||
            ::listen(listener_, 128) != 0)
        {
            std::perror("listen");
            std::exit(2);
        }
        std::thread{[this] { accept_all(); }}.detach();
    }

    int small_requests() const
    {
        return small_;
    }

    int long_requests() const
    {
        return long_;
    }

private:
    void accept_all()
    {
        while (true)
        {
            const int descriptor = ::accept(listener_, nullptr, nullptr);
            if (descriptor < 0)
            {
                return;
            }
            std::thread{[this, descriptor] { serve(descriptor); }}.detach();
        }
    }

    void serve(int descriptor)
    {
        std::string input;
        while (true)
        {
            const std::size_t end = input.find("\r\n\r\n");
            if (end == std::string::npos)
            {
                if (!receive(descriptor, input))
                {
                    break;
                }
                continue;
            }
            const std::string head = input.substr(0, end + 2);
            input.erase(0, end + 4);
            const auto size = static_cast<std::size_t>(
                std::atol(field_of(head, "Content-Length").c_str()));
            if (!handle(descriptor, head, size, input))
            {
                break;
            }
        }
        ::close(descriptor);
    }

    bool handle(
        int descriptor, const std::string& head, std::size_t size,
        std::string& input)
    {
        const std::string id = field_of(head, "Request-Id");
        if (size < long_request_bytes)
        {
            ++small_;
            return take_body(descriptor, size, input) &&
                   send_all(
                       descriptor,
                       "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                           "\r\nReply-Seal: seal\r\nKeep-Alive: timeout=15"
                           "\r\nContent-Length: 17\r\n\r\nid: 1\ndata: "
                           "abc\n\n");
        }
        ++long_;
        if (!is_early_ && !take_body(descriptor, size, input))
        {
            return false;
        }
        if (!send_all(
                descriptor, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " +
                                id +
                                "\r\nNot-Run: 1\r\nKeep-Alive: timeout=15\r\n"
                                "Content-Length: 0\r\n\r\n"))
        {
            return false;
        }
        if (!is_early_)
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::seconds{read_on_s});
        return take_body(descriptor, size, input);
    }

    static bool receive(int descriptor, std::string& input)
    {
        char buffer[16384];
        const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (count > 0)
        {
            input.append(buffer, static_cast<std::size_t>(count));
        }
        return count > 0;
    }

    static bool
    take_body(int descriptor, std::size_t size, std::string& input)
    {
        while (input.size() < size)
        {
            size -= input.size();
            input.clear();
            if (!receive(descriptor, input))
            {
                return false;
            }
        }
        input.erase(0, size);
        return true;
    }

    bool is_early_;
    int listener_;
    std::atomic<int> small_ = 0;
    std::atomic<int> long_ = 0;
};

class trial
{
public:
    trial(const std::string& binary, const std::string& record_path)
        : record_{record_path}
        , fleet_{binary, record_, 1}
    {
    }

    int run(bool is_early)
    {
        std::string list;
        for (int i = 1; i <= server_count; ++i)
        {
            servers_.push_back(std::make_unique<full_server>(
                fleet_.backend_host(i), fleet_.backend_port(), is_early));
            list += (i == 1 ? "" : ",") +
                    fleet_.entry("i-" + std::to_string(i), "s-1", i, "v1");
        }
        fleet_.show(list);
        fleet_.start_all();
        if (!fleet_.file(document(), 15) || !fleet_.wait_until_ready(10))
        {
            record_.line("the fleet did not start");
            return 2;
        }
        const std::vector<int> prompts = find_prompts();
        record_.line(
            "1 router ready, memory %ld MB; prompts for %zu servers", memory(),
            prompts.size());
        const double end = now_s() + sending_s;
        std::atomic<bool> stops = false;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < prompts.size(); ++i)
        {
            callers.emplace_back(
                [&, i]
                {
                    std::this_thread::sleep_for(milliseconds{
                        static_cast<long>(i) * interval_ms /
                        static_cast<long>(prompts.size())});
                    while (!stops && now_s() < end)
                    {
                        const double next = now_s() + interval_ms / 1000.0;
                        count(send(prompts[i], body_bytes));
                        sleep_until(next);
                    }
                });
        }
        const int code = watch(end + 4);
        stops = true;
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        int requests = 0;
        for (const auto& server : servers_)
        {
            requests += server->long_requests();
        }
        record_.line(
            "%d requests of %zu bytes reached servers; answers: %d of 503, %d "
            "others, %d without one",
            requests, body_bytes, refused_, others_, unanswered_);
        return code;
    }

    // Ends all processes.
    void stop()
    {
        fleet_.end();
    }

private:
    // One prompt for each server: the router sends those with one prefix to the
    // same server.
    std::vector<int> find_prompts()
    {
        std::vector<int> prompts;
        std::set<std::size_t> known;
        for (int prompt = 1; prompt <= 200 && known.size() < server_count;
             ++prompt)
        {
            std::vector<int> before;
            for (const auto& server : servers_)
            {
                before.push_back(server->small_requests());
            }
            send(prompt, 1);
            for (std::size_t i = 0; i < servers_.size(); ++i)
            {
                if (servers_[i]->small_requests() > before[i] &&
                    known.insert(i).second)
                {
                    prompts.push_back(prompt);
                }
            }
        }
        return prompts;
    }

    // Status of the answer; zero for none.
    int send(int prompt, std::size_t size)
    {
        const int descriptor =
            connect_to(fleet_.router_host(1), fleet_.caller_port(), 1000);
        if (descriptor < 0)
        {
            return 0;
        }
        const std::string number = std::to_string(++last_id_);
        const std::string request =
            "POST /p/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r" + number +
            "\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\nModel: "
            "m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: " +
            std::to_string(1000 + prompt) + ":800,e4" + number +
            ":250\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
        const bool is_sent =
            send_all(descriptor, request) &&
            send_all(descriptor, std::string(size, 'x'));
        // The stream's head is enough.
        const auto answer =
            is_sent ? read_status(descriptor, 12500) : std::nullopt;
        ::close(descriptor);
        return answer.value_or(0);
    }

    static std::optional<int> read_status(int descriptor, int limit_ms)
    {
        std::string input;
        while (input.find("\r\n\r\n") == std::string::npos)
        {
            pollfd wait{descriptor, POLLIN, 0};
            char buffer[4096];
            if (::poll(&wait, 1, limit_ms) <= 0)
            {
                return std::nullopt;
            }
            const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (count <= 0)
            {
                return std::nullopt;
            }
            input.append(buffer, static_cast<std::size_t>(count));
        }
        return std::atoi(input.c_str() + 9);
    }

    void count(int status)
    {
        const std::lock_guard lock{mutex_};
        (status == 503 ? refused_ : status == 0 ? unanswered_ : others_) += 1;
    }

    // Resident memory of the router in MB.
    long memory()
    {
        std::ifstream file{
            "/proc/" + std::to_string(fleet_.router(1).pid) + "/status"};
        std::string word;
        while (file >> word)
        {
            if (word == "VmRSS:")
            {
                long kilobytes = 0;
                file >> kilobytes;
                return kilobytes / 1024;
            }
        }
        return -1;
    }

    // Watches the router's memory, and kills it above memory_mb as the platform
    // does.
    int watch(double until)
    {
        long highest = 0;
        double next_line = now_s();
        while (now_s() < until)
        {
            const long used = memory();
            highest = std::max(highest, used);
            if (now_s() >= next_line)
            {
                record_.line("router: %ld MB", used);
                next_line = now_s() + 1;
            }
            if (used > memory_mb || !fleet::is_running(fleet_.router(1)))
            {
                record_.line(
                    "BROKEN: the router uses %ld MB, more than memory_mb %ld; "
                    "the platform kills it",
                    used, memory_mb);
                fleet::kill(fleet_.router(1), SIGKILL);
                return 1;
            }
            std::this_thread::sleep_for(milliseconds{20});
        }
        record_.line("held: the router used %ld MB at most", highest);
        return 0;
    }

    record record_;
    small_fleet fleet_;
    std::vector<std::unique_ptr<full_server>> servers_;
    std::atomic<int> last_id_ = 0;
    std::mutex mutex_;
    int refused_ = 0;
    int others_ = 0;
    int unanswered_ = 0;
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
    const bool is_early = value == nullptr || std::string{value} != "0";
    int code = 2;
    {
        // Threads of the servers outlive the trial.
        auto* all = new trial{argv[1], argv[2]};
        code = all->run(is_early);
        std::fflush(stdout);
        all->stop();
    }
    std::_Exit(code);
}
