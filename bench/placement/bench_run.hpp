#ifndef HICKORYGAP_BENCH_PLACEMENT_BENCH_RUN_HPP
#define HICKORYGAP_BENCH_PLACEMENT_BENCH_RUN_HPP

#include "engine_model.hpp"
#include "router_fleet.hpp"
#include "trace.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hickorygap::bench
{

// Outcome of one request of the trace.
struct request_result
{
    enum class kind
    {
        open,
        served,
        refused,
        failed
    };

    kind outcome = kind::open;
    duration wait{0};
    duration first_byte{0};

    // Time from arrival to the refusal.
    duration refused_after{0};
    std::uint32_t context_tokens = 0;
    std::uint32_t reused_tokens = 0;
};

struct run_result
{
    std::vector<request_result> requests;
    double mean_load = 0.0;
    double mean_skew = 0.0;

    // Placements after which the engine had more requests than the load bound
    // allows, given the requests then in all engines of its cell, and the
    // largest excess.
    std::size_t placements = 0;
    std::size_t over_bound = 0;
    std::uint32_t max_over_bound = 0;

    // Mean share of all slots that urgent requests occupied.
    double urgent_slot_share = 0.0;
    std::vector<std::uint64_t> bytes_sent;
    double seconds = 0.0;
    double cpu_seconds = 0.0;
    std::size_t decisions = 0;
};

struct run_options
{
    placement_topology topology;
    std::vector<trace_request> trace;
    std::size_t instances = 8;
    std::uint32_t cache_tokens = 48000;
    duration length{std::chrono::seconds{120}};
    bool churn = false;
    std::uint64_t seed = 1;
};

using fleet_factory = std::function<std::unique_ptr<router_fleet>(
    const run_options&, const std::map<backend_server_id, engine_model>&)>;

// Simulates the trace: submits its requests to the routers and runs them on the
// engine models. Times are simulated, except cpu_seconds.
run_result run_trace(const run_options& options, const fleet_factory& factory);

} // namespace hickorygap::bench

#endif
