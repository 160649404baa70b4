#include "streams.hpp"

// A router's machine freezes. Meanwhile all core machines are replaced as
// planned by others at new addresses: the new ones start first, and the old ones
// get SIGTERM one after the other once those have had the time to catch up. The
// settings file of the router is written anew, without a signal. Then it wakes. Checks that it handles requests by the configuration that is
// acknowledged afterwards, which takes a key away.
//
// usage: replaced_core REPOSITORY FOLDER RECORD

namespace
{

using namespace review;

constexpr std::size_t router_count = 2;
constexpr std::size_t frozen = 0;

// catch_up_s is 4: a machine that is removed counts as lost until its successor
// has had that time, and not at all if it has had it before.
constexpr milliseconds catch_up_time{4000};
constexpr milliseconds replacement_interval{400};

// After the last replacement: catch_up_s and stable_window_ms, 3,000. After an
// acknowledgement: config_apply_ms, 2,000.
constexpr std::chrono::seconds in_touch_time{8};
constexpr milliseconds apply_time{2500};
constexpr int requests = 30;

std::string configuration(int version, const std::string& keys)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-read","host":"app.example",)"
           R"("path_prefix":"/read/","kind":"safe","timeout_ms":1500,)"
           R"("target_latency_ms":300,"priority":0,"service":"calc",)"
           R"("max_attempts":2,"public":false,"sticky":false,)"
           R"("resumable":false}],"services":[{"name":"calc",)"
           R"("health_path":"/health","max_connections":96,)"
           R"("protocol":"h1","tls":false}],"limits":{)"
           R"("max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"t-one","api_keys":[)" +
           keys + R"(],"priority":0}]})";
}

// A replica that counts what it runs.
class plain_replica
{
public:
    explicit plain_replica(recorder& record)
        : record_{record}
    {
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
        while (link.read_head(head) && link.read_body(head, body))
        {
            const std::string id = head.field("request-id");
            record_.line("replica runs", id);
            if (!link.write(
                    "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                    "\r\nReply-Seal: 3e1b.07\r\nContent-Length: 2\r\n\r\nok"))
            {
                return;
            }
        }
    }

    recorder& record_;
    server server_;
};

int ask(
    const address& router, const std::string& key, const std::string& id,
    recorder& record)
{
    const auto link = connection::dial(router);
    http_head head;
    int status = 0;
    if (link)
    {
        link->set_deadline(clock_type::now() + std::chrono::seconds{3});
        link->write(
            "GET /read/a HTTP/1.1\r\nHost: app.example\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer " + key +
            "\r\n\r\n");
        status = link->read_head(head) ? head.status() : 0;
    }
    record.line("client", id, key, "at", router.text(), "status", status);
    return status;
}

int run(const std::string& repository, const std::string& folder,
        recorder& record)
{
    const bool has_trouble = is_switched("TROUBLE", true);
    const bool signals = is_switched("SIGNAL", false);
    fleet processes{repository, folder, router_count, fleet::voters};
    plain_replica replica{record};
    replica_list list;
    const address at{processes.replica_host(0), processes.replica_port()};
    list.publish({{"i-0", "calc", at, "v1"}});
    if (!replica.start(at) || !list.start(processes.list_address()))
    {
        throw cannot_run{"a stand-in can't listen"};
    }
    processes.start();
    processes.configure(configuration(1, R"("key-one","key-two")"));
    processes.await_ready();
    std::this_thread::sleep_for(std::chrono::seconds{5});
    std::vector<std::size_t> core{0, 1, 2, 3, 4};
    if (has_trouble)
    {
        processes.signal(fleet::voters + frozen, SIGSTOP);
        record.line("router", frozen, "freezes");
        for (std::size_t i = 0; i < fleet::voters; ++i)
        {
            processes.start(processes.spare(i), false);
        }
        record.line("the successors of all core machines start");
        std::this_thread::sleep_for(catch_up_time);
        for (std::size_t i = 0; i < fleet::voters; ++i)
        {
            processes.signal(core[i], SIGTERM);
            record.line("core machine", i, "gets SIGTERM");
            core[i] = processes.spare(i);
            std::this_thread::sleep_for(replacement_interval);
        }
        processes.set_seeds({core[0], core[1], core[2]});
        processes.write_settings(fleet::voters + frozen, false);
        processes.signal(fleet::voters + frozen, SIGCONT);
        record.line("router", frozen, "wakes; its settings file has new seeds");
        if (signals)
        {
            processes.signal(fleet::voters + frozen, SIGHUP);
        }
    }
    std::this_thread::sleep_for(in_touch_time);
    bool is_acknowledged = false;
    for (int attempt = 0; !is_acknowledged && attempt < 60; ++attempt)
    {
        is_acknowledged =
            processes.put(
                processes.control(core[attempt % core.size()]),
                configuration(2, R"("key-one")")) == 200;
        std::this_thread::sleep_for(milliseconds{200});
    }
    if (!is_acknowledged)
    {
        throw cannot_run{"version 2 is not acknowledged"};
    }
    record.line("version 2 is acknowledged; it lacks key-two");
    std::this_thread::sleep_for(apply_time);
    std::vector<int> ran_with_dropped_key(router_count);
    std::vector<int> ran_with_kept_key(router_count);
    for (int i = 0; i < requests; ++i)
    {
        for (std::size_t router = 0; router < router_count; ++router)
        {
            const std::string id = "7e00000" + std::to_string(router) +
                                   std::to_string(1000 + i);
            ran_with_dropped_key[router] +=
                ask(processes.front(router), "key-two", id + "d", record) == 200
                    ? 1
                    : 0;
            ran_with_kept_key[router] +=
                ask(processes.front(router), "key-one", id + "e", record) == 200
                    ? 1
                    : 0;
        }
        std::this_thread::sleep_for(milliseconds{200});
    }
    int stale = 0;
    for (std::size_t router = 0; router < router_count; ++router)
    {
        stale += ran_with_dropped_key[router];
        record.result(
            "router", router, "of", requests, "requests each: with the dropped "
            "key run", ran_with_dropped_key[router], "with the kept key run",
            ran_with_kept_key[router]);
    }
    if (ran_with_kept_key[0] == 0 && ran_with_kept_key[1] == 0)
    {
        throw cannot_run{"nothing is served"};
    }
    record.result("CONFIG", stale > 0 ? "broken" : "held");
    return stale > 0 ? 1 : 0;
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
