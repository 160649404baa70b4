#ifndef HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_REASON_HPP
#define HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_REASON_HPP

#include "messages/codec.hpp"

#include <cstdint>
#include <string>

namespace hickorygap
{

// Values of decision_record.reason. They are stored on disk, so the meaning of
// a value must never change.
enum class decision_reason : std::uint8_t
{
    unknown = 0,
    // The chat directory names this backend server for the chat.
    directory = 1,
    // The backend server that ranks first by the chat's hash.
    hash = 2,
    // The least loaded backend server.
    least_loaded = 3,
    // Placed in the chat's second cell, because the first was full.
    spillover = 4,
    // Placed alone on a backend server, to find out whether this request is the
    // one that crashes servers.
    isolated = 5,
    // Placed by the entry router itself, because the cell's owner was
    // unreachable.
    owner_unreachable = 6,
    // Not a placement: the record holds the outcome of a granted attempt.
    ended = 7,
    // A refusal has the value 100 plus its wire::refusal_reason.
    first_refusal = 100,
    // Not a placement: the instance shut down after this record.
    end_of_chain = 254,
    // Not a placement: records were dropped here because the buffer was full.
    // `request` holds their number, `unix_ms` the time of the first.
    gap = 255
};

// Value of decision_record.reason for a refusal.
std::uint8_t reason_of(wire::refusal_reason refusal);

// Value of decision_record.outcome for an attempt that has ended. Zero, which
// this never returns, means that the outcome was unknown when the record was
// made.
std::uint8_t outcome_of(wire::attempt_outcome outcome);

// Names for JSON output; the decimal number for values without a name.
std::string decision_reason_name(std::uint8_t reason);
std::string decision_outcome_name(std::uint8_t outcome);

} // namespace hickorygap

#endif
