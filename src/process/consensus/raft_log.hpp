#ifndef HICKORYGAP_PROCESS_CONSENSUS_RAFT_LOG_HPP
#define HICKORYGAP_PROCESS_CONSENSUS_RAFT_LOG_HPP

#include "messages/codec.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace hickorygap
{

// Log entries in memory. Entries up to the base are dropped; only the index
// and the term of the base are known.
class raft_log
{
public:
    raft_log(
        std::uint64_t base_index, std::uint64_t base_term,
        std::vector<wire::log_entry_msg> entries);

    std::uint64_t base_index() const
    {
        return base_index_;
    }
    std::uint64_t last_index() const
    {
        return base_index_ + entries_.size();
    }
    std::uint64_t last_term() const;

    // Nothing when the index is before the base or after the last entry.
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;

    // The index must be after the base and not after the last entry.
    const wire::log_entry_msg& at(std::uint64_t index) const;

    // Index of the first kept entry with the same term as that at index.
    std::uint64_t first_of_term(std::uint64_t index) const;

    void append(wire::log_entry_msg entry);

    // Drops this entry and all later ones.
    void truncate_from(std::uint64_t index);

    // Drops all entries up to and including index.
    void drop_through(std::uint64_t index);

    // Drops everything and continues after the given position.
    void reset(std::uint64_t base_index, std::uint64_t base_term);

    // Copies of the entries from first on, until their data exceeds
    // max_bytes; at least one if there is one.
    std::vector<wire::log_entry_msg>
    copy_from(std::uint64_t first, std::size_t max_bytes) const;

private:
    std::uint64_t base_index_;
    std::uint64_t base_term_;
    std::deque<wire::log_entry_msg> entries_;
};

} // namespace hickorygap

#endif
