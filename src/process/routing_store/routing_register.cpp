#include "process/routing_store/routing_register.hpp"

#include "common/compression.hpp"
#include "messages/codec.hpp"
#include "version/routing/configuration_format.hpp"

#include <string_view>
#include <utility>

namespace hickorygap
{

namespace
{

absl::Status unreadable_error()
{
    return make_error(
        error_kind::storage_damaged,
        "a configuration in the log can't be decoded; remove this instance's "
        "data folder and let it join again");
}

// base is the state before the entry.
absl::StatusOr<filed_configuration> decode_entry(
    std::span<const std::uint8_t> data, const filed_configuration& base)
{
    const auto entry = decode_table<wire::routing_entry>(data);
    if (!entry.ok())
    {
        return unreadable_error();
    }
    std::string_view reference;
    if (entry->base_version != 0)
    {
        if (entry->base_version != base.version)
        {
            return unreadable_error();
        }
        reference = base.document;
    }
    auto document = decompress(
        entry->document, max_configuration_document_bytes, reference);
    if (!document.ok())
    {
        return unreadable_error();
    }
    return filed_configuration{entry->version, *std::move(document)};
}

std::vector<std::uint8_t> encode(
    const filed_configuration& configuration, const filed_configuration& base)
{
    wire::routing_entry_msg entry;
    entry.version = configuration.version;
    entry.base_version = base.version;
    entry.document = compress(configuration.document, base.document);
    return encode_table<wire::routing_entry>(entry);
}

} // namespace

absl::StatusOr<bool>
routing_register::apply(std::span<const std::uint8_t> entry)
{
    auto filed = decode_entry(entry, current_);
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
    return encode(current_, {});
}

absl::Status routing_register::restore(std::span<const std::uint8_t> snapshot)
{
    auto filed = decode_entry(snapshot, {});
    if (!filed.ok())
    {
        return filed.status();
    }
    current_ = *std::move(filed);
    return absl::OkStatus();
}

std::vector<std::uint8_t>
routing_register::encode_entry(const filed_configuration& configuration) const
{
    return encode(configuration, current_);
}

} // namespace hickorygap
