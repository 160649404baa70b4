#ifndef HICKORYGAP_PROCESS_CONSENSUS_RAFT_LOG_HPP
#define HICKORYGAP_PROCESS_CONSENSUS_RAFT_LOG_HPP

#include "messages/codec.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace hickorygap
{

// Log entries in memory. Entries up to and including the base index are
// dropped; of the last dropped one the index and the term are kept.
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

    // Returns nothing when the index is before the base or after the last
    // entry.
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;

    // The index must be after the base and not after the last entry.
    const wire::log_entry_msg& at(std::uint64_t index) const;

    // Index of the first entry in memory that has the term of the one at index.
    std::uint64_t first_of_term(std::uint64_t index) const;

    void append(wire::log_entry_msg entry);

    // Drops the entry at index and all later ones.
    void truncate_from(std::uint64_t index);

    // Drops all entries up to and including index.
    void drop_through(std::uint64_t index);

    // Drops all entries; the next one appended follows the given base.
    void reset(std::uint64_t base_index, std::uint64_t base_term);

    // Copies the entries from first on, up to max_bytes including their
    // overhead, but at least one when there is one.
    std::vector<wire::log_entry_msg>
    copy_from(std::uint64_t first, std::size_t max_bytes) const;

private:
    std::uint64_t base_index_;
    std::uint64_t base_term_;
    std::deque<wire::log_entry_msg> entries_;
};

} // namespace hickorygap

#endif
