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

// State that the entries of the replicated log build up: the history of
// tickets and the records of non-repeatable calls. Every voter that applies
// the same entries has the same state.
class state_machine
{
public:
    state_machine(
        call_record_options options,
        std::shared_ptr<const ticket_validator> validator);

    // The answer to a proposal as far as it needs no new log entry; nothing
    // when an entry must be appended and applied. Valid only once a quorum
    // confirmed that this state is current.
    std::optional<apply_result>
    answer(wire::entry_kind kind, std::span<const std::uint8_t> data) const;

    // Applies the next committed entry. Entries that were applied already are
    // ignored.
    apply_result apply(const wire::log_entry_msg& entry);

    std::vector<std::uint8_t> snapshot() const;

    // Replaces the state. Error: error_kind::storage_damaged, then the state
    // is unchanged.
    absl::Status restore(std::span<const std::uint8_t> data);

    // Accepted tickets; ticket n stands at index n - 1.
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

    // Last value of the hash chain over all intents and outcomes applied.
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

    // Latest time in the entries applied; the clocks of leaders may differ.
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
