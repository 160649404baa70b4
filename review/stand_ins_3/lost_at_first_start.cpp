#include "streams.hpp"

// The whole system starts for the first time. While the core processes find
// each other, the machine of one seed is lost for good, and is replaced by an
// empty one at another address. Checks that the first configuration, which the
// operator sends until it is accepted, can be read back in the end. Variants:
// all core processes (KILL_ALL), or that of the first seed (KILL_ONE), are killed
// instead, and are back within a second with their disks.
//
// usage: lost_at_first_start REPOSITORY FOLDER RECORD

namespace
{

using namespace review;

constexpr std::size_t router_count = 2;

// Time within which all machines start, in any order.
constexpr milliseconds start_spread{250};

// Time from the start of the first process to the disruption.
constexpr milliseconds disrupted_after{400};
constexpr milliseconds down_time{500};

// Time until the empty machine comes.
constexpr std::chrono::seconds replaced_after{1};

// After the disruption: recovery_s is 12.
constexpr std::chrono::seconds operator_time{30};

// The operator reads for at least stable_window_ms, 3,000.
constexpr std::chrono::seconds read_time{6};

int run(const std::string& repository, const std::string& folder,
        recorder& record)
{
    const bool has_trouble = is_switched("TROUBLE", true);
    const bool bootstraps_again = is_switched("BOOTSTRAP_AGAIN", false);
    const std::size_t killed = is_switched("KILL_ALL", false)   ? fleet::voters
                               : is_switched("KILL_ONE", false) ? 1
                                                                : 0;
    fleet processes{repository, folder, router_count, 1};
    replica_list list;
    list.publish({});
    if (!list.start(processes.list_address()))
    {
        throw cannot_run{"the list can't listen"};
    }
    // The seed with the lowest address is the first to start.
    for (std::size_t i = 0; i < fleet::voters + router_count; ++i)
    {
        processes.start(i, true);
        record.line("process", i, "starts, bootstrap");
        if (i == 0)
        {
            std::this_thread::sleep_for(start_spread);
        }
    }
    std::this_thread::sleep_for(disrupted_after - start_spread);
    std::vector<std::size_t> core{0, 1, 2, 3, 4};
    if (has_trouble && killed == 0)
    {
        processes.kill(core[1]);
        record.line("the machine of the second seed is lost for good");
        std::this_thread::sleep_for(replaced_after);
        core[1] = processes.spare(0);
        processes.set_seeds({core[0], core[2], core[3]});
        processes.start(core[1], false);
        record.line("an empty machine at another address takes its place");
    }
    else if (has_trouble)
    {
        for (std::size_t i = 0; i < killed; ++i)
        {
            processes.kill(i);
        }
        record.line("processes of the core killed:", killed);
        std::this_thread::sleep_for(down_time);
        for (std::size_t i = 0; i < killed; ++i)
        {
            processes.start(i, bootstraps_again);
        }
        record.line("the processes of the core are back");
    }
    const std::string document = stream_configuration(1);
    const auto end = clock_type::now() + operator_time;
    bool is_acknowledged = false;
    std::map<int, int> put_statuses;
    for (std::size_t i = 0; !is_acknowledged && clock_type::now() < end; ++i)
    {
        const int status =
            processes.put(processes.control(core[i % core.size()]), document);
        ++put_statuses[status];
        is_acknowledged = status == 200;
        std::this_thread::sleep_for(milliseconds{200});
    }
    record.result(
        "the configuration is", is_acknowledged ? "" : "not", "acknowledged");
    for (const auto& [status, count] : put_statuses)
    {
        record.line("PUT /config: status", status, "times", count);
    }
    const auto read_end = clock_type::now() + read_time;
    bool is_read = false;
    std::map<int, int> read_statuses;
    for (std::size_t i = 0; clock_type::now() < read_end; ++i)
    {
        std::string read;
        const int status =
            processes.read(processes.control(core[i % core.size()]), read);
        ++read_statuses[status];
        is_read = is_read || (status == 200 && read == document);
        std::this_thread::sleep_for(milliseconds{100});
    }
    for (const auto& [status, count] : read_statuses)
    {
        record.line("GET /config: status", status, "times", count);
    }
    std::size_t ready = 0;
    for (std::size_t i = 0; i < router_count; ++i)
    {
        ready += processes.is_ready(i) ? 1 : 0;
    }
    record.result(
        "read back:", is_read ? "yes" : "no", "routers ready:", ready);
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
