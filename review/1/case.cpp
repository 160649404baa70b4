// A voter is frozen while another one is replaced. Later two voters lose their
// disks, as many as are tolerated. Checks whether the acknowledged configuration
// can still be read.

#include "../stand_ins/harness.hpp"

using namespace review;

namespace
{

constexpr const char* host = "booking.example";
constexpr const char* key = "n2ctnfzs989anu6wsjnb";

constexpr int frozen = 1;
constexpr int removed = 2;
constexpr int lost_disk_1 = 3;
constexpr int lost_disk_2 = 4;
constexpr int successor = 5;
constexpr int voters = 6;

constexpr std::int64_t freeze_ms = 8000;
constexpr std::int64_t catch_up_ms = 4000;
constexpr std::int64_t recovery_ms = 12000;

std::string configuration(int version)
{
    return text(
        "{\"version\":%d,\"routes\":{\"columns\":[\"name\",\"host\","
        "\"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\","
        "\"priority\",\"service\",\"max_attempts\",\"public\",\"sticky\","
        "\"resumable\"],\"rows\":[[\"r-book\",\"%s\",\"/book/\",\"unsafe\","
        "3000,300,1,\"booking\",2,false,false,false]]},"
        "\"services\":{\"columns\":[\"name\",\"health_path\","
        "\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"booking\","
        "\"/health\",110,\"h1\",false]]},"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        "\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\"],"
        "\"rows\":[[\"hule930\",[\"%s\"],1]]}}",
        version, host, key);
}

// Asks all voters in turn until one answers with the version. Returns the time
// that it took, or -1.
std::int64_t
read_back(const fleet& processes, int version, std::int64_t timeout_ms)
{
    const std::int64_t start = now_ms();
    const std::string wanted = text("\"version\":%d,", version);
    std::map<int, int> answers;
    while (now_ms() - start < timeout_ms)
    {
        for (int voter = 0; voter < voters; ++voter)
        {
            const message answer = processes.read_configuration(voter);
            const int status = answer.has_head ? answer.status() : 0;
            ++answers[status];
            if (status == 200 &&
                answer.body.find(wanted) != std::string::npos)
            {
                return now_ms() - start;
            }
        }
        sleep_ms(100);
    }
    for (const auto& [status, count] : answers)
    {
        record().line(text("reads answered status=%d count=%d", status, count));
    }
    return -1;
}

void end_for_good(fleet& processes, int voter)
{
    record().line(text("voter-%d is removed for good", voter));
    processes.voter(voter).end();
}

} // namespace

int main(int argc, char** argv)
{
    set_up(argc, argv);
    fleet_options options;
    options.spare_voters = 1;
    auto processes = std::make_unique<fleet>(options);
    platform_list list;
    if (!list.open(processes->list_address()))
    {
        finish(std::move(processes), not_run, "the list can't be served");
    }
    list.set(
        {"i-booking0", "booking", processes->replica_address(0), fleet::zone(0),
         6});
    processes->start();
    if (!processes->file(configuration(7)) || !processes->wait_until_ready())
    {
        finish(std::move(processes), not_run, "the fleet isn't ready");
    }
    sleep_ms(4000);
    // FREEZE=0 leaves only the freeze out, for comparison.
    const char* freeze = std::getenv("FREEZE");
    const bool freezes = freeze == nullptr || std::string_view{freeze} != "0";
    if (has_trouble())
    {
        const std::int64_t start = now_ms();
        if (freezes)
        {
            record().line(text("voter-%d is frozen", frozen));
            processes->voter(frozen).signal(SIGSTOP);
        }
        sleep_ms(3000);
        end_for_good(*processes, removed);
        sleep_ms(1000);
        record().line(text("voter-%d is added", successor));
        processes->add_voter(successor);
        sleep_ms(start + freeze_ms - now_ms());
        if (freezes)
        {
            record().line(text("voter-%d goes on", frozen));
            processes->voter(frozen).signal(SIGCONT);
        }
        // Both count as back after catch_up_s.
        sleep_ms(3 * catch_up_ms);
    }
    if (!processes->file(configuration(9)))
    {
        finish(std::move(processes), not_run, "version 9 isn't acknowledged");
    }
    record().line("version 9 is acknowledged");
    if (has_trouble())
    {
        for (const int voter : {lost_disk_1, lost_disk_2})
        {
            record().line(text("voter-%d loses its disk", voter));
            processes->voter(voter).end();
        }
        sleep_ms(500);
        for (const int voter : {lost_disk_1, lost_disk_2})
        {
            processes->start_without_disk(voter);
        }
        record().line("both are back with empty disks");
    }
    const std::int64_t took =
        read_back(*processes, 9, 2 * recovery_ms + 6000);
    const std::string summary = text(
        "acknowledged=9 read_back=%s after_ms=%lld", took < 0 ? "no" : "yes",
        static_cast<long long>(took));
    finish(
        std::move(processes),
        took < 0 || took > recovery_ms ? rule_broken : rule_held, summary);
}
