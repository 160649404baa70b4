#ifndef HICKORYGAP_PROCESS_REPLICATED_STATE_STATE_MACHINE_HPP
#define HICKORYGAP_PROCESS_REPLICATED_STATE_STATE_MACHINE_HPP

#include "process/replicated_state/apply_result.hpp"
#include "process/replicated_state/call_records.hpp"
#include "process/replicated_state/ticket_record.hpp"
#include "process/replicated_state/ticket_validator.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace hickorygap
{

// Replicated state machine: the history of tickets and the records of
// non-idempotent calls. It is deterministic, so all voters that have applied
// the same log entries have the same state.
class state_machine
{
public:
    state_machine(
        call_record_options options,
        std::shared_ptr<const ticket_validator> validator);

    // Returns the answer to a proposal that needs no new log entry, or nothing
    // when an entry must be appended and applied. Valid only once a quorum has
    // confirmed that this state is current.
    std::optional<apply_result>
    answer(wire::entry_kind kind, std::span<const std::uint8_t> data) const;

    // Applies the next committed entry. An entry that was already applied is
    // ignored.
    apply_result apply(const wire::log_entry_msg& entry);

    std::vector<std::uint8_t> snapshot() const;

    // Replaces the state by that of a snapshot. Error:
    // error_kind::storage_damaged; the state is then unchanged.
    absl::Status restore(std::span<const std::uint8_t> data);

    // Accepted tickets; ticket n is at index n - 1.
    std::span<const ticket_record> tickets() const
    {
        return tickets_;
    }

    // Number of the last accepted ticket.
    configuration_version version() const
    {
        return tickets_.size();
    }
    std::uint64_t applied_index() const
    {
        return applied_index_;
    }
    const call_records& calls() const
    {
        return calls_;
    }

    // Current value of the hash chain over all applied intents and outcomes.
    const digest& call_chain() const
    {
        return call_chain_;
    }

private:
    std::optional<apply_result>
    answer_ticket(const wire::ticket_entry_msg& ticket) const;
    apply_result accepted(const ticket_record& record) const;
    apply_result apply_ticket(std::span<const std::uint8_t> data);
    apply_result apply_intent(std::span<const std::uint8_t> data);
    apply_result apply_outcome(std::span<const std::uint8_t> data);

    // Advances the time of the state to that of an entry and returns it. The
    // time never goes back, although the clocks of successive leaders differ.
    unix_millis advance_time(unix_millis time);

    std::shared_ptr<const ticket_validator> validator_;
    std::uint64_t applied_index_ = 0;
    unix_millis last_time_ = 0;
    std::vector<ticket_record> tickets_;
    call_records calls_;
    digest call_chain_{};
};

} // namespace hickorygap

#endif
