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

// Selects decision records. Zero for an identifier selects all.
struct decision_query
{
    organisation_id organisation = 0;
    chat_id chat = 0;

    // Both ends included.
    unix_millis from = 0;
    unix_millis to = std::numeric_limits<unix_millis>::max();
    std::size_t limit = 100;
};

// One record with its place in the chain of the instance that made it.
struct stored_decision
{
    instance_id instance = 0;
    incarnation_number incarnation = 0;
    std::uint64_t sequence = 0;
    wire::decision_record_msg record;
};

// Batches of one chain that a store doesn't hold, both ends included.
struct decision_gap
{
    // Last sequence of a gap whose end nobody knows: the instance restarted
    // without closing the chain, so batches may have been lost with it.
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

    // Names of organisations and backend servers that the records mention,
    // as far as the configuration in force has them.
    std::map<std::uint64_t, std::string> names;

    // True when more records match than the limit allows.
    bool truncated = false;
};

} // namespace hickorygap

#endif
