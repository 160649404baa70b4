#include "streams.hpp"

// Some replicas of a service crash and are back half a second later, each under
// the id that it had and with newer software. A second later some others crash.
// Checks that no streams hold events of both versions.
//
// usage: updated_replicas REPOSITORY FOLDER RECORD

namespace
{

using namespace review;

constexpr std::size_t router_count = 6;
constexpr std::size_t replica_count = 9;
constexpr double streams_per_second = 23;

// Replicas that crash at once: a share of 0.22.
constexpr std::size_t crash_count = 2;

// Time between the two crashes, and time for which the replicas are down.
constexpr milliseconds crash_interval{1100};
constexpr milliseconds down_time{500};

// The rule allows this number of streams.
constexpr std::size_t max_mixed = 2;

int run(const std::string& repository, const std::string& folder,
        recorder& record)
{
    const bool has_trouble = is_switched("TROUBLE", true);
    const bool keeps_id = is_switched("KEEP_ID", true);
    fleet processes{repository, folder, router_count};
    std::vector<std::unique_ptr<stream_replica>> replicas;
    for (std::size_t i = 0; i < replica_count; ++i)
    {
        replicas.push_back(std::make_unique<stream_replica>(
            record, "i-" + std::to_string(i), "v1",
            address{processes.replica_host(i), processes.replica_port()}));
        replicas.back()->start();
    }
    replica_list list;
    const auto publish = [&]
    {
        std::vector<replica_list::entry> entries;
        for (const auto& each : replicas)
        {
            entries.push_back(each->entry());
        }
        list.publish(std::move(entries));
    };
    publish();
    if (!list.start(processes.list_address()))
    {
        throw cannot_run{"the list can't listen"};
    }
    processes.start();
    processes.configure(stream_configuration(1));
    processes.await_ready();
    stream_clients clients{record, processes};
    clients.start(streams_per_second);
    std::this_thread::sleep_for(std::chrono::seconds{7});
    const auto crash = [&](std::size_t first, const std::string& version)
    {
        for (std::size_t i = first; has_trouble && i < first + crash_count; ++i)
        {
            replicas[i]->stop();
        }
        std::this_thread::sleep_for(down_time);
        for (std::size_t i = first; has_trouble && i < first + crash_count; ++i)
        {
            replicas[i]->set_version(version);
            if (!keeps_id)
            {
                replicas[i]->set_id(replicas[i]->id() + "b");
            }
            replicas[i]->start();
        }
        publish();
    };
    crash(0, "v2");
    std::this_thread::sleep_for(crash_interval - down_time);
    crash(crash_count, "v1");
    std::this_thread::sleep_for(std::chrono::seconds{4});
    const bool is_running = processes.is_running();
    clients.stop();
    int complete = 0;
    for (const attempt_seen& each : clients.attempts())
    {
        complete += each.is_complete ? 1 : 0;
    }
    for (const auto& [stream, versions] : clients.mixed())
    {
        record.line("stream", stream, "holds events of", versions.size(),
                    "versions");
    }
    record.result(
        "client attempts", clients.attempts().size(), "complete", complete,
        "streams with events of two versions", clients.mixed().size());
    if (!is_running || complete == 0)
    {
        throw cannot_run{"a process has ended, or no stream is complete"};
    }
    const bool is_broken = clients.mixed().size() > max_mixed;
    record.result("ORDER", is_broken ? "broken" : "held");
    return is_broken ? 1 : 0;
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
