#ifndef HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_CHAIN_HPP
#define HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_CHAIN_HPP

#include "common/hashing.hpp"
#include "messages/codec.hpp"
#include "process/decision_record/decision_query.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace hickorygap
{

// Link that the first batch of an incarnation follows.
digest first_link(instance_id instance, incarnation_number incarnation);

// Fills in the batch's previous_chain and chain and returns the latter.
digest seal_batch(wire::decision_batch_msg& batch, const digest& previous);

// Consecutive batches of one chain.
struct chain_segment
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    // Link before the first batch and link of the last batch.
    digest previous{};
    digest chain{};

    // Whether the last batch ends the chain, see decision_reason::end_of_chain.
    bool ends = false;

    friend bool
    operator==(const chain_segment&, const chain_segment&) = default;
};

// The segment of one batch; nothing when its link does not match its
// content.
std::optional<chain_segment> segment_of(const wire::decision_batch_msg& batch);

// Knows which batches of all chains are held and that their links match.
// Memory grows with the number of gaps, not of batches.
class chain_index
{
public:
    enum class add_result
    {
        added,
        // Held before.
        duplicate,
        // The links of neighbours don't match: one of them was changed.
        mismatch
    };

    using chain_key = std::pair<instance_id, incarnation_number>;
    using chain_segments = std::map<std::uint64_t, chain_segment>;

    // What add() would return.
    add_result check(const chain_key& key, const chain_segment& segment) const;

    add_result add(const chain_key& key, const chain_segment& segment);

    // Adds all segments of another index, e.g. of another store. False when
    // one doesn't match.
    bool merge(const chain_index& other);

    // Batches that are missing before, between and after the segments.
    std::vector<decision_gap> gaps() const;

    const std::map<chain_key, chain_segments>& chains() const
    {
        return chains_;
    }

private:
    std::map<chain_key, chain_segments> chains_;
};

} // namespace hickorygap

#endif
