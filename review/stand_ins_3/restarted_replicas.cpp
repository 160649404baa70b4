#include "streams.hpp"

// Replicas of one software version are emptied and started again one after the
// other, each under the id that it had, while a replica of another version goes
// on. Checks that streams of the first version that clients take up again go
// on, as new streams begin.
//
// usage: restarted_replicas REPOSITORY FOLDER RECORD

namespace
{

using namespace review;

constexpr std::size_t router_count = 3;
constexpr std::size_t restarted_count = 3;
constexpr std::size_t replica_count = 6;
constexpr double streams_per_second = 60;

// The platform's drain_ms of 3,000 and a little longer.
constexpr milliseconds drain_time{3800};
constexpr milliseconds down_time{300};
constexpr milliseconds pause_time{2500};

// The rule counts from this number of resumed streams on.
constexpr int min_resumed = 12;

struct share
{
    int all = 0;
    int with_events = 0;

    double value() const
    {
        return all == 0 ? 1 : static_cast<double>(with_events) / all;
    }
};

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
            record, "i-" + std::to_string(i), i < restarted_count ? "v1" : "v2",
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
    std::this_thread::sleep_for(std::chrono::seconds{6});
    // In the end, the time at which the third replica breaks its streams off;
    // the two before it serve then, and the list shows them as ready.
    double judged_from = record.seconds();
    for (std::size_t i = 0; i < restarted_count; ++i)
    {
        stream_replica& replica = *replicas[i];
        if (has_trouble)
        {
            replica.leave();
            publish();
        }
        std::this_thread::sleep_for(drain_time);
        judged_from = record.seconds();
        if (has_trouble)
        {
            replica.stop();
            if (!keeps_id)
            {
                replica.set_id(replica.id() + "b");
            }
            std::this_thread::sleep_for(down_time);
            replica.start();
            publish();
        }
        std::this_thread::sleep_for(pause_time);
    }
    const double judged_to = record.seconds();
    std::this_thread::sleep_for(std::chrono::seconds{2});
    const bool is_running = processes.is_running();
    clients.stop();
    for (const auto& each : replicas)
    {
        record.line("replica", each->id(), "has run", each->runs());
    }
    share begun;
    share resumed;
    for (const attempt_seen& each : clients.attempts())
    {
        if (each.sent >= judged_from && each.sent <= judged_to)
        {
            share& counted = each.is_resumed ? resumed : begun;
            ++counted.all;
            counted.with_events += each.events > 0 ? 1 : 0;
        }
    }
    record.result(
        "new streams", begun.all, "begun", begun.with_events,
        "taken up again", resumed.all, "gone on", resumed.with_events);
    if (!is_running || begun.all == 0)
    {
        throw cannot_run{"a process has ended, or nothing was sent"};
    }
    const bool is_broken = resumed.all >= min_resumed &&
                           resumed.value() < begun.value() / 2;
    record.result("LOST", is_broken ? "broken" : "held");
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
