#include "process/fleet_process/backend_list_replica.hpp"

#include <memory>

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

} // namespace

void backend_list_publisher::start_epoch(std::uint64_t epoch)
{
    version_ = {epoch, 0};
    entries_.clear();
}

std::optional<wire::backends_push_msg>
backend_list_publisher::publish(std::span<const listed_backend> list)
{
    wire::backends_push_msg message;
    std::map<std::string, listed_backend> next;
    for (const listed_backend& entry : list)
    {
        next[entry.id] = entry;
        const auto known = entries_.find(entry.id);
        if (known == entries_.end() || known->second != entry)
        {
            message.changed.push_back(encode_backend(entry));
        }
    }
    for (const auto& [id, entry] : entries_)
    {
        if (!next.contains(id))
        {
            message.removed.push_back(id);
        }
    }
    const bool first = version_.sequence == 0;
    if (!first && message.changed.empty() && message.removed.empty())
    {
        return std::nullopt;
    }
    entries_ = std::move(next);
    ++version_.sequence;
    message.epoch = version_.epoch;
    message.sequence = version_.sequence;
    message.complete = first;
    return message;
}

std::optional<wire::backends_push_msg> backend_list_publisher::complete() const
{
    if (version_.sequence == 0)
    {
        return std::nullopt;
    }
    wire::backends_push_msg message;
    message.epoch = version_.epoch;
    message.sequence = version_.sequence;
    message.complete = true;
    for (const auto& [id, entry] : entries_)
    {
        message.changed.push_back(encode_backend(entry));
    }
    return message;
}

bool backend_list_replica::apply(const wire::backends_push_msg& message)
{
    const backend_list_version offered{message.epoch, message.sequence};
    if (offered <= version_)
    {
        return false;
    }
    const bool follows = message.epoch == version_.epoch &&
                         message.sequence == version_.sequence + 1;
    if (!message.complete && !follows)
    {
        return false;
    }
    if (message.complete)
    {
        entries_.clear();
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
    entries_.clear();
    for (const listed_backend& entry : list)
    {
        entries_[entry.id] = entry;
    }
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
