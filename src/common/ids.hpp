#ifndef HICKORYGAP_COMMON_IDS_HPP
#define HICKORYGAP_COMMON_IDS_HPP

#include <cstddef>
#include <cstdint>

namespace hickorygap
{

// Number of one of the fleet's own instances, unique in the fleet; each
// process takes it from its settings.
using instance_id = std::uint32_t;

// Start of a process, in microseconds of Unix time. A restarted instance has
// a higher incarnation than before.
using incarnation_number = std::uint64_t;

// The following identifiers are the 64-bit xxHash of the object's name, see
// hash_name. Zero stands for "none".
using backend_server_id = std::uint64_t;
using organisation_id = std::uint64_t;
using service_id = std::uint64_t;
using cell_id = std::uint64_t;

// Hash of the organisation and the chat's name, see hash_chat. Zero stands
// for a request that belongs to no chat.
using chat_id = std::uint64_t;

// Drawn at random by the entry router for each caller request.
using request_id = std::uint64_t;

// Number of the last ticket that a configuration contains. Zero is the empty
// configuration.
using configuration_version = std::uint64_t;

// Digest of a request's content, see fingerprint_of; equal requests have equal
// values.
using request_fingerprint = std::uint64_t;

// Importance of a request; lower values are served first.
enum class rank : std::uint8_t
{
    urgent = 0,
    normal = 1,
    background = 2
};

inline constexpr std::size_t rank_count = 3;

} // namespace hickorygap

#endif
