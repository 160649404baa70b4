#ifndef HICKORYGAP_PROCESS_REPLICATED_STATE_APPLY_RESULT_HPP
#define HICKORYGAP_PROCESS_REPLICATED_STATE_APPLY_RESULT_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "messages/codec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hickorygap
{

// Answer to a proposal.
struct apply_result
{
    // Tickets: accepted (also when filed again with the same content),
    // conflict, invalid. Intents: accepted (the request may run the call),
    // running, recorded, outcome_unknown, body_mismatch, expired, invalid.
    // Outcomes: accepted, conflict, expired (no such intent), invalid.
    wire::proposal_status status = wire::proposal_status::invalid;

    // Accepted tickets: the number, and when it was accepted first. Refused
    // tickets: the number of the last accepted ticket.
    configuration_version version = 0;
    unix_millis accepted = 0;

    // Reason and remedy of a refusal.
    std::string detail;

    // Accepted tickets: the document as first filed. Recorded calls: the
    // encoded wire::call_outcome.
    std::vector<std::uint8_t> recorded;

    friend bool operator==(const apply_result&, const apply_result&) = default;
};

} // namespace hickorygap

#endif
