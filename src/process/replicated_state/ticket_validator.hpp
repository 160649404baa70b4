#ifndef HICKORYGAP_PROCESS_REPLICATED_STATE_TICKET_VALIDATOR_HPP
#define HICKORYGAP_PROCESS_REPLICATED_STATE_TICKET_VALIDATOR_HPP

#include "process/replicated_state/ticket_record.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>

namespace hickorygap
{

// Checks ticket documents against the configuration that earlier tickets
// define.
class ticket_validator
{
public:
    ticket_validator() = default;
    ticket_validator(const ticket_validator&) = delete;
    ticket_validator& operator=(const ticket_validator&) = delete;
    virtual ~ticket_validator() = default;

    // Checks the document as ticket `accepted.size() + 1`, on top of the
    // configuration that the accepted tickets define, and returns the digest of
    // its canonical form. Documents that differ only in form, such as white
    // space, have the same digest. The result must depend on the arguments
    // alone, because every voter repeats the check when it applies the ticket.
    // Error: error_kind::ticket_invalid, also when the document contains a
    // different number.
    virtual absl::StatusOr<digest> validate(
        std::span<const std::uint8_t> document,
        std::span<const ticket_record> accepted) const = 0;
};

} // namespace hickorygap

#endif
