#include "version/routing/routing_configuration.hpp"

#include "common/error.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

absl::Status invalid(std::string_view text)
{
    return make_error(error_kind::ticket_invalid, text);
}

} // namespace

std::string normalized_host(std::string_view host)
{
    // Hosts are names or IPv4 addresses, so a colon can only precede the port.
    return lower_case(host.substr(0, host.find(':')));
}

const route* routing_configuration::find_route(
    std::string_view host, std::string_view path) const
{
    const auto found = routes_by_host_.find(normalized_host(host));
    if (found == routes_by_host_.end())
    {
        return nullptr;
    }
    const auto match = std::ranges::find_if(
        found->second, [&](std::size_t position)
        { return path.starts_with(routes_[position].path_prefix); });
    return match == found->second.end() ? nullptr : &routes_[*match];
}

const routed_service*
routing_configuration::find_service(std::string_view name) const
{
    const auto found = service_positions_.find(name);
    return found == service_positions_.end() ? nullptr
                                             : &services_[found->second];
}

const routed_organisation*
routing_configuration::find_organisation(std::string_view key) const
{
    const auto found = organisations_by_key_.find(key);
    return found == organisations_by_key_.end()
               ? nullptr
               : &organisations_[found->second];
}

std::uint32_t routing_configuration::rank_of(
    const route& matched, const routed_organisation* organisation)
{
    // Lower priorities (higher values) are treated as this one.
    constexpr std::uint32_t max_priority = 2;
    const std::uint32_t route_priority =
        std::min(matched.priority, max_priority);
    const std::uint32_t organisation_priority =
        organisation == nullptr
            ? route_priority
            : std::min(
                  organisation->priority.value_or(route_priority),
                  max_priority);
    return organisation_priority * (max_priority + 1) + route_priority;
}

routing_configuration_builder::routing_configuration_builder(
    configuration_version version)
    : result_{std::make_shared<routing_configuration>()}
{
    result_->version_ = version;
}

routing_configuration_builder&
routing_configuration_builder::add_route(route added)
{
    result_->routes_.push_back(std::move(added));
    return *this;
}

routing_configuration_builder&
routing_configuration_builder::add_service(routed_service added)
{
    result_->services_.push_back(std::move(added));
    return *this;
}

routing_configuration_builder&
routing_configuration_builder::add_organisation(routed_organisation added)
{
    result_->organisations_.push_back(std::move(added));
    return require_key();
}

routing_configuration_builder& routing_configuration_builder::require_key()
{
    result_->requires_key_ = true;
    return *this;
}

routing_configuration_builder&
routing_configuration_builder::set_limits(const caller_limits& limits)
{
    result_->limits_ = limits;
    return *this;
}

absl::StatusOr<std::shared_ptr<const routing_configuration>>
routing_configuration_builder::build()
{
    for (const auto step :
         {&routing_configuration_builder::index_services,
          &routing_configuration_builder::index_routes,
          &routing_configuration_builder::index_organisations,
          &routing_configuration_builder::compute_first_ranks})
    {
        if (const absl::Status status = (this->*step)(); !status.ok())
        {
            return status;
        }
    }
    return result_;
}

absl::Status routing_configuration_builder::compute_first_ranks()
{
    for (const route& item : result_->routes_)
    {
        std::uint32_t rank = std::numeric_limits<std::uint32_t>::max();
        for (const routed_organisation& organisation : result_->organisations_)
        {
            rank = std::min(
                rank, routing_configuration::rank_of(item, &organisation));
        }
        if (item.open_to_all || !result_->requires_key_)
        {
            rank =
                std::min(rank, routing_configuration::rank_of(item, nullptr));
        }
        for (const weighted_service& target : item.targets)
        {
            std::uint32_t& first =
                result_
                    ->services_[result_->service_positions_.at(target.service)]
                    .first_rank;
            first = std::min(first, rank);
        }
    }
    return absl::OkStatus();
}

absl::Status routing_configuration_builder::index_services()
{
    for (std::size_t i = 0; i < result_->services_.size(); ++i)
    {
        const std::string& name = result_->services_[i].name;
        if (name.empty() ||
            !result_->service_positions_.emplace(name, i).second)
        {
            return invalid(fmt::format(
                "service \"{}\" has an empty or duplicate name; give each "
                "service a unique name",
                name));
        }
    }
    return absl::OkStatus();
}

absl::Status routing_configuration_builder::index_routes()
{
    for (std::size_t i = 0; i < result_->routes_.size(); ++i)
    {
        route& candidate = result_->routes_[i];
        candidate.host = normalized_host(candidate.host);
        if (!candidate.path_prefix.starts_with('/') ||
            !candidate.path_prefix.ends_with('/'))
        {
            return invalid(fmt::format(
                "the prefix \"{}\" of route \"{}\" must begin and end with a "
                "slash",
                candidate.path_prefix, candidate.name));
        }
        if (candidate.timeout <= duration{0})
        {
            return invalid(fmt::format(
                "the timeout of route \"{}\" must be greater than zero",
                candidate.name));
        }
        std::uint64_t weights = 0;
        for (const weighted_service& target : candidate.targets)
        {
            weights += target.weight;
            if (result_->find_service(target.service) == nullptr)
            {
                return invalid(fmt::format(
                    "route \"{}\" names the unknown service \"{}\"; add the "
                    "service or correct the name",
                    candidate.name, target.service));
            }
        }
        if (weights == 0)
        {
            return invalid(fmt::format(
                "the weights of route \"{}\" add up to zero; give one of its "
                "services a positive weight",
                candidate.name));
        }
        result_->routes_by_host_[candidate.host].push_back(i);
    }
    for (auto& [host, positions] : result_->routes_by_host_)
    {
        const auto prefix = [this](std::size_t position)
        { return std::string_view{result_->routes_[position].path_prefix}; };
        std::ranges::sort(
            positions,
            [&](std::size_t left, std::size_t right)
            {
                return std::pair{prefix(right).size(), prefix(left)} <
                       std::pair{prefix(left).size(), prefix(right)};
            });
        const auto duplicate = std::ranges::adjacent_find(
            positions, std::ranges::equal_to{}, prefix);
        if (duplicate != positions.end())
        {
            return invalid(fmt::format(
                "routes \"{}\" and \"{}\" share host and prefix; remove one "
                "of them",
                result_->routes_[*duplicate].name,
                result_->routes_[*std::next(duplicate)].name));
        }
    }
    return absl::OkStatus();
}

absl::Status routing_configuration_builder::index_organisations()
{
    for (std::size_t i = 0; i < result_->organisations_.size(); ++i)
    {
        for (const std::string& key : result_->organisations_[i].api_keys)
        {
            if (key.empty())
            {
                // It would match requests without a key.
                continue;
            }
            const auto [item, added] =
                result_->organisations_by_key_.emplace(key, i);
            if (!added && item->second != i)
            {
                return invalid(fmt::format(
                    "organisations \"{}\" and \"{}\" share an API key; give "
                    "one of them another key",
                    result_->organisations_[item->second].name,
                    result_->organisations_[i].name));
            }
        }
    }
    return absl::OkStatus();
}

} // namespace hickorygap
