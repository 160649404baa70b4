#include "version/configuration/configuration_builder.hpp"

#include "common/address.hpp"
#include "common/error.hpp"
#include "version/configuration/cell_map.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace hickorygap
{

configuration_builder::configuration_builder()
    : result_(std::make_shared<configuration>())
{
}

configuration_builder::configuration_builder(const configuration_ptr& previous)
    : result_(
          previous == nullptr ? std::make_shared<configuration>()
                              : std::make_shared<configuration>(*previous))
{
}

configuration_builder&
configuration_builder::apply(const ticket& change, unix_millis accepted)
{
    const configuration_version number = change.document.number;
    if (number <= result_->version_)
    {
        fail(fmt::format(
            "ticket {} comes after ticket {}; file it under a higher number",
            number, result_->version_));
        return *this;
    }
    for (const auto& [name, object] : change.services)
    {
        object ? put(result_->services_, *object)
               : remove(result_->services_, name);
    }
    for (const auto& [name, object] : change.backend_servers)
    {
        if (!object)
        {
            remove(result_->backend_servers_, name);
            continue;
        }
        if (!result_->services_.contains(object->server.service))
        {
            fail(fmt::format(
                "backend_servers.{}.service is {}, which does not exist; add "
                "the service in the same ticket or correct the name",
                name, object->service_name));
        }
        put(result_->backend_servers_, object->server);
    }
    for (const auto& [name, object] : change.organisations)
    {
        object ? put(result_->organisations_, *object)
               : remove(result_->organisations_, name);
    }
    if (change.voters)
    {
        apply_voters(*change.voters);
    }
    result_->version_ = number;
    result_->accepted_ = accepted;
    return *this;
}

absl::StatusOr<configuration_ptr> configuration_builder::build()
{
    check_references();
    check_addresses();
    index_api_keys();
    if (!error_.ok())
    {
        return error_;
    }
    result_->cells_ =
        build_cells(result_->services_, result_->backend_servers_);
    return configuration_ptr{std::move(result_)};
}

void configuration_builder::fail(std::string_view message)
{
    if (error_.ok())
    {
        error_ = make_error(error_kind::ticket_invalid, message);
    }
}

template <typename Object>
void configuration_builder::put(
    std::map<std::uint64_t, Object>& objects, const Object& object)
{
    const auto [position, is_new] = objects.try_emplace(object.id, object);
    if (is_new)
    {
        return;
    }
    if (position->second.name != object.name)
    {
        fail(fmt::format(
            "the names {} and {} have the same 64-bit hash; choose another "
            "name",
            object.name, position->second.name));
        return;
    }
    position->second = object;
}

template <typename Object>
void configuration_builder::remove(
    std::map<std::uint64_t, Object>& objects, const std::string& name)
{
    const auto found = objects.find(hash_name(name));
    if (found == objects.end() || found->second.name != name)
    {
        fail(fmt::format(
            "{} is null but does not exist; leave it out or correct the name",
            name));
        return;
    }
    objects.erase(found);
}

void configuration_builder::apply_voters(const std::vector<instance_id>& voters)
{
    std::vector<instance_id> changed;
    std::set_symmetric_difference(
        result_->voters_.begin(), result_->voters_.end(), voters.begin(),
        voters.end(), std::back_inserter(changed));
    // Two majorities of sets that differ in one voter always share a voter;
    // with two changes at once they might not.
    if (!result_->voters_.empty() && changed.size() > 1)
    {
        fail(fmt::format(
            "voters change by {} instances; add or remove at most one in a "
            "ticket",
            changed.size()));
        return;
    }
    result_->voters_ = voters;
}

void configuration_builder::check_references()
{
    for (const auto& [id, server] : result_->backend_servers_)
    {
        if (!result_->services_.contains(server.service))
        {
            fail(fmt::format(
                "backend_servers.{} refers to a service that does not exist; "
                "add the service or remove the backend server in the same "
                "ticket",
                server.name));
            return;
        }
    }
}

void configuration_builder::check_addresses()
{
    // Two backend servers of one service at one address would count the
    // capacity twice. Of different services they may share a process.
    using key = std::tuple<service_id, std::string_view, std::uint16_t>;
    std::map<key, std::string_view> used;
    for (const auto& [id, server] : result_->backend_servers_)
    {
        const auto [position, is_new] = used.try_emplace(
            key{server.service, server.host, server.port}, server.name);
        if (!is_new)
        {
            fail(fmt::format(
                "backend_servers.{} and backend_servers.{} have the same "
                "address {} and service; remove one of them",
                position->second, server.name,
                format_address(server.host, server.port)));
            return;
        }
    }
}

void configuration_builder::index_api_keys()
{
    result_->organisations_by_key_.clear();
    for (const auto& [id, entry] : result_->organisations_)
    {
        for (const digest& key : entry.api_key_digests)
        {
            const auto [position, is_new] =
                result_->organisations_by_key_.try_emplace(key, id);
            if (!is_new)
            {
                fail(fmt::format(
                    "organisations.{} and organisations.{} have the same API "
                    "key; give each its own",
                    result_->organisations_.at(position->second).name,
                    entry.name));
                return;
            }
        }
    }
}

absl::StatusOr<checked_ticket> ticket_check(
    std::string_view text, const configuration_ptr& previous,
    unix_millis accepted)
{
    auto parsed = parse_ticket(text);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    auto built =
        configuration_builder{previous}.apply(*parsed, accepted).build();
    if (!built.ok())
    {
        return built.status();
    }
    return checked_ticket{*std::move(parsed), *std::move(built)};
}

} // namespace hickorygap
