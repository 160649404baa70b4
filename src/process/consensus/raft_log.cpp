#include "process/consensus/raft_log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorygap
{

raft_log::raft_log(
    std::uint64_t base_index, std::uint64_t base_term,
    std::vector<wire::log_entry_msg> entries)
    : base_index_{base_index}
    , base_term_{base_term}
    , entries_{
          std::make_move_iterator(entries.begin()),
          std::make_move_iterator(entries.end())}
{
}

std::uint64_t raft_log::last_term() const
{
    return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<std::uint64_t> raft_log::term_at(std::uint64_t index) const
{
    if (index == base_index_)
    {
        return base_term_;
    }
    if (index < base_index_ || index > last_index())
    {
        return std::nullopt;
    }
    return at(index).term;
}

const wire::log_entry_msg& raft_log::at(std::uint64_t index) const
{
    return entries_[index - base_index_ - 1];
}

std::uint64_t raft_log::first_of_term(std::uint64_t index) const
{
    const std::uint64_t term = at(index).term;
    while (index > base_index_ + 1 && at(index - 1).term == term)
    {
        --index;
    }
    return index;
}

void raft_log::append(wire::log_entry_msg entry)
{
    entries_.push_back(std::move(entry));
}

void raft_log::truncate_from(std::uint64_t index)
{
    while (last_index() >= index && !entries_.empty())
    {
        entries_.pop_back();
    }
}

void raft_log::drop_through(std::uint64_t index)
{
    while (base_index_ < index && !entries_.empty())
    {
        base_term_ = entries_.front().term;
        ++base_index_;
        entries_.pop_front();
    }
}

void raft_log::reset(std::uint64_t base_index, std::uint64_t base_term)
{
    base_index_ = base_index;
    base_term_ = base_term;
    entries_.clear();
}

std::vector<wire::log_entry_msg>
raft_log::copy_from(std::uint64_t first, std::size_t max_bytes) const
{
    // Bytes of index, term and FlatBuffers tables that an entry adds to its
    // data.
    constexpr std::size_t entry_overhead_bytes = 64;
    std::vector<wire::log_entry_msg> copies;
    std::size_t bytes = 0;
    for (std::uint64_t index = std::max(first, base_index_ + 1);
         index <= last_index(); ++index)
    {
        const wire::log_entry_msg& entry = at(index);
        bytes += entry.data.size() + entry_overhead_bytes;
        if (!copies.empty() && bytes > max_bytes)
        {
            break;
        }
        copies.push_back(entry);
    }
    return copies;
}

} // namespace hickorygap
