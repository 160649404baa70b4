#include "process/decision_record/decision_chain.hpp"

#include "process/decision_record/decision_reason.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace hickorygap
{

namespace
{

constexpr auto end_reason =
    static_cast<std::uint8_t>(decision_reason::end_of_chain);

// Digest over the preceding digest and the encoded batch without its own
// digest.
digest
batch_digest(const wire::decision_batch_msg& batch, const digest& previous)
{
    wire::decision_batch_msg content = batch;
    content.chain.clear();
    return chain_digest(previous, encode_table<wire::decision_batch>(content));
}

std::optional<digest> to_digest(const std::vector<std::uint8_t>& bytes)
{
    digest result{};
    if (bytes.size() != result.size())
    {
        return std::nullopt;
    }
    std::copy(bytes.begin(), bytes.end(), result.begin());
    return result;
}

bool overlaps(const chain_segment& left, const chain_segment& right)
{
    return left.first <= right.last && right.first <= left.last;
}

} // namespace

digest
initial_chain_digest(instance_id instance, incarnation_number incarnation)
{
    return sha256(std::string_view{
        fmt::format("decisions {} {}", instance, incarnation)});
}

digest seal_batch(wire::decision_batch_msg& batch, const digest& previous)
{
    batch.previous_chain.assign(previous.begin(), previous.end());
    const digest chain = batch_digest(batch, previous);
    batch.chain.assign(chain.begin(), chain.end());
    return chain;
}

std::optional<chain_segment> segment_of(const wire::decision_batch_msg& batch)
{
    const auto previous = to_digest(batch.previous_chain);
    const auto chain = to_digest(batch.chain);
    if (!previous || !chain || batch.sequence == 0 ||
        batch_digest(batch, *previous) != *chain ||
        (batch.sequence == 1 &&
         *previous != initial_chain_digest(batch.instance, batch.incarnation)))
    {
        return std::nullopt;
    }
    const bool closes_chain =
        !batch.records.empty() && batch.records.back()->reason == end_reason;
    return chain_segment{
        batch.sequence, batch.sequence, *previous, *chain, closes_chain};
}

chain_index::add_result
chain_index::check(const chain_key& key, const chain_segment& segment) const
{
    const auto chain = chains_.find(key);
    if (chain == chains_.end())
    {
        return add_result::added;
    }
    const chain_segments& segments = chain->second;
    // Compare with the segments that follow and precede the new one.
    const auto after = segments.lower_bound(segment.first);
    if (after != segments.end())
    {
        const chain_segment& next = after->second;
        if (overlaps(next, segment))
        {
            return add_result::duplicate;
        }
        if (segment.closes_chain ||
            (segment.last + 1 == next.first && next.previous != segment.chain))
        {
            return add_result::mismatch;
        }
    }
    if (after != segments.begin())
    {
        const chain_segment& last = std::prev(after)->second;
        if (overlaps(last, segment))
        {
            return add_result::duplicate;
        }
        if (last.closes_chain ||
            (last.last + 1 == segment.first && last.chain != segment.previous))
        {
            return add_result::mismatch;
        }
    }
    return add_result::added;
}

chain_index::add_result
chain_index::add(const chain_key& key, const chain_segment& segment)
{
    const add_result result = check(key, segment);
    if (result != add_result::added)
    {
        return result;
    }
    chain_segments& segments = chains_[key];
    chain_segment merged = segment;
    const auto after = segments.find(segment.last + 1);
    if (after != segments.end())
    {
        merged.last = after->second.last;
        merged.chain = after->second.chain;
        merged.closes_chain = after->second.closes_chain;
        segments.erase(after);
    }
    const auto position = segments.lower_bound(segment.first);
    if (position != segments.begin() &&
        std::prev(position)->second.last + 1 == segment.first)
    {
        const auto before = std::prev(position);
        merged.first = before->second.first;
        merged.previous = before->second.previous;
        segments.erase(before);
    }
    segments.emplace(merged.first, merged);
    return result;
}

bool chain_index::merge(const chain_index& other)
{
    bool matches = true;
    for (const auto& [key, segments] : other.chains_)
    {
        for (const auto& [first, segment] : segments)
        {
            matches = add(key, segment) != add_result::mismatch && matches;
        }
    }
    return matches;
}

std::vector<decision_gap> chain_index::gaps() const
{
    std::vector<decision_gap> result;
    for (auto chain = chains_.begin(); chain != chains_.end(); ++chain)
    {
        const auto [instance, incarnation] = chain->first;
        std::uint64_t next = 1;
        bool closed = false;
        for (const auto& [first, segment] : chain->second)
        {
            if (segment.first > next)
            {
                result.push_back(
                    {instance, incarnation, next, segment.first - 1});
            }
            next = segment.last + 1;
            closed = segment.closes_chain;
        }
        // The instance has a later incarnation, so this one has ended without
        // closing its chain, and later batches may have been lost.
        const auto following = std::next(chain);
        if (!closed && following != chains_.end() &&
            following->first.first == instance)
        {
            result.push_back(
                {instance, incarnation, next, decision_gap::unknown_end});
        }
    }
    return result;
}

} // namespace hickorygap
