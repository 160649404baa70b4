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
    const wire::routing_entry_msg& entry, const filed_configuration& base)
{
    std::string_view reference;
    if (entry.base_version != 0)
    {
        if (entry.base_version != base.version)
        {
            return unreadable_error();
        }
        reference = base.document;
    }
    auto document =
        decompress(entry.document, max_configuration_document_bytes, reference);
    if (!document.ok())
    {
        return unreadable_error();
    }
    return filed_configuration{entry.version, *std::move(document)};
}

wire::routing_entry_msg make_entry(
    const filed_configuration& configuration, const filed_configuration& base)
{
    wire::routing_entry_msg entry;
    entry.version = configuration.version;
    entry.base_version = base.version;
    entry.document = compress(configuration.document, base.document);
    return entry;
}

} // namespace

absl::StatusOr<bool>
routing_register::apply(std::span<const std::uint8_t> entry)
{
    const auto decoded = decode_table<wire::routing_entry>(entry);
    if (!decoded.ok())
    {
        return unreadable_error();
    }
    auto filed = decode_entry(*decoded, current_);
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
    wire::routing_entry_msg entry = make_entry(current_, {});
    entry.evacuated.assign(evacuated_.begin(), evacuated_.end());
    return encode_table<wire::routing_entry>(entry);
}

absl::Status routing_register::restore(std::span<const std::uint8_t> snapshot)
{
    const auto decoded = decode_table<wire::routing_entry>(snapshot);
    if (!decoded.ok())
    {
        return unreadable_error();
    }
    auto filed = decode_entry(*decoded, {});
    if (!filed.ok())
    {
        return filed.status();
    }
    current_ = *std::move(filed);
    evacuated_ = {decoded->evacuated.begin(), decoded->evacuated.end()};
    return absl::OkStatus();
}

std::vector<std::uint8_t>
routing_register::encode_entry(const filed_configuration& configuration) const
{
    return encode_table<wire::routing_entry>(
        make_entry(configuration, current_));
}

absl::Status
routing_register::apply_evacuation(std::span<const std::uint8_t> entry)
{
    const auto decoded = decode_table<wire::evacuation_entry>(entry);
    if (!decoded.ok())
    {
        return unreadable_error();
    }
    if (decoded->active)
    {
        evacuated_.insert(decoded->failure_domain);
    }
    else
    {
        evacuated_.erase(decoded->failure_domain);
    }
    return absl::OkStatus();
}

std::vector<std::uint8_t> routing_register::encode_evacuation(
    std::string_view failure_domain, bool active)
{
    wire::evacuation_entry_msg entry;
    entry.failure_domain = failure_domain;
    entry.active = active;
    return encode_table<wire::evacuation_entry>(entry);
}

} // namespace hickorygap
