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

// The content without the batch's own link is what the link covers.
digest link_of(const wire::decision_batch_msg& batch, const digest& previous)
{
    wire::decision_batch_msg content = batch;
    content.chain.clear();
    return chain_digest(previous, encode_table<wire::decision_batch>(content));
}

std::optional<digest> digest_of(const std::vector<std::uint8_t>& bytes)
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

digest first_link(instance_id instance, incarnation_number incarnation)
{
    return sha256(std::string_view{
        fmt::format("decisions {} {}", instance, incarnation)});
}

digest seal_batch(wire::decision_batch_msg& batch, const digest& previous)
{
    batch.previous_chain.assign(previous.begin(), previous.end());
    const digest link = link_of(batch, previous);
    batch.chain.assign(link.begin(), link.end());
    return link;
}

std::optional<chain_segment> segment_of(const wire::decision_batch_msg& batch)
{
    const auto previous = digest_of(batch.previous_chain);
    const auto chain = digest_of(batch.chain);
    if (!previous || !chain || batch.sequence == 0 ||
        link_of(batch, *previous) != *chain ||
        (batch.sequence == 1 &&
         *previous != first_link(batch.instance, batch.incarnation)))
    {
        return std::nullopt;
    }
    const bool ends =
        !batch.records.empty() && batch.records.back()->reason == end_reason;
    return chain_segment{
        batch.sequence, batch.sequence, *previous, *chain, ends};
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
    // The neighbours of the new segment.
    const auto after = segments.lower_bound(segment.first);
    if (after != segments.end())
    {
        const chain_segment& next = after->second;
        if (overlaps(next, segment))
        {
            return add_result::duplicate;
        }
        if (segment.ends ||
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
        if (last.ends ||
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
    chain_segment joined = segment;
    const auto after = segments.find(segment.last + 1);
    if (after != segments.end())
    {
        joined.last = after->second.last;
        joined.chain = after->second.chain;
        joined.ends = after->second.ends;
        segments.erase(after);
    }
    const auto behind = segments.lower_bound(segment.first);
    if (behind != segments.begin() &&
        std::prev(behind)->second.last + 1 == segment.first)
    {
        const auto before = std::prev(behind);
        joined.first = before->second.first;
        joined.previous = before->second.previous;
        segments.erase(before);
    }
    segments.emplace(joined.first, joined);
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
        bool ended = false;
        for (const auto& [first, segment] : chain->second)
        {
            if (segment.first > next)
            {
                result.push_back(
                    {instance, incarnation, next, segment.first - 1});
            }
            next = segment.last + 1;
            ended = segment.ends;
        }
        // A later incarnation shows that this one is over.
        const auto following = std::next(chain);
        if (!ended && following != chains_.end() &&
            following->first.first == instance)
        {
            result.push_back(
                {instance, incarnation, next, decision_gap::unknown_end});
        }
    }
    return result;
}

} // namespace hickorygap
