#include "version/configuration/configuration_builder.hpp"

#include "common/address.hpp"
#include "common/error.hpp"
#include "version/configuration/cell_map.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
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
            "ticket {} can't follow ticket {}; file it under a higher number",
            number, result_->version_));
        return *this;
    }
    for (const auto& [name, object] : change.services)
    {
        object ? insert_or_replace(result_->services_, *object)
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
        insert_or_replace(result_->backend_servers_, object->server);
    }
    apply_organisations(change);
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
void configuration_builder::insert_or_replace(
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
    std::vector<instance_id> differing_voters;
    std::set_symmetric_difference(
        result_->voters_.begin(), result_->voters_.end(), voters.begin(),
        voters.end(), std::back_inserter(differing_voters));
    // Majorities of two voter sets that differ in one voter always share a
    // voter, which prevents two leaders in one term. Majorities of sets that
    // differ in more voters may be disjoint.
    if (!result_->voters_.empty() && differing_voters.size() > 1)
    {
        fail(fmt::format(
            "the ticket changes {} voters; add or remove at most one voter per "
            "ticket",
            differing_voters.size()));
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
    // Two backend servers of one service at the same address would count its
    // capacity twice. Backend servers of different services may share an
    // address, because one process can run several services.
    std::vector<const backend_server*> servers;
    servers.reserve(result_->backend_servers_.size());
    for (const auto& [id, server] : result_->backend_servers_)
    {
        servers.push_back(&server);
    }
    const auto address_key = [](const backend_server* server)
    { return std::tie(server->service, server->port, server->host); };
    std::sort(
        servers.begin(), servers.end(),
        [&](const backend_server* left, const backend_server* right)
        { return address_key(left) < address_key(right); });
    const auto duplicate = std::adjacent_find(
        servers.begin(), servers.end(),
        [&](const backend_server* left, const backend_server* right)
        { return address_key(left) == address_key(right); });
    if (duplicate != servers.end())
    {
        const backend_server& first = **duplicate;
        fail(fmt::format(
            "backend_servers.{} and backend_servers.{} have the same address "
            "{} and service; remove one of them",
            first.name, (*std::next(duplicate))->name,
            format_address(first.host, first.port)));
    }
}

void configuration_builder::apply_organisations(const ticket& change)
{
    // The previous keys of all changed organisations are removed first, so
    // that a ticket can move a key from one organisation to another.
    for (const auto& [name, object] : change.organisations)
    {
        const auto old = result_->organisations_.find(hash_name(name));
        if (old == result_->organisations_.end())
        {
            continue;
        }
        for (const digest& key : old->second.api_key_digests)
        {
            result_->organisations_by_key_.erase(key);
        }
    }
    for (const auto& [name, object] : change.organisations)
    {
        if (!object)
        {
            remove(result_->organisations_, name);
            continue;
        }
        insert_or_replace(result_->organisations_, *object);
        for (const digest& key : object->api_key_digests)
        {
            add_api_key(key, *object);
        }
    }
}

void configuration_builder::add_api_key(
    const digest& key, const organisation& owner)
{
    const auto [position, is_new] =
        result_->organisations_by_key_.try_emplace(key, owner.id);
    if (!is_new)
    {
        fail(fmt::format(
            "organisations.{} and organisations.{} have the same API key; "
            "give each its own",
            result_->organisations_.at(position->second).name, owner.name));
    }
}

absl::StatusOr<checked_ticket> check_ticket(
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
