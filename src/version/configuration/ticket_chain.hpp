#ifndef HICKORYGAP_VERSION_CONFIGURATION_TICKET_CHAIN_HPP
#define HICKORYGAP_VERSION_CONFIGURATION_TICKET_CHAIN_HPP

#include "version/configuration/ticket.hpp"

#include <absl/status/status.h>

#include <optional>
#include <span>

namespace hickorygap
{

// An accepted ticket with its position in the hash chain.
struct accepted_ticket
{
    ticket_document document;
    unix_millis accepted = 0;

    // Hash chain value over all tickets up to this one.
    digest chain{};
};

// Hash chain value after a ticket: SHA-256 over the previous value and
// "<number> <accepted ms> <content digest> <text>". The chain starts with
// zeros. Voters, the distribution of versions to instances and the operators'
// tools verify the same chain.
digest ticket_chain(
    const digest& previous, configuration_version number, unix_millis accepted,
    const digest& content_digest, std::span<const std::uint8_t> text);
digest ticket_chain(
    const digest& previous, const ticket_document& document,
    unix_millis accepted);

// Error of kind ticket_conflict, for a ticket whose number was already taken by
// another accepted ticket. Carries the next free number as a status payload.
absl::Status make_ticket_conflict(
    configuration_version number, configuration_version next_free);

// The next free number in the payload of an error; nullopt when it has none.
std::optional<configuration_version>
next_free_number_of(const absl::Status& status);

} // namespace hickorygap

#endif
