#include "process/gateway/gateway_context.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

// Share of a server's connections that the routers use together. The rest
// covers connections that are closing, and routers that are not counted yet.
constexpr double connection_share = 0.8;

// From the start of a router to its first configuration when the voters started
// with it: their election takes 0.6 to 1.2 s. A caller that comes back earlier
// has used its retry in vain.
constexpr duration startup_time = std::chrono::milliseconds{1600};

constexpr duration shortest_retry_after = std::chrono::milliseconds{400};

} // namespace

gateway_context::gateway_context(
    event_loop& loop, const fleet_settings& settings,
    const request_dialect& dialect)
    : loop_{loop}
    , settings_{settings}
    , dialect_{dialect}
    , random_{random_seed()}
    , pool_{loop, table_}
    , cost_policy_{random_()}
    , started_at_{loop.now()}
{
}

void gateway_context::set_configuration(
    std::shared_ptr<const routing_configuration> applied)
{
    configuration_ = std::move(applied);
    update_connection_limits();
}

void gateway_context::set_router_count(std::uint32_t routers)
{
    routers_ = std::max(routers, 1U);
    for (auto& [service, allowance] : allowances_)
    {
        allowance->set_routers(routers_);
    }
    update_connection_limits();
}

duration gateway_context::retry_after_unready() const
{
    return std::max(
        startup_time - (loop_.now() - started_at_), shortest_retry_after);
}

void gateway_context::update_connection_limits()
{
    if (!configuration_)
    {
        return;
    }
    for (const routed_service& service : configuration_->services())
    {
        const double limit =
            connection_share * service.max_connections / routers_;
        pool_.set_connection_limit(
            service.name, static_cast<std::uint32_t>(limit));
    }
}

retry_allowance& gateway_context::allowance(std::string_view service)
{
    const auto known = allowances_.find(service);
    if (known != allowances_.end())
    {
        return *known->second;
    }
    auto allowance = std::make_unique<retry_allowance>(retry_limits{
        settings_.retry.ratio, settings_.retry.slack, settings_.retry.window});
    allowance->set_routers(routers_);
    return *allowances_.emplace(service, std::move(allowance)).first->second;
}

dispatch_policy& gateway_context::policy_for(const route& matched)
{
    if (matched.prompt_affinity)
    {
        return affinity_policy_;
    }
    return cost_policy_;
}

} // namespace hickorygap
