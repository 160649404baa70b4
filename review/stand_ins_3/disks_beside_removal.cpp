#include "streams.hpp"

// A core machine is replaced by another one, which starts first, and is removed
// when that has had its time to catch up. A second later two other core machines
// lose their disks right after an acknowledgement. Checks that what was
// acknowledged can be read back.
//
// usage: disks_beside_removal REPOSITORY FOLDER RECORD

namespace
{

using namespace review;

constexpr std::size_t router_count = 2;
constexpr std::size_t removed = 4;

// catch_up_s is 4.
constexpr milliseconds catch_up_time{4300};
constexpr milliseconds removed_before{1000};
constexpr milliseconds down_time{500};

// recovery_s is 12.
constexpr std::chrono::seconds read_time{30};

int run(const std::string& repository, const std::string& folder,
        recorder& record)
{
    const bool has_trouble = is_switched("TROUBLE", true);
    const bool removes = has_trouble && is_switched("REMOVAL", true);
    const bool loses_disks = has_trouble && is_switched("DISKS", true);
    fleet processes{repository, folder, router_count, 1};
    replica_list list;
    list.publish({});
    if (!list.start(processes.list_address()))
    {
        throw cannot_run{"the list can't listen"};
    }
    processes.start();
    processes.configure(stream_configuration(1));
    processes.await_ready();
    std::this_thread::sleep_for(std::chrono::seconds{4});
    std::vector<std::size_t> core{0, 1, 2, 3, removed};
    const std::size_t successor = processes.spare(0);
    if (removes)
    {
        processes.start(successor, false);
        record.line("the successor of core machine", removed, "starts");
    }
    std::this_thread::sleep_for(catch_up_time);
    if (removes)
    {
        std::string document;
        if (processes.read(processes.control(successor), document) != 200)
        {
            throw cannot_run{"the successor doesn't answer a read"};
        }
        record.line("the successor answers reads of the configuration");
        processes.kill(removed);
        core.back() = successor;
        record.line("core machine", removed, "is removed for good");
    }
    std::this_thread::sleep_for(removed_before);
    const std::string document = stream_configuration(2);
    bool is_acknowledged = false;
    for (std::size_t i = 0; !is_acknowledged && i < 100; ++i)
    {
        is_acknowledged =
            processes.put(processes.control(core[i % core.size()]), document) ==
            200;
        if (!is_acknowledged)
        {
            std::this_thread::sleep_for(milliseconds{10});
        }
    }
    if (!is_acknowledged)
    {
        throw cannot_run{"version 2 is not acknowledged"};
    }
    record.line("version 2 is acknowledged");
    if (loses_disks)
    {
        for (const std::size_t each : {core[0], core[1]})
        {
            processes.kill(each);
            processes.wipe(each);
            record.line("core machine", each, "loses its disk");
        }
        std::this_thread::sleep_for(down_time);
        for (const std::size_t each : {core[0], core[1]})
        {
            processes.start(each, false);
            record.line("core machine", each, "is back");
        }
    }
    const auto end = clock_type::now() + read_time;
    bool is_read = false;
    std::map<int, int> statuses;
    for (std::size_t i = 0; !is_read && clock_type::now() < end; ++i)
    {
        std::string read;
        const int status =
            processes.read(processes.control(core[i % core.size()]), read);
        ++statuses[status];
        is_read = status == 200 && read == document;
        std::this_thread::sleep_for(milliseconds{100});
    }
    for (const auto& [status, count] : statuses)
    {
        record.line("GET /config: status", status, "times", count);
    }
    record.result("version 2 is", is_read ? "" : "never", "read back");
    if (!processes.is_running())
    {
        throw cannot_run{"a process has ended"};
    }
    record.result("CONFIG", is_read ? "held" : "broken");
    return is_read ? 0 : 1;
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
