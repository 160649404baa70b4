#include "process/fleet_process/backend_list_replica.hpp"

#include "common/compression.hpp"
#include "common/logging.hpp"
#include "common/status_text.hpp"

#include <memory>
#include <set>
#include <string_view>

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
        message.leaving};
}

// Largest decoded list, in bytes: some ten thousand servers.
constexpr std::size_t max_list_bytes = std::size_t{4} * 1024 * 1024;

absl::StatusOr<std::vector<listed_backend>>
decode_complete(std::span<const std::uint8_t> data)
{
    const auto bytes = decompress(data, max_list_bytes);
    if (!bytes.ok())
    {
        return bytes.status();
    }
    const auto whole = decode_table<wire::backends_list>(
        {reinterpret_cast<const std::uint8_t*>(bytes->data()), bytes->size()});
    if (!whole.ok())
    {
        return whole.status();
    }
    std::vector<listed_backend> list;
    for (const auto& entry : whole->entries)
    {
        list.push_back(decode_backend(*entry));
    }
    return list;
}

} // namespace

void backend_list_replica::set_entries(std::span<const listed_backend> list)
{
    entries_.clear();
    for (const listed_backend& entry : list)
    {
        entries_[entry.id] = entry;
    }
}

std::optional<wire::backends_push_msg> backend_list_replica::publish(
    std::uint64_t epoch, std::span<const listed_backend> list)
{
    wire::backends_push_msg message;
    std::set<std::string_view> present;
    for (const listed_backend& entry : list)
    {
        present.insert(entry.id);
        const auto known = entries_.find(entry.id);
        if (known == entries_.end() || known->second != entry)
        {
            message.changed.push_back(encode_backend(entry));
        }
    }
    for (const auto& [id, entry] : entries_)
    {
        if (!present.contains(id))
        {
            message.removed.push_back(id);
        }
    }
    if (epoch == version_.epoch && version_.sequence != 0 &&
        message.changed.empty() && message.removed.empty())
    {
        return std::nullopt;
    }
    message.base_epoch = version_.epoch;
    message.base_sequence = version_.sequence;
    version_ = {epoch, epoch == version_.epoch ? version_.sequence + 1 : 1};
    message.epoch = version_.epoch;
    message.sequence = version_.sequence;
    set_entries(list);
    return message;
}

std::optional<wire::backends_push_msg> backend_list_replica::complete() const
{
    if (version_.sequence == 0)
    {
        return std::nullopt;
    }
    wire::backends_list_msg whole;
    for (const auto& [id, entry] : entries_)
    {
        whole.entries.push_back(encode_backend(entry));
    }
    const auto encoded = encode_table<wire::backends_list>(whole);
    wire::backends_push_msg message;
    message.epoch = version_.epoch;
    message.sequence = version_.sequence;
    message.complete = compress(
        {reinterpret_cast<const char*>(encoded.data()), encoded.size()});
    return message;
}

bool backend_list_replica::apply(const wire::backends_push_msg& message)
{
    const backend_list_version offered{message.epoch, message.sequence};
    if (offered <= version_)
    {
        return false;
    }
    if (!message.complete.empty())
    {
        const auto list = decode_complete(message.complete);
        if (!list.ok())
        {
            log(log_level::error, subsystem::routing,
                "backend_list_unusable epoch={} sequence={} error=\"{}\"",
                message.epoch, message.sequence, message_of(list.status()));
            return false;
        }
        set_entries(*list);
        version_ = offered;
        return true;
    }
    if (backend_list_version{message.base_epoch, message.base_sequence} !=
        version_)
    {
        return false;
    }
    for (const auto& entry : message.changed)
    {
        entries_[entry->id] = decode_backend(*entry);
    }
    for (const std::string& id : message.removed)
    {
        entries_.erase(id);
    }
    version_ = offered;
    return true;
}

void backend_list_replica::replace(std::span<const listed_backend> list)
{
    // Sequence 0 is no published version, so no change follows on it.
    version_.sequence = 0;
    set_entries(list);
}

std::vector<listed_backend> backend_list_replica::list() const
{
    std::vector<listed_backend> result;
    result.reserve(entries_.size());
    for (const auto& [id, entry] : entries_)
    {
        result.push_back(entry);
    }
    return result;
}

} // namespace hickorygap
