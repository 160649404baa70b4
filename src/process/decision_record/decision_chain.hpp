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

// Value that takes the place of a preceding batch's digest in the first batch
// of an incarnation.
digest
initial_chain_digest(instance_id instance, incarnation_number incarnation);

// Sets previous_chain to `previous`, sets chain to the digest of the batch and
// returns that digest.
digest seal_batch(wire::decision_batch_msg& batch, const digest& previous);

// Consecutive batches of one hash chain. Each instance writes one chain per
// incarnation; each batch names the digest of the batch before it.
struct chain_segment
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    // Digest that the first batch follows, and digest of the last batch.
    digest previous{};
    digest chain{};

    // Whether the last batch closes the chain, see
    // decision_reason::end_of_chain.
    bool closes_chain = false;

    friend bool
    operator==(const chain_segment&, const chain_segment&) = default;
};

// The segment that consists of one batch; nullopt when the batch's digest does
// not match its content.
std::optional<chain_segment> segment_of(const wire::decision_batch_msg& batch);

// Index of the batches held from all chains; checks that the digests of
// adjacent batches match. Adjacent batches are merged into one segment, so
// memory grows with the number of gaps, not of batches.
class chain_index
{
public:
    enum class add_result
    {
        added,
        // Already in the index.
        duplicate,
        // The digests of adjacent batches don't match, so one of them was
        // altered; or the batch follows the closed end of its chain.
        mismatch
    };

    using chain_key = std::pair<instance_id, incarnation_number>;
    using chain_segments = std::map<std::uint64_t, chain_segment>;

    // Result that add() would return; adds nothing.
    add_result check(const chain_key& key, const chain_segment& segment) const;

    add_result add(const chain_key& key, const chain_segment& segment);

    // Adds all segments of another index, e.g. of another store. False when any
    // of them is a mismatch; the others are added nevertheless.
    bool merge(const chain_index& other);

    // Batches that are missing before and between the segments, and after the
    // last segment of a chain that was not closed before its instance
    // restarted.
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
