#include "process/fleet_process/backend_list_replica.hpp"

#include "common/compression.hpp"
#include "common/logging.hpp"
#include "common/status_text.hpp"

#include <algorithm>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

namespace hickorygap
{

namespace
{

std::unique_ptr<wire::backend_entry_msg>
encode_backend(const listed_backend& entry)
{
    auto message = std::make_unique<wire::backend_entry_msg>();
    message->id = entry.id;
    message->service = entry.service;
    message->host = entry.address.host;
    message->port = entry.address.port;
    message->failure_domain = entry.failure_domain;
    message->slots = entry.slots;
    message->leaving = entry.leaving;
    message->version = entry.version;
    message->cold = entry.cold;
    message->evacuated = entry.evacuated;
    return message;
}

listed_backend decode_backend(const wire::backend_entry_msg& message)
{
    return {
        message.id,
        message.service,
        message.failure_domain,
        {message.host, message.port},
        message.slots,
        message.leaving,
        message.version,
        message.cold,
        message.evacuated};
}

// Limit for a decompressed list, enough for some ten thousand servers.
constexpr std::size_t max_list_bytes = std::size_t{4} * 1024 * 1024;

// Versions from which changes can be sent as a delta. During a release there is
// a new version each second, and followers receive each within a few seconds.
constexpr std::size_t max_known_versions = 32;

absl::StatusOr<wire::backends_changes_msg>
decode_changes(std::span<const std::uint8_t> data)
{
    const auto bytes = decompress(data, max_list_bytes);
    if (!bytes.ok())
    {
        return bytes.status();
    }
    return decode_table<wire::backends_changes>(
        {reinterpret_cast<const std::uint8_t*>(bytes->data()), bytes->size()});
}

} // namespace

void backend_list_replica::set_version(backend_list_version version)
{
    version_ = version;
    highest_version_ = version;
    known_versions_.push_back(version);
    if (known_versions_.size() > max_known_versions)
    {
        known_versions_.pop_front();
    }
    std::erase_if(
        removed_, [this](const auto& removed)
        { return removed.second <= known_versions_.front(); });
}

void backend_list_replica::remove_entry(
    const std::string& id, backend_list_version version)
{
    if (entries_.erase(id) != 0)
    {
        removed_[id] = version;
    }
}

// Replaces the list by that of the version. Returns the size of the change.
backend_list_replica::change_size backend_list_replica::update(
    std::span<const listed_backend> list, backend_list_version version)
{
    change_size size;
    std::set<std::string_view> present;
    for (const listed_backend& backend : list)
    {
        present.insert(backend.id);
        replica_entry& known = entries_[backend.id];
        if (known.backend != backend)
        {
            known = {backend, version};
            removed_.erase(backend.id);
            ++size.changed;
        }
    }
    std::vector<std::string> removed;
    for (const auto& [id, known] : entries_)
    {
        if (!present.contains(id))
        {
            removed.push_back(id);
        }
    }
    for (const std::string& id : removed)
    {
        remove_entry(id, version);
    }
    size.removed = removed.size();
    return size;
}

std::optional<backend_list_replica::change_size> backend_list_replica::publish(
    std::uint64_t epoch, std::span<const listed_backend> list)
{
    const backend_list_version next{
        epoch, epoch == version_.epoch ? version_.sequence + 1 : 1};
    const change_size size = update(list, next);
    if (epoch == version_.epoch && size.changed == 0 && size.removed == 0)
    {
        return std::nullopt;
    }
    set_version(next);
    return size;
}

std::optional<wire::backends_push_msg>
backend_list_replica::changes_since(backend_list_version held) const
{
    if (version_ == backend_list_version{})
    {
        return std::nullopt;
    }
    const bool complete =
        std::ranges::find(known_versions_, held) == known_versions_.end();
    wire::backends_changes_msg changes;
    for (const auto& [id, known] : entries_)
    {
        if (complete || known.changed_at > held)
        {
            changes.entries.push_back(encode_backend(known.backend));
        }
    }
    for (const auto& [id, removed_at] : removed_)
    {
        if (!complete && removed_at > held)
        {
            changes.removed.push_back(id);
        }
    }
    const auto encoded = encode_table<wire::backends_changes>(changes);
    wire::backends_push_msg message;
    message.epoch = version_.epoch;
    message.sequence = version_.sequence;
    if (!complete)
    {
        message.base_epoch = held.epoch;
        message.base_sequence = held.sequence;
    }
    message.changes = compress(
        {reinterpret_cast<const char*>(encoded.data()), encoded.size()});
    return message;
}

bool backend_list_replica::apply(const wire::backends_push_msg& message)
{
    const backend_list_version offered{message.epoch, message.sequence};
    const backend_list_version base{message.base_epoch, message.base_sequence};
    const bool complete = base == backend_list_version{};
    if (offered <= version_ || offered < highest_version_ ||
        (!complete && base != version_))
    {
        return false;
    }
    const auto changes = decode_changes(message.changes);
    if (!changes.ok())
    {
        log(log_level::error, subsystem::routing,
            "backend_list_unusable epoch={} sequence={} error=\"{}\"",
            message.epoch, message.sequence, message_of(changes.status()));
        return false;
    }
    std::vector<listed_backend> changed;
    for (const auto& entry : changes->entries)
    {
        changed.push_back(decode_backend(*entry));
    }
    if (complete)
    {
        update(changed, offered);
    }
    else
    {
        for (listed_backend& backend : changed)
        {
            removed_.erase(backend.id);
            const std::string id = backend.id;
            entries_[id] = {std::move(backend), offered};
        }
        for (const std::string& id : changes->removed)
        {
            remove_entry(id, offered);
        }
    }
    set_version(offered);
    return true;
}

std::set<std::string> backend_list_replica::evacuated_domains() const
{
    std::set<std::string> domains;
    for (const auto& [id, known] : entries_)
    {
        if (known.backend.evacuated)
        {
            domains.insert(known.backend.failure_domain);
        }
    }
    return domains;
}

void backend_list_replica::replace(std::span<const listed_backend> list)
{
    std::vector<listed_backend> marked{list.begin(), list.end()};
    mark_evacuated(marked, evacuated_domains());
    version_ = {};
    known_versions_.clear();
    removed_.clear();
    update(marked, {});
    removed_.clear();
}

void mark_evacuated(
    std::span<listed_backend> list, const std::set<std::string>& domains)
{
    for (listed_backend& backend : list)
    {
        if (domains.contains(backend.failure_domain))
        {
            backend.leaving = true;
            backend.evacuated = true;
        }
    }
}

std::vector<listed_backend> backend_list_replica::list() const
{
    std::vector<listed_backend> result;
    result.reserve(entries_.size());
    for (const auto& [id, known] : entries_)
    {
        result.push_back(known.backend);
    }
    return result;
}

} // namespace hickorygap
