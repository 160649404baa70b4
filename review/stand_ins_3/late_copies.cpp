#include "streams.hpp"

// Some replicas send a second copy of an answer late, when the next request
// has arrived on the same connection. Checks that no request goes on at another
// replica while the replica before still works on it 400 ms later. A replica
// drops a request when its connection is closed.
//
// usage: late_copies REPOSITORY FOLDER RECORD

namespace
{

using namespace review;

constexpr std::size_t router_count = 3;
constexpr std::size_t replica_count = 6;

// Replicas that send copies, a share of 0.5, and of how many answers they send
// one twice, a share of 0.03.
constexpr std::size_t faulty_count = 3;
constexpr int answers_per_copy = 33;

constexpr int events = 8;
constexpr milliseconds event_time{100};

// Time until the first event, within the objective of 1,000 ms.
constexpr milliseconds first_event_time{900};

constexpr double streams_per_second = 20;
constexpr std::chrono::seconds traffic_time{40};
constexpr std::chrono::duration<double> allowed_overlap{0.4};

struct work
{
    std::string replica;
    double begun = 0;
    double ended = 0;
    bool is_complete = false;
};

class work_log
{
public:
    std::size_t begin(
        const std::string& id, const std::string& replica, double now)
    {
        const std::lock_guard lock{mutex_};
        items_[id].push_back({replica, now, 0, false});
        return items_[id].size() - 1;
    }

    void
    end(const std::string& id, std::size_t number, bool is_complete, double now)
    {
        const std::lock_guard lock{mutex_};
        work& item = items_[id][number];
        item.ended = now;
        item.is_complete = is_complete;
    }

    const std::map<std::string, std::vector<work>>& items() const
    {
        return items_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<work>> items_;
};

class copying_replica
{
public:
    copying_replica(
        recorder& record, work_log& works, std::string id, bool is_faulty)
        : record_{record}
        , works_{works}
        , id_{std::move(id)}
        , is_faulty_{is_faulty}
    {
    }

    const std::string& id() const
    {
        return id_;
    }

    bool start(const address& at)
    {
        return server_.start(at, [this](connection& link) { serve(link); });
    }

private:
    void serve(connection& link)
    {
        http_head head;
        std::string body;
        std::string copy;
        while (link.read_head(head) && link.read_body(head, body))
        {
            body.clear();
            const std::string id = head.field("request-id");
            if (!copy.empty())
            {
                record_.line("replica", id_, "sends a late copy before", id);
                if (!link.write(std::exchange(copy, {})))
                {
                    return;
                }
            }
            const std::size_t number = works_.begin(id, id_, record_.seconds());
            record_.line("replica", id_, "begins", id);
            const std::string answer =
                work_on(link, id, std::atoi(head.field("last-event-id").c_str()));
            works_.end(id, number, !answer.empty(), record_.seconds());
            record_.line(
                "replica", id_, answer.empty() ? "drops" : "completes", id);
            if (answer.empty())
            {
                return;
            }
            if (is_faulty_ && ++answers_ % answers_per_copy == 0)
            {
                copy = answer;
            }
        }
    }

    // The whole answer; empty when the connection was closed.
    static std::string
    work_on(connection& link, const std::string& id, int after)
    {
        std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                             "\r\nReply-Seal: 3e1b.07\r\nContent-Type: "
                             "text/event-stream\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n";
        if (!link.wait(first_event_time) || !link.write(answer))
        {
            return {};
        }
        for (int event = after + 1; event <= events; ++event)
        {
            const std::string text =
                "id: " + std::to_string(event) + "\ndata: v1\n\n";
            std::ostringstream chunk;
            chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
            answer += chunk.str();
            if (!link.write(chunk.str()) || !link.wait(event_time))
            {
                return {};
            }
        }
        answer += "0\r\n\r\n";
        return link.write("0\r\n\r\n") ? answer : std::string{};
    }

    recorder& record_;
    work_log& works_;
    std::string id_;
    bool is_faulty_;
    std::atomic<int> answers_ = 0;
    server server_;
};

int run(const std::string& repository, const std::string& folder,
        recorder& record)
{
    const bool has_trouble = is_switched("TROUBLE", true);
    work_log works;
    fleet processes{repository, folder, router_count};
    std::vector<std::unique_ptr<copying_replica>> replicas;
    std::vector<replica_list::entry> entries;
    for (std::size_t i = 0; i < replica_count; ++i)
    {
        replicas.push_back(std::make_unique<copying_replica>(
            record, works, "i-" + std::to_string(i),
            has_trouble && i < faulty_count));
        const address at{processes.replica_host(i), processes.replica_port()};
        entries.push_back({replicas.back()->id(), "llm", at, "v1"});
        if (!replicas.back()->start(at))
        {
            throw cannot_run{"a replica can't listen"};
        }
    }
    replica_list list;
    list.publish(std::move(entries));
    if (!list.start(processes.list_address()))
    {
        throw cannot_run{"the list can't listen"};
    }
    processes.start();
    processes.configure(stream_configuration(1));
    processes.await_ready();
    stream_clients clients{record, processes};
    clients.start(streams_per_second);
    std::this_thread::sleep_for(traffic_time);
    const bool is_running = processes.is_running();
    clients.stop();
    std::this_thread::sleep_for(first_event_time + event_time * events);
    int complete = 0;
    for (const attempt_seen& each : clients.attempts())
    {
        complete += each.is_complete ? 1 : 0;
    }
    int overlapping = 0;
    for (const auto& [id, items] : works.items())
    {
        for (std::size_t i = 0; i + 1 < items.size(); ++i)
        {
            const double overlap = items[i].ended - items[i + 1].begun;
            if (overlap > allowed_overlap.count())
            {
                ++overlapping;
                record.line(
                    "request", id, "goes on at", items[i + 1].replica, "while",
                    items[i].replica, "works on it for", overlap, "s");
            }
        }
    }
    record.result(
        "client attempts", clients.attempts().size(), "complete", complete,
        "requests at two replicas for over 400 ms", overlapping);
    if (!is_running || complete == 0)
    {
        throw cannot_run{"a process has ended, or nothing is complete"};
    }
    record.result("TWICE", overlapping > 0 ? "broken" : "held");
    return overlapping > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 4)
    {
        return 2;
    }
    recorder record{arguments[3]};
    try
    {
        return run(arguments[1], arguments[2], record);
    }
    catch (const cannot_run& error)
    {
        record.result("can't run:", error.reason);
        return 2;
    }
}
