#include "process/fleet_process/load_exchange.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace hickorygap
{

namespace
{

constexpr duration shortest_interval = std::chrono::milliseconds{200};

// At 77 routers and 90 servers this gives 770 ms, and 70 KB/s on the leader's
// link, a fifth of 3 Mbit/s.
constexpr duration interval_per_router = std::chrono::milliseconds{10};

// Three intervals of a large fleet.
constexpr duration report_expiry = std::chrono::seconds{2};

} // namespace

duration load_interval(std::uint32_t routers)
{
    return std::max(shortest_interval, interval_per_router * routers);
}

std::vector<backend_load> to_loads(
    std::span<const std::uint32_t> backends,
    std::span<const std::uint16_t> in_flight)
{
    std::vector<backend_load> loads;
    for (std::size_t i = 0; i < std::min(backends.size(), in_flight.size());
         ++i)
    {
        loads.push_back({backends[i], in_flight[i]});
    }
    return loads;
}

void load_aggregator::set(
    instance_id router, std::vector<backend_load> loads, time_point now)
{
    reports_[router] = {std::move(loads), now};
}

std::vector<backend_load> load_aggregator::sum(time_point now)
{
    std::erase_if(
        reports_,
        [&](const auto& item) { return now - item.second.at > report_expiry; });
    std::map<std::uint32_t, std::uint32_t> totals;
    for (const auto& [router, report] : reports_)
    {
        for (const backend_load& load : report.loads)
        {
            totals[load.backend] += load.in_flight;
        }
    }
    std::vector<backend_load> result;
    for (const auto& [backend, total] : totals)
    {
        constexpr std::uint32_t most =
            std::numeric_limits<std::uint16_t>::max();
        result.push_back(
            {backend, static_cast<std::uint16_t>(std::min(total, most))});
    }
    return result;
}

} // namespace hickorygap
