// Prints the traffic, CPU time and delays of gossip membership and of the
// dissemination of configuration versions. All state machines run in this one
// process. Bytes are those of frames as written to TCP, without TCP and IP
// headers.
// Usage: membership_bench [number of instances ...], default 8 100 380.

#include "process/membership/membership_network.hpp"
#include "version/configuration/ticket_chain.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <span>

using namespace hickorygap;
using namespace hickorygap::test;
using namespace std::chrono_literals;

namespace
{

constexpr double failures_per_day = 14;
constexpr double restarts_per_day = 92;
constexpr double tickets_per_day = 460;
constexpr double seconds_per_day = 86400;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

double cpu_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / 1e9;
}

struct traffic
{
    double sent = 0;
    double received = 0;
    double highest = 0;
    double processor = 0;
};

// Runs the network for the time. Returns bytes and CPU seconds per instance and
// second, and the bytes per second of the busiest instance.
traffic measure(membership_network& network, duration time)
{
    std::map<instance_id, std::pair<std::uint64_t, std::uint64_t>> before;
    for (const auto& [id, item] : network.nodes())
    {
        before[id] = {item.bytes_sent, item.bytes_received};
    }
    const double processor_before = cpu_seconds();
    network.run_for(time);
    const double instances = static_cast<double>(network.nodes().size());
    traffic result;
    result.processor =
        (cpu_seconds() - processor_before) / (instances * seconds(time));
    for (const auto& [id, item] : network.nodes())
    {
        const auto sent =
            static_cast<double>(item.bytes_sent - before[id].first);
        const auto received =
            static_cast<double>(item.bytes_received - before[id].second);
        result.sent += sent / instances / seconds(time);
        result.received += received / instances / seconds(time);
        result.highest =
            std::max(result.highest, (sent + received) / seconds(time));
    }
    return result;
}

void print_traffic(std::size_t size, std::string_view name, const traffic& row)
{
    fmt::print(
        "{:>4} {:<28} sent {:7.0f} B/s  received {:7.0f} B/s  both {:7.0f} "
        "B/s  highest instance {:7.0f} B/s  processor {:.3f}%\n",
        size, name, row.sent, row.received, row.sent + row.received,
        row.highest, 100 * row.processor);
}

bool all_applied(membership_network& network, configuration_version version)
{
    return std::all_of(
        network.nodes().begin(), network.nodes().end(),
        [&](const auto& item)
        { return !item.second.up || item.second.applied >= version; });
}

bool all_known_at(
    const membership& view, std::size_t size, configuration_version version)
{
    const auto members = view.members();
    return members.size() == size &&
           std::all_of(
               members.begin(), members.end(),
               [&](const auto& record) { return record.version >= version; });
}

void print_time(std::size_t size, std::string_view name, bool done, duration t)
{
    fmt::print(
        "{:>4} {:<28} {:.2f} s{}\n", size, name, seconds(t),
        done ? "" : " (not within the limit)");
}

double lowest_heard(membership_network& network, duration freshness)
{
    double lowest = 1.0;
    for (const auto& [id, item] : network.nodes())
    {
        if (item.up)
        {
            lowest = std::min(
                lowest,
                static_cast<double>(
                    item.members->reachable_members(network.now(), freshness)) /
                    static_cast<double>(item.members->counted_members()));
        }
    }
    return lowest;
}

void run(std::size_t size)
{
    membership_network network{{.size = size, .seed = 1}};
    for (const auto& [id, item] : network.nodes())
    {
        network.start(id);
    }
    time_point start = network.now();
    bool done = network.run_until([&] { return network.views_agree(); }, 60s);
    print_time(size, "all start, views agree", done, network.now() - start);
    network.run_for(30s);

    const traffic idle = measure(network, 60s);
    print_traffic(size, "idle", idle);
    for (const duration freshness : {duration{3s}, duration{5s}, duration{10s}})
    {
        fmt::print(
            "{:>4} lowest share of members heard within {:.0f} s: {:.3f}\n",
            size, seconds(freshness), lowest_heard(network, freshness));
    }

    std::map<instance_id, time_point> detected;
    network.on_dead = [&](instance_id observer, instance_id)
    { detected.emplace(observer, network.now()); };
    const auto failed = static_cast<instance_id>(size);
    start = network.now();
    network.stop(failed);
    const traffic failure = measure(network, 30s);
    print_traffic(size, "30 s after a failure", failure);
    if (!detected.empty())
    {
        time_point first = network.now();
        time_point last = start;
        for (const auto& [id, time] : detected)
        {
            first = std::min(first, time);
            last = std::max(last, time);
        }
        print_time(size, "first considers it dead", true, first - start);
        print_time(
            size, "last considers it dead", detected.size() == size - 1,
            last - start);
    }

    // Watching all views takes more CPU time than membership itself, and would
    // distort the next measurement.
    network.on_dead = nullptr;
    start = network.now();
    network.start(failed);
    const traffic restart = measure(network, 30s);
    print_traffic(size, "30 s after a restart", restart);
    const double extra_failure =
        (failure.sent + failure.received - idle.sent - idle.received) * 30;
    const double extra_restart =
        (restart.sent + restart.received - idle.sent - idle.received) * 30;
    fmt::print(
        "{:>4} churn of a day, mean          both {:7.0f} B/s\n", size,
        idle.sent + idle.received +
            (failures_per_day * std::max(extra_failure, 0.0) +
             restarts_per_day * std::max(extra_restart, 0.0)) /
                seconds_per_day);

    start = network.now();
    network.accept_ticket(1, 4096);
    done = network.run_until([&] { return all_applied(network, 1); }, 60s);
    print_time(size, "version applied everywhere", done, network.now() - start);
    done = network.run_until(
        [&] { return all_known_at(*network.at(1).members, size, 1); }, 60s);
    print_time(size, "instance 1 knows of it", done, network.now() - start);
    network.run_for(30s);
    network.accept_ticket(1, 4096);
    const traffic dissemination = measure(network, 13s);
    print_traffic(size, "13 s after a ticket of 4 KB", dissemination);
    fmt::print(
        "{:>4} {:.0f} tickets a day, mean     both {:7.0f} B/s\n", size,
        tickets_per_day,
        idle.sent + idle.received +
            tickets_per_day *
                (dissemination.sent + dissemination.received - idle.sent -
                 idle.received) *
                13 / seconds_per_day);
}

void run_catch_up(std::size_t size, std::size_t tickets)
{
    membership_network network{{.size = size, .seed = 2}};
    const auto joining = static_cast<instance_id>(size);
    std::vector<version_document> documents;
    digest chain{};
    for (std::size_t i = 1; i <= tickets; ++i)
    {
        version_document document;
        document.version = i;
        document.document.assign(1024, static_cast<std::uint8_t>(i));
        document.chain = ticket_chain(
            chain, document.version, document.accepted, document.content_digest,
            document.document);
        chain = document.chain;
        documents.push_back(std::move(document));
    }
    for (auto& [id, item] : network.nodes())
    {
        if (id != joining)
        {
            item.has_disk = true;
            item.disk = documents;
            network.start(id);
        }
    }
    network.run_for(10s);
    const time_point start = network.now();
    network.start(joining);
    const bool done = network.run_until(
        [&] { return network.at(joining).applied >= tickets; }, 600s);
    print_time(
        size, fmt::format("catch up with {} of 1 KB", tickets), done,
        network.now() - start);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::size_t> sizes{8, 100, 380};
    if (argc > 1)
    {
        sizes.clear();
        for (const char* argument :
             std::span{argv, static_cast<std::size_t>(argc)}.subspan(1))
        {
            sizes.push_back(std::strtoul(argument, nullptr, 10));
        }
    }
    for (const std::size_t size : sizes)
    {
        run(size);
    }
    constexpr std::size_t many_tickets = 5000;
    run_catch_up(3, many_tickets);
    run_catch_up(8, many_tickets);
    run_catch_up(100, many_tickets);
    return 0;
}
