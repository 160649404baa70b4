#ifndef HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_QUERY_HPP
#define HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_QUERY_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "messages/codec.hpp"

#include <cstddef>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace hickorygap
{

// Selects decision records. An identifier of zero matches all records.
struct decision_query
{
    organisation_id organisation = 0;
    chat_id chat = 0;

    // Both bounds are inclusive.
    unix_millis from = 0;
    unix_millis to = std::numeric_limits<unix_millis>::max();
    std::size_t limit = 100;
};

// One record with the instance that made it and the sequence number of its
// batch in that instance's chain.
struct stored_decision
{
    instance_id instance = 0;
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;
    wire::decision_record_msg record;
};

// Range of sequence numbers, both inclusive, of the batches of one chain that a
// store doesn't hold.
struct decision_gap
{
    // last_sequence of a gap with an unknown end: the instance restarted
    // without closing the chain, so batches that were not yet shipped may have
    // been lost.
    static constexpr std::uint64_t unknown_end =
        std::numeric_limits<std::uint64_t>::max();

    instance_id instance = 0;
    incarnation_number incarnation = 0;
    std::uint64_t first_sequence = 0;
    std::uint64_t last_sequence = 0;

    friend bool operator==(const decision_gap&, const decision_gap&) = default;
};

struct decision_list
{
    // Oldest first.
    std::vector<stored_decision> decisions;
    std::vector<decision_gap> gaps;

    // Names, by identifier, of the organisations and backend servers that the
    // records refer to. Those that the current configuration no longer contains
    // are absent.
    std::map<std::uint64_t, std::string> names;

    // True when more records match than decision_query::limit.
    bool truncated = false;
};

} // namespace hickorygap

#endif
