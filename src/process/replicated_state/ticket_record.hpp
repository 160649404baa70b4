#ifndef HICKORYGAP_PROCESS_REPLICATED_STATE_TICKET_RECORD_HPP
#define HICKORYGAP_PROCESS_REPLICATED_STATE_TICKET_RECORD_HPP

#include "common/hashing.hpp"
#include "common/ids.hpp"
#include "common/time.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <span>
#include <vector>

namespace hickorygap
{

// An accepted ticket.
struct ticket_record
{
    configuration_version number = 0;

    // The document as first filed.
    std::vector<std::uint8_t> document;

    // Digest of the document's canonical form, see ticket_validator.
    digest canonical_digest{};

    // When the leader received the ticket; never earlier than the previous one.
    unix_millis accepted = 0;

    // Hash over the previous ticket's chain value and this record.
    digest chain{};

    friend bool
    operator==(const ticket_record&, const ticket_record&) = default;
};

// Chain value of a record; `previous` is all zeros for the first ticket.
digest ticket_chain(const digest& previous, const ticket_record& record);

// Verifies a history that starts with ticket 1: consecutive numbers, times in
// order, and chain values. Error: error_kind::storage_damaged, naming the first
// invalid ticket.
absl::Status verify_chain(std::span<const ticket_record> history);

} // namespace hickorygap

#endif
