#include "process/gateway/gateway_context.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace hickorygap
{

namespace
{

// Share of the connection limit of a server that the routers use together. The
// rest covers connections that are closing, and routers that are not counted
// yet.
constexpr double connection_share = 0.8;

// Time from the start of a router to its first configuration when the voters
// start at the same moment: their election takes 0.8 to 1.2 s. A caller that
// retries earlier fails again.
constexpr duration expected_startup_time = std::chrono::milliseconds{1300};

// Time after which the list shows that a server has started again: its lag, the
// interval at which the leader reads it, and the way to the routers, beside the
// time that the server is down.
constexpr duration restart_notice_time = std::chrono::seconds{6};

constexpr duration min_retry_after = std::chrono::milliseconds{400};

template <typename Item>
Item& find_or_add(
    name_map<std::unique_ptr<Item>>& items, std::string_view name,
    random_engine& random)
{
    const auto known = items.find(name);
    if (known != items.end())
    {
        return *known->second;
    }
    return *items.emplace(name, std::make_unique<Item>(random())).first->second;
}

} // namespace

gateway_context::gateway_context(
    event_loop& loop, const fleet_settings& settings,
    const request_dialect& dialect, server_dialer& dialer)
    : loop_{loop}
    , settings_{settings}
    , dialect_{dialect}
    , random_{random_seed()}
    , limits_{client_limits_of(settings)}
    , buffers_{limits_.buffer_bytes}
    , pool_{loop, table_, dialer, settings}
    , startup_{loop}
    , permits_{loop, random_()}
    , restarts_{loop, pool_, permits_, dialect}
    , streams_{loop}
    , cost_policy_{random_()}
    , started_at_{loop.now()}
{
}

void gateway_context::set_configuration(
    std::shared_ptr<const routing_configuration> applied)
{
    configuration_ = std::move(applied);
    configuration_at_ = loop_.now();
    restarts_.set_configuration(configuration_);
    update_connection_limits();
    update_cold_servers();
    release_waiting();
}

void gateway_context::release_waiting()
{
    if (is_ready())
    {
        startup_.release();
    }
}

void gateway_context::set_backend_list(std::span<const listed_backend> list)
{
    backend_list_at_ = loop_.now();
    table_.replace(list);
    restarts_.check_servers();
    update_cold_servers();
    release_waiting();
}

void gateway_context::set_fleet_load(std::span<const fleet_backend_load> fleet)
{
    fleet_load_at_ = loop_.now();
    table_.on_fleet_load(fleet, loop_.now());
    update_cold_servers();
}

// Servers that the list names as cold, and those that were down so lately that
// it may not say so yet.
void gateway_context::update_cold_servers()
{
    std::map<backend_server_id, double> rates;
    for (const routed_service& service :
         configuration_ ? configuration_->services()
                        : std::span<const routed_service>{})
    {
        if (service.cold_requests_per_second <= 0)
        {
            continue;
        }
        for (const backend_record* server : table_.members(service.name))
        {
            const bool may_have_restarted =
                server->unreachable_at &&
                loop_.now() - *server->unreachable_at < restart_notice_time;
            if (server->listed.cold || may_have_restarted)
            {
                rates[server->id] = service.cold_requests_per_second;
            }
        }
    }
    permits_.limits().set_cold(rates);
}

decision_inputs
gateway_context::decision_inputs_of(const dispatch_choice& choice) const
{
    const auto age = [this](const std::optional<time_point>& at)
    { return at ? std::optional{loop_.now() - *at} : std::nullopt; };
    decision_inputs inputs;
    inputs.configuration_age = age(configuration_at_);
    inputs.backend_list_age = age(backend_list_at_);
    inputs.fleet_load_age = age(fleet_load_at_);
    if (choice.backend != nullptr && choice.backend->report)
    {
        inputs.backend_report_age = age(choice.backend->reported_at);
    }
    return inputs;
}

void gateway_context::set_router_count(std::uint32_t routers)
{
    routers_ = std::max(routers, 1U);
    permits_.limits().set_routers(routers_);
    for (auto& [service, retry_budget] : retry_budgets_)
    {
        retry_budget->set_routers(routers_);
    }
    update_connection_limits();
}

duration gateway_context::retry_after_not_ready() const
{
    return std::max(
        expected_startup_time - (loop_.now() - started_at_), min_retry_after);
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

retry_budget_share& gateway_context::retry_budget(std::string_view service)
{
    const auto known = retry_budgets_.find(service);
    if (known != retry_budgets_.end())
    {
        return *known->second;
    }
    auto retry_budget = std::make_unique<retry_budget_share>(retry_limits{
        settings_.retry.ratio, settings_.retry.slack, settings_.retry.window});
    retry_budget->set_routers(routers_);
    return *retry_budgets_.emplace(service, std::move(retry_budget))
                .first->second;
}

retry_after_estimator&
gateway_context::retry_estimator(std::string_view service)
{
    return find_or_add(retry_estimators_, service, random_);
}

// Chosen by work where the settings say so.
admission_policy& gateway_context::admission(std::string_view service)
{
    const auto known = admissions_.find(service);
    if (known != admissions_.end())
    {
        return *known->second;
    }
    std::unique_ptr<admission_policy> added;
    if (settings_.overload.by_work)
    {
        added = std::make_unique<work_admission>(random_());
    }
    else
    {
        added = std::make_unique<admission_controller>(random_());
    }
    return *admissions_.emplace(service, std::move(added)).first->second;
}

work_estimator& gateway_context::work(std::string_view service)
{
    const auto known = work_.find(service);
    return known != work_.end()
               ? known->second
               : work_.emplace(service, work_estimator{}).first->second;
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
