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

// Result of applying a proposal to the state machine.
struct apply_result
{
    // Possible values by kind of proposal:
    // - Tickets: accepted (also when filed again with the same content),
    //   conflict, invalid.
    // - Call intents: accepted (the request may run the call), running,
    //   recorded, outcome_unknown, body_mismatch, expired, invalid.
    // - Call outcomes: accepted, conflict, expired (no such intent), invalid.
    wire::proposal_status status = wire::proposal_status::invalid;

    // Accepted tickets: the ticket's number, and when it was first accepted.
    // Refused tickets: the number of the last accepted ticket, and zero.
    configuration_version version = 0;
    unix_millis accepted = 0;

    // Refusals: the reason and a remedy.
    std::string detail;

    // Accepted tickets: the document as first filed. Recorded calls: the
    // encoded wire::call_outcome.
    std::vector<std::uint8_t> recorded;

    friend bool operator==(const apply_result&, const apply_result&) = default;
};

} // namespace hickorygap

#endif
