#ifndef HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_REASON_HPP
#define HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_REASON_HPP

#include "messages/codec.hpp"

#include <cstdint>
#include <string>

namespace hickorygap
{

// Values of decision_record.reason. They stand in stored records, so they
// never change their meaning.
enum class decision_reason : std::uint8_t
{
    unknown = 0,
    // The directory named the backend server for the chat.
    directory = 1,
    // First choice of the chat's hash.
    hash = 2,
    // Least loaded backend server.
    least_loaded = 3,
    // The chat's second cell, because the first was full.
    spillover = 4,
    // Alone on a backend server, to confirm a suspicion.
    isolated = 5,
    // Placed by the entry router, because the cell's owner was unreachable.
    owner_unreachable = 6,
    // No placement: the record tells how a granted attempt ended.
    ended = 7,
    // Refusals have the value 100 plus wire::refusal_reason.
    first_refusal = 100,
    // Marks of the chain itself, no placements: the instance shut down after
    // this record; records were dropped here because the buffer was full
    // (`request` holds their number, `unix_ms` the time of the first).
    end_of_chain = 254,
    gap = 255
};

// Value of decision_record.reason for a refusal.
std::uint8_t reason_of(wire::refusal_reason refusal);

// Value of decision_record.outcome for an attempt that has ended; zero stands
// for an outcome that was not known when the record was made.
std::uint8_t outcome_of(wire::attempt_outcome outcome);

// Names for people and JSON; the number for values that have no name.
std::string decision_reason_name(std::uint8_t reason);
std::string decision_outcome_name(std::uint8_t outcome);

} // namespace hickorygap

#endif
