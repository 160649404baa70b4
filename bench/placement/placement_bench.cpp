// Compares the placement policies with one another and with a single router
// that knows everything, on the same traces. Usage:
//
//     build/bench/placement/placement_bench [seed, default 1]
//
// Prints one table; figures are of simulated time, except for CPU time, which
// is measured.
#include "all_knowing_policy.hpp"
#include "bench_run.hpp"
#include "common/hashing.hpp"
#include "request/placement/bounded_hash_policy.hpp"
#include "request/placement/random_of_two_policy.hpp"
#include "version/configuration/cell_map.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hickorygap::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// First byte targets, and the floors of normal and background work.
constexpr std::array<duration, rank_count> targets{
    seconds{2}, seconds{5}, seconds{20}};
constexpr std::array<double, rank_count> floors{0.0, 0.15, 0.10};

// Requests per second that 23 engines with 8 slots serve: about 3.1 s of a
// slot each, measured with the engine model.
constexpr double site_capacity = 58.0;
constexpr std::size_t site_engines = 23;
constexpr std::size_t site_instances = 8;
constexpr duration run_length{seconds{120}};
constexpr organisation_id large_organisation = 100;

// The first seconds fill the caches and are left out of the figures.
constexpr duration warm_up{seconds{20}};

// Requests that arrive within the last seconds might not end.
constexpr duration cool_down{seconds{30}};
constexpr double counted_seconds =
    std::chrono::duration<double>(run_length - warm_up - cool_down).count();

placement_topology make_topology_of(
    std::size_t services, std::size_t engines_each, std::uint32_t slots)
{
    placement_topology topology;
    backend_server_id next = 1;
    for (service_id id = 1; id <= services; ++id)
    {
        service& made = topology.services[id];
        made.id = id;
        for (std::size_t number = 0; number < rank_count; ++number)
        {
            made.ranks[number] = {targets[number], floors[number]};
        }
        for (std::size_t engine = 0; engine < engines_each; ++engine)
        {
            backend_server server;
            server.id = rendezvous_score(next++, 99);
            server.service = id;
            server.slots = slots;
            topology.backend_servers[server.id] = server;
        }
    }
    topology.cells = build_cells(topology.services, topology.backend_servers);
    return topology;
}

cell_description one_cell(const placement_topology& topology)
{
    cell whole;
    whole.id = 1;
    whole.service = topology.services.begin()->first;
    for (const auto& [id, server] : topology.backend_servers)
    {
        whole.backend_servers.push_back(id);
    }
    return topology.describe(whole);
}

struct named_policy
{
    std::string name;
    fleet_factory factory;
};

template <typename Make>
fleet_factory per_instance(Make make)
{
    return [make](
               const run_options& options,
               const std::map<backend_server_id, engine_model>&)
    {
        std::vector<std::unique_ptr<placement_policy>> policies;
        for (std::size_t instance = 0; instance < options.instances; ++instance)
        {
            policies.push_back(make(one_cell(options.topology), instance));
        }
        return std::make_unique<policy_fleet>(std::move(policies));
    };
}

std::vector<named_policy> all_policies()
{
    return {
        {"cell_owner",
         [](const run_options& options,
            const std::map<backend_server_id, engine_model>&)
         {
             return std::make_unique<service_fleet>(
                 options.instances, options.topology, milliseconds{1});
         }},
        {"random_of_two",
         per_instance(
             [](const cell_description& whole, std::size_t instance) {
                 return std::make_unique<random_of_two_policy>(
                     whole, instance + 1);
             })},
        {"bounded_hash",
         per_instance(
             [](const cell_description& whole, std::size_t)
             { return std::make_unique<bounded_hash_policy>(whole); })},
        {"all_knowing",
         [](const run_options& options,
            const std::map<backend_server_id, engine_model>& engines)
         {
             std::vector<std::unique_ptr<placement_policy>> policies;
             policies.push_back(std::make_unique<all_knowing_policy>(
                 one_cell(options.topology), engines));
             return std::make_unique<policy_fleet>(std::move(policies));
         }},
    };
}

std::vector<trace_source> small_organisations(
    rank request_rank, double requests_per_second, std::size_t count)
{
    std::vector<trace_source> sources;
    for (organisation_id id = 1; id <= count; ++id)
    {
        sources.push_back(
            {id, request_rank, requests_per_second / static_cast<double>(count),
             duration{0}, run_length});
    }
    return sources;
}

std::vector<trace_source> mixed_load(double share_of_capacity)
{
    const double rate = site_capacity * share_of_capacity;
    std::vector<trace_source> sources;
    for (const auto& [request_rank, share] :
         {std::pair{rank::urgent, 0.2}, std::pair{rank::normal, 0.5},
          std::pair{rank::background, 0.3}})
    {
        const auto more = small_organisations(request_rank, rate * share, 10);
        sources.insert(sources.end(), more.begin(), more.end());
    }
    return sources;
}

struct rank_figures
{
    std::size_t offered = 0;
    std::size_t in_target = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
};

// Requests that arrived after the warm-up and early enough to end.
bool is_counted(const trace_request& request)
{
    return request.arrival.since_start >= warm_up &&
           request.arrival.since_start < run_length - cool_down;
}

rank_figures
figures_of(const run_options& options, const run_result& result, rank counted)
{
    rank_figures figures;
    for (std::size_t index = 0; index < options.trace.size(); ++index)
    {
        const trace_request& request = options.trace[index];
        const request_result& outcome = result.requests[index];
        if (request.request_rank != counted || !is_counted(request))
        {
            continue;
        }
        ++figures.offered;
        const bool served = outcome.outcome == request_result::kind::served;
        const bool refused = outcome.outcome == request_result::kind::refused;
        const bool timely =
            served &&
            outcome.first_byte <= targets[static_cast<std::size_t>(counted)];
        figures.in_target += timely ? 1 : 0;
        figures.refused += refused ? 1 : 0;
        figures.failed +=
            outcome.outcome == request_result::kind::failed ? 1 : 0;
        figures.late += served && !timely ? 1 : 0;
    }
    // Requests still open at the end are late as well.
    figures.late =
        figures.offered - figures.in_target - figures.refused - figures.failed;
    return figures;
}

double reuse_of(const run_options& options, const run_result& result)
{
    double context = 0;
    double reused = 0;
    for (std::size_t index = 0; index < options.trace.size(); ++index)
    {
        if (is_counted(options.trace[index]) &&
            result.requests[index].outcome == request_result::kind::served)
        {
            context += result.requests[index].context_tokens;
            reused += result.requests[index].reused_tokens;
        }
    }
    return context > 0 ? reused / context : 0;
}

double percentile_ms(std::vector<duration>& values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    return std::chrono::duration<double, std::milli>(values[index]).count();
}

std::string percent(double part, double whole)
{
    return whole > 0 ? fmt::format("{:.1f}", 100 * part / whole) : "-";
}

// Columns of the table; a dash stands for what a scenario does not measure.
struct table_row
{
    std::string scenario;
    std::string policy;
    std::string reuse = "-";
    std::string relative_reuse = "-";
    std::string skew = "-";
    std::string over_bound = "-";
    std::string urgent = "-";
    std::string normal = "-";
    std::string background = "-";
    std::string refused_after = "-";
    std::string small_first_byte = "-";
    std::string traffic = "-";
    std::string bytes_each = "-";
    std::string cpu = "-";
};

void print(const table_row& row)
{
    fmt::print(
        "{:<16} {:<13} {:>6} {:>6} {:>12} {:>9} {:>14} {:>14} {:>14} {:>11} "
        "{:>16} {:>12} {:>6} {:>5}\n",
        row.scenario, row.policy, row.reuse, row.relative_reuse, row.skew,
        row.over_bound, row.urgent, row.normal, row.background,
        row.refused_after, row.small_first_byte, row.traffic, row.bytes_each,
        row.cpu);
}

void print_legend()
{
    fmt::print(
        "reuse: context tokens found in the engine's cache, %; rel: as % of "
        "all_knowing\n"
        "max/mean: load of the most loaded engine over the mean (mean)\n"
        "over: placements beyond the bound, % (by how many requests at most)\n"
        "urgent, normal, background: first byte in target, % of those not "
        "refused : per s (offered per s)\n"
        "refused: time from arrival to refusal, median/p99, ms\n"
        "small org: p99 first byte without>with the surge, ms (ratio)\n"
        "KB/s: control traffic sent per instance, mean/most; B: per decision; "
        "us: CPU of all instances per decision\n\n");
    table_row header{"scenario", "policy"};
    header.reuse = "reuse";
    header.relative_reuse = "rel";
    header.skew = "max/mean";
    header.over_bound = "over";
    header.urgent = "urgent";
    header.normal = "normal";
    header.background = "background";
    header.refused_after = "refused";
    header.small_first_byte = "small org";
    header.traffic = "KB/s";
    header.bytes_each = "B";
    header.cpu = "us";
    print(header);
}

std::string describe_rank(
    const run_options& options, const run_result& result, rank counted)
{
    const rank_figures figures = figures_of(options, result, counted);
    if (figures.offered == 0)
    {
        return "-";
    }
    return fmt::format(
        "{}:{:.1f} ({:.0f})",
        percent(
            static_cast<double>(figures.in_target),
            static_cast<double>(figures.offered - figures.refused)),
        static_cast<double>(figures.in_target) / counted_seconds,
        static_cast<double>(figures.offered) / counted_seconds);
}

std::string describe_refusals(const run_result& result)
{
    std::vector<duration> refused_after;
    for (const request_result& outcome : result.requests)
    {
        if (outcome.outcome == request_result::kind::refused)
        {
            refused_after.push_back(outcome.refused_after);
        }
    }
    if (refused_after.empty())
    {
        return "-";
    }
    return fmt::format(
        "{:.0f}/{:.0f}", percentile_ms(refused_after, 0.5),
        percentile_ms(refused_after, 0.99));
}

table_row make_row(
    const std::string& scenario, const std::string& policy,
    const run_options& options, const run_result& result)
{
    table_row row{scenario, policy};
    row.reuse = percent(reuse_of(options, result), 1.0);
    row.skew =
        fmt::format("{:.2f} ({:.1f})", result.mean_skew, result.mean_load);
    row.over_bound = fmt::format(
        "{} ({})",
        percent(
            static_cast<double>(result.over_bound),
            static_cast<double>(result.placements)),
        result.most_over_bound);
    row.urgent = describe_rank(options, result, rank::urgent);
    row.normal = describe_rank(options, result, rank::normal);
    row.background = describe_rank(options, result, rank::background);
    row.refused_after = describe_refusals(result);
    double total = 0;
    double most = 0;
    for (const std::uint64_t bytes : result.bytes_sent)
    {
        total += static_cast<double>(bytes);
        most = std::max(most, static_cast<double>(bytes));
    }
    const auto instances = static_cast<double>(result.bytes_sent.size());
    const auto decisions = static_cast<double>(result.decisions);
    row.traffic = fmt::format(
        "{:.1f}/{:.1f}", total / instances / result.seconds / 1000,
        most / result.seconds / 1000);
    row.bytes_each = fmt::format("{:.0f}", total / decisions);
    row.cpu = fmt::format("{:.1f}", result.cpu_seconds * 1e6 / decisions);
    return row;
}

run_options
site_options(const std::vector<trace_source>& sources, std::uint64_t seed)
{
    run_options options;
    options.topology = make_topology_of(1, site_engines, 8);
    options.trace = make_trace(sources, seed);
    options.instances = site_instances;
    options.length = run_length;
    options.seed = seed;
    return options;
}

void run_scenario(const std::string& name, const run_options& options)
{
    std::vector<table_row> rows;
    std::vector<double> reuse;
    for (const named_policy& policy : all_policies())
    {
        const run_result result = run_trace(options, policy.factory);
        rows.push_back(make_row(name, policy.name, options, result));
        reuse.push_back(reuse_of(options, result));
    }
    for (std::size_t index = 0; index < rows.size(); ++index)
    {
        rows[index].relative_reuse = percent(reuse[index], reuse.back());
        print(rows[index]);
    }
}

void run_load(
    const std::string& name, double load, bool churn, std::uint64_t seed)
{
    run_options options = site_options(mixed_load(load), seed);
    options.churn = churn;
    run_scenario(name, options);
}

// Urgent, normal and background work at half the capacity, and a flood of one
// rank that brings the total to three times the capacity.
void run_flood(const std::string& name, rank flooding, std::uint64_t seed)
{
    std::vector<trace_source> sources = mixed_load(0.5);
    const auto flood = small_organisations(flooding, site_capacity * 2.5, 10);
    sources.insert(sources.end(), flood.begin(), flood.end());
    run_scenario(name, site_options(sources, seed));
}

double small_first_byte_ms(const run_options& options, const run_result& result)
{
    std::vector<duration> first_byte;
    for (std::size_t index = 0; index < result.requests.size(); ++index)
    {
        const request_result& outcome = result.requests[index];
        if (is_counted(options.trace[index]) &&
            options.trace[index].organisation != large_organisation)
        {
            // Requests that were not served count with the whole target.
            const bool served = outcome.outcome == request_result::kind::served;
            first_byte.push_back(served ? outcome.first_byte : targets[1]);
        }
    }
    return percentile_ms(first_byte, 0.99);
}

// Ten small organisations at half the capacity; the surge is one more that
// sends 20 times its share of the capacity.
void run_surge(std::uint64_t seed)
{
    const auto small =
        small_organisations(rank::normal, site_capacity * 0.5, 10);
    std::vector<trace_source> surge = small;
    surge.push_back(
        {large_organisation, rank::normal, 20 * site_capacity / 11, duration{0},
         run_length});
    const run_options calm_options = site_options(small, seed);
    const run_options surge_options = site_options(surge, seed);
    for (const named_policy& policy : all_policies())
    {
        const double without = small_first_byte_ms(
            calm_options, run_trace(calm_options, policy.factory));
        const run_result result = run_trace(surge_options, policy.factory);
        const double with = small_first_byte_ms(surge_options, result);
        table_row row =
            make_row("surge of one", policy.name, surge_options, result);
        row.small_first_byte = fmt::format(
            "{:.0f}>{:.0f} ({:.2f})", without, with, with / without);
        print(row);
    }
}

// One service of the four at the target has 200 engines; a fleet of a quarter
// of the instances serves it with a quarter of the requests.
void run_scale(
    std::size_t instances, std::size_t engines, double requests_per_second,
    std::uint64_t seed)
{
    run_options options;
    options.topology = make_topology_of(1, engines, 16);
    options.instances = instances;
    options.length = seconds{40};
    options.seed = seed;
    std::vector<trace_source> sources;
    for (organisation_id id = 1; id <= 100; ++id)
    {
        sources.push_back(
            {id, rank::normal, requests_per_second / 100, duration{0},
             options.length});
    }
    options.trace = make_trace(sources, seed);
    const run_result result =
        run_trace(options, all_policies().front().factory);
    table_row row = make_row(
        fmt::format("{}i {}e", instances, engines), "cell_owner", options,
        result);
    // The run is too short for these after the warm-up.
    row.urgent = row.normal = row.background = row.reuse = "-";
    print(row);
}

void print_directory_memory()
{
    for (const std::size_t chats : {16384U, 65536U, 131072U})
    {
        chat_directory directory{chats};
        for (std::size_t number = 0; number < 2 * chats; ++number)
        {
            directory.put(
                rendezvous_score(number, 1),
                static_cast<engine_index>(number % 16), time_point{});
        }
        fmt::print(
            "directory of {} chats: {:.1f} bytes per chat\n", chats,
            static_cast<double>(directory.memory()) /
                static_cast<double>(directory.size()));
    }
}

void run_all(std::uint64_t seed)
{
    print_legend();
    run_load("calm 60%", 0.6, false, seed);
    run_load("calm 95%", 0.95, false, seed);
    run_load("churn 60%", 0.6, true, seed);
    run_load("churn 95%", 0.95, true, seed);
    run_flood("flood background", rank::background, seed);
    run_flood("flood urgent", rank::urgent, seed);
    run_surge(seed);
    run_scale(24, 50, 200, seed);
    run_scale(48, 100, 400, seed);
    run_scale(95, 200, 800, seed);
    print_directory_memory();
}

} // namespace

} // namespace hickorygap::bench

int main(int argc, char** argv)
{
    const std::uint64_t seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    hickorygap::bench::run_all(seed);
    return 0;
}
