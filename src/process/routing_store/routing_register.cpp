#include "process/routing_store/routing_register.hpp"

#include "messages/codec.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

absl::StatusOr<filed_configuration>
decode_entry(std::span<const std::uint8_t> data)
{
    auto entry = decode_table<wire::routing_entry>(data);
    if (!entry.ok())
    {
        return make_error(
            error_kind::storage_damaged,
            "a configuration in the log can't be read; remove this instance's "
            "data folder and let it join again");
    }
    return filed_configuration{entry->version, std::move(entry->document)};
}

} // namespace

absl::StatusOr<bool>
routing_register::apply(std::span<const std::uint8_t> entry)
{
    auto filed = decode_entry(entry);
    if (!filed.ok())
    {
        return filed.status();
    }
    if (filed->version <= current_.version)
    {
        return false;
    }
    current_ = *std::move(filed);
    return true;
}

std::vector<std::uint8_t> routing_register::snapshot() const
{
    return encode_entry(current_);
}

absl::Status routing_register::restore(std::span<const std::uint8_t> snapshot)
{
    auto filed = decode_entry(snapshot);
    if (!filed.ok())
    {
        return filed.status();
    }
    current_ = *std::move(filed);
    return absl::OkStatus();
}

std::vector<std::uint8_t>
routing_register::encode_entry(const filed_configuration& configuration)
{
    wire::routing_entry_msg entry;
    entry.version = configuration.version;
    entry.document = configuration.document;
    return encode_table<wire::routing_entry>(entry);
}

} // namespace hickorygap
