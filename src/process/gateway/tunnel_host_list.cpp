#include "process/gateway/tunnel_host_list.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorygap
{

namespace
{

// A failed host is avoided for this time.
constexpr duration avoidance_time = std::chrono::seconds{2};

} // namespace

tunnel_host_list::tunnel_host_list(instance_id self)
    : self_{self}
{
}

void tunnel_host_list::set(std::span<const instance_id> hosts)
{
    std::vector<instance_id> others;
    std::ranges::copy_if(
        hosts, std::back_inserter(others),
        [this](instance_id host) { return host != self_; });
    if (!others.empty())
    {
        hosts_ = std::move(others);
    }
}

void tunnel_host_list::on_failed(instance_id host, time_point now)
{
    std::erase_if(
        failed_at_,
        [&](const auto& item) { return now - item.second >= avoidance_time; });
    failed_at_[host] = now;
}

std::optional<instance_id> tunnel_host_list::choose(
    std::span<const instance_id> excluded, time_point now) const
{
    for (const instance_id host : hosts_)
    {
        const auto failed = failed_at_.find(host);
        if (std::ranges::find(excluded, host) == excluded.end() &&
            (failed == failed_at_.end() ||
             now - failed->second >= avoidance_time))
        {
            return host;
        }
    }
    return std::nullopt;
}

} // namespace hickorygap
