#ifndef HICKORYGAP_PROCESS_CONTROL_DOCUMENT_VALIDATOR_HPP
#define HICKORYGAP_PROCESS_CONTROL_DOCUMENT_VALIDATOR_HPP

#include "process/replicated_state/ticket_validator.hpp"
#include "version/configuration/configuration.hpp"

namespace hickorygap
{

// Checks a ticket against the configuration that the accepted tickets define.
// Used by the control thread only.
class document_validator final : public ticket_validator
{
public:
    absl::StatusOr<digest> validate(
        std::span<const std::uint8_t> document,
        std::span<const ticket_record> accepted) const override;

private:
    absl::StatusOr<configuration_ptr>
    configuration_after(std::span<const ticket_record> accepted) const;

    // Cache of the configuration after the ticket with this chain digest.
    // Without it each check would replay the whole history, and filing ticket
    // n would take time proportional to n.
    mutable digest cached_chain_{};
    mutable configuration_ptr cached_;
};

} // namespace hickorygap

#endif
