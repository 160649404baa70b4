#include "version/configuration/ticket_chain.hpp"

#include "common/error.hpp"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace hickorygap
{

namespace
{

constexpr absl::string_view next_free_payload_url =
    "hickorygap/next_free_number";

} // namespace

digest ticket_chain(
    const digest& previous, configuration_version number, unix_millis accepted,
    const digest& content_digest, std::span<const std::uint8_t> text)
{
    const std::string prefix =
        fmt::format("{} {} {} ", number, accepted, to_hex(content_digest));
    std::vector<std::uint8_t> bytes{prefix.begin(), prefix.end()};
    bytes.insert(bytes.end(), text.begin(), text.end());
    return chain_digest(previous, bytes);
}

digest ticket_chain(
    const digest& previous, const ticket_document& document,
    unix_millis accepted)
{
    const std::span text{
        reinterpret_cast<const std::uint8_t*>(document.text.data()),
        document.text.size()};
    return ticket_chain(
        previous, document.number, accepted, document.content_digest, text);
}

absl::Status make_ticket_conflict(
    configuration_version number, configuration_version next_free)
{
    absl::Status status = make_error(
        error_kind::ticket_conflict,
        fmt::format(
            "another ticket was accepted as number {} first; read it with "
            "hickorygap ticket show {}, then file yours as number {}",
            number, number, next_free));
    status.SetPayload(
        next_free_payload_url, absl::Cord{std::to_string(next_free)});
    return status;
}

std::optional<configuration_version>
next_free_number_of(const absl::Status& status)
{
    const auto payload = status.GetPayload(next_free_payload_url);
    configuration_version result = 0;
    if (!payload || !absl::SimpleAtoi(std::string{*payload}, &result))
    {
        return std::nullopt;
    }
    return result;
}

} // namespace hickorygap
