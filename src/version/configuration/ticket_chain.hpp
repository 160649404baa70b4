#ifndef HICKORYGAP_VERSION_CONFIGURATION_TICKET_CHAIN_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_TICKET_CHAIN_HPP

#include "version/configuration/ticket.hpp"

#include <absl/status/status.h>

#include <optional>
#include <span>

namespace hickorygap
{

// An accepted ticket as operators read it back.
struct accepted_ticket
{
    ticket_document document;
    unix_millis accepted = 0;

    // Link of the hash chain over all tickets up to this one.
    digest chain{};
};

// Link of the chain after a ticket: SHA-256 over the previous link and
// "<number> <accepted ms> <content digest> <text>". The chain starts with
// zeros. Voters, the spread of versions and operators all check this one.
digest ticket_chain(
    const digest& previous, configuration_version number, unix_millis accepted,
    const digest& content_digest, std::span<const std::uint8_t> text);
digest ticket_chain(
    const digest& previous, const ticket_document& document,
    unix_millis accepted);

// Error of kind ticket_conflict: another ticket was accepted under the
// number first. Carries the next free number.
absl::Status make_ticket_conflict(
    configuration_version number, configuration_version next_free);

// The next free number that an error carries.
std::optional<configuration_version>
next_free_number_of(const absl::Status& status);

} // namespace hickorygap

#endif
