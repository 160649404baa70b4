#ifndef HICKORYGAP_REVIEW_STAND_INS_3_STREAMS_HPP
#define HICKORYGAP_REVIEW_STAND_INS_3_STREAMS_HPP

#include "fleet.hpp"

#include <random>
#include <set>

// Replicas and clients of a route with resumable streams.
namespace review
{

inline constexpr int stream_events = 40;
inline constexpr milliseconds event_interval{130};
inline constexpr milliseconds client_deadline{12'000};

inline std::string stream_configuration(int version)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-guide","host":"chat.example",)"
           R"("path_prefix":"/guide/","kind":"streaming","timeout_ms":12000,)"
           R"("target_latency_ms":1000,"priority":0,"service":"llm",)"
           R"("max_attempts":2,"public":false,"sticky":true,)"
           R"("resumable":true,"gap_target_ms":400}],)"
           R"("services":[{"name":"llm","health_path":"/health",)"
           R"("max_connections":1000,"protocol":"h1","tls":false,)"
           R"("engine":{"slots":256,"kv_capacity_tokens":4000000,)"
           R"("kv_token_bytes":18432,"link_mbps":550000.0,"moves":true,)"
           R"("backups":true,"stride":7,"most":2,"pin_ms":4000.0,)"
           R"("hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"t-one","api_keys":["key-one"],)"
           R"("priority":0}]})";
}

// A replica that streams events whose data is its software version.
class stream_replica
{
public:
    stream_replica(
        recorder& record, std::string id, std::string version, address at)
        : record_{record}
        , id_{std::move(id)}
        , version_{std::move(version)}
        , at_{std::move(at)}
    {
    }

    replica_list::entry entry() const
    {
        return {id_, "llm", at_, version_, is_leaving_};
    }

    const std::string& id() const
    {
        return id_;
    }

    int runs() const
    {
        return runs_;
    }

    void start()
    {
        is_leaving_ = false;
        for (int attempt = 0; attempt < 50; ++attempt)
        {
            if (server_.start(at_, [this](connection& link) { serve(link); }))
            {
                record_.line("replica", id_, version_, "starts");
                return;
            }
            std::this_thread::sleep_for(milliseconds{20});
        }
        throw cannot_run{"a replica can't listen on " + at_.text()};
    }

    // From now on all its answers say that it leaves.
    void leave()
    {
        is_leaving_ = true;
        record_.line("replica", id_, version_, "is draining, runs", runs_);
    }

    void stop()
    {
        server_.stop();
        record_.line("replica", id_, version_, "has ended, runs", runs_);
    }

    // While it is stopped.
    void set_id(std::string id)
    {
        id_ = std::move(id);
    }

    void set_version(std::string version)
    {
        version_ = std::move(version);
    }

private:
    void serve(connection& link)
    {
        http_head head;
        std::string body;
        while (link.read_head(head) && link.read_body(head, body))
        {
            body.clear();
            const std::string leaving =
                is_leaving_ ? "Server-Leaving: 1\r\n" : "";
            const std::string own = "Request-Id: " + head.field("request-id") +
                                    "\r\n" + leaving;
            if (head.start.starts_with("GET /health"))
            {
                const std::string status =
                    is_leaving_ ? "503 Service Unavailable" : "200 OK";
                if (!link.write(
                        "HTTP/1.1 " + status + "\r\nInstance-Id: " + id_ +
                        "\r\n" + leaving + "Content-Length: 0\r\n\r\n"))
                {
                    return;
                }
                continue;
            }
            if (head.field("expect-instance") != id_)
            {
                if (!link.write(
                        "HTTP/1.1 421 Misdirected Request\r\n" + own +
                        "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
                {
                    return;
                }
                continue;
            }
            if (!run(link, head, own))
            {
                return;
            }
        }
    }

    bool run(connection& link, const http_head& head, const std::string& own)
    {
        ++runs_;
        const int after = std::atoi(head.field("last-event-id").c_str());
        record_.line(
            "replica", id_, version_, "runs", head.field("request-id"),
            "after event", after);
        if (!link.write(
                "HTTP/1.1 200 OK\r\n" + own +
                "Reply-Seal: 3e1b.07\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"))
        {
            return false;
        }
        for (int event = after + 1; event <= stream_events; ++event)
        {
            const std::string text = "id: " + std::to_string(event) +
                                     "\ndata: " + version_ + "\n\n";
            std::ostringstream chunk;
            chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
            if (!link.write(chunk.str()))
            {
                return false;
            }
            std::this_thread::sleep_for(event_interval);
        }
        return link.write("0\r\n\r\n");
    }

    recorder& record_;
    std::string id_;
    std::string version_;
    address at_;
    std::atomic<bool> is_leaving_ = false;
    std::atomic<int> runs_ = 0;
    server server_;
};

// What a client has seen of one of its attempts.
struct attempt_seen
{
    double sent = 0;
    bool is_resumed = false;
    int status = 0;
    int events = 0;
    bool is_complete = false;
};

// Clients that start streams at an even rate, and take a stream that breaks off
// up once, at another router.
class stream_clients
{
public:
    stream_clients(recorder& record, fleet& routers)
        : record_{record}
        , routers_{routers}
    {
    }

    ~stream_clients()
    {
        stop();
    }

    void start(double streams_per_second)
    {
        starter_ = std::thread{
            [this, streams_per_second]
            {
                const std::chrono::duration<double> interval{
                    1 / streams_per_second};
                while (!stopping_)
                {
                    threads_.emplace_back([this, number = ++last_stream_]
                                          { run(number); });
                    std::this_thread::sleep_for(interval);
                }
            }};
    }

    // Waits for all streams that have been started.
    void stop()
    {
        stopping_ = true;
        if (starter_.joinable())
        {
            starter_.join();
        }
        for (std::thread& each : threads_)
        {
            each.join();
        }
        threads_.clear();
    }

    const std::vector<attempt_seen>& attempts() const
    {
        return attempts_;
    }

    // Streams with events of several versions, with the versions.
    const std::map<std::string, std::set<std::string>>& mixed() const
    {
        return mixed_;
    }

private:
    static std::string id_of(std::uint64_t stream, int attempt)
    {
        std::ostringstream text;
        text << std::hex << (0x5e00000000000000U + stream * 16 + attempt);
        return text.str();
    }

    void run(std::uint64_t stream)
    {
        const auto deadline = clock_type::now() + client_deadline;
        const std::string first = id_of(stream, 0);
        std::set<std::string> versions;
        int last_event = 0;
        for (int attempt = 0; attempt < 2; ++attempt)
        {
            attempt_seen seen;
            seen.is_resumed = attempt > 0;
            seen.sent = record_.seconds();
            const std::size_t router = (stream + attempt) % routers_.routers();
            const std::string id = id_of(stream, attempt);
            ask(routers_.front(router), id, first, stream, deadline, seen,
                last_event, versions);
            record_.line(
                "client", id, seen.is_resumed ? "resumes" : "begins", first,
                "at router", router, "status", seen.status, "events",
                seen.events, "last", last_event,
                seen.is_complete ? "complete" : "incomplete");
            {
                const std::lock_guard lock{mutex_};
                attempts_.push_back(seen);
                if (versions.size() > 1)
                {
                    mixed_[first] = versions;
                }
            }
            if (seen.is_complete || last_event == 0)
            {
                return;
            }
        }
    }

    void
    ask(const address& router, const std::string& id, const std::string& first,
        std::uint64_t stream, clock_type::time_point deadline,
        attempt_seen& seen, int& last_event, std::set<std::string>& versions)
    {
        const auto link = connection::dial(router);
        if (!link)
        {
            return;
        }
        link->set_deadline(deadline);
        const auto left = std::chrono::duration_cast<milliseconds>(
            deadline - clock_type::now());
        const std::string body = "prompt of " + first;
        std::ostringstream text;
        text << "POST /guide/a HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: "
             << id << "\r\nDeadline-Ms: " << left.count()
             << "\r\nAuthorization: Bearer key-one\r\nModel: m\r\n"
                "Token-Count: 1460,80\r\nPrompt-Prefix: "
             << std::hex << 0x5c1e0000 + stream % 40 << ":800,"
             << 0xe4000000 + stream << ":250\r\n"
             << std::dec;
        if (last_event > 0)
        {
            text << "Last-Event-Id: " << last_event << "\r\nResumes: " << first
                 << "\r\n";
        }
        text << "Content-Length: " << body.size() << "\r\n\r\n" << body;
        http_head head;
        if (!link->write(text.str()) || !link->read_head(head))
        {
            return;
        }
        seen.status = head.status();
        std::string chunk;
        while (seen.status == 200 && link->read_chunk(chunk))
        {
            if (chunk.empty())
            {
                seen.is_complete = true;
                return;
            }
            read_events(chunk, seen, last_event, versions);
        }
    }

    static void read_events(
        const std::string& text, attempt_seen& seen, int& last_event,
        std::set<std::string>& versions)
    {
        std::istringstream lines{text};
        for (std::string line; std::getline(lines, line);)
        {
            if (line.starts_with("id: "))
            {
                last_event = std::atoi(line.c_str() + 4);
                ++seen.events;
            }
            else if (line.starts_with("data: "))
            {
                versions.insert(line.substr(6));
            }
        }
    }

    recorder& record_;
    fleet& routers_;
    std::atomic<bool> stopping_ = false;
    std::thread starter_;
    std::uint64_t last_stream_ = 0;
    std::list<std::thread> threads_;
    std::mutex mutex_;
    std::vector<attempt_seen> attempts_;
    std::map<std::string, std::set<std::string>> mixed_;
};

} // namespace review

#endif
