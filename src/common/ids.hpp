#ifndef HICKORYGAP_COMMON_IDS_HPP
#define HICKORYGAP_COMMON_IDS_HPP

#include <cstddef>
#include <cstdint>

namespace hickorygap
{

// Number of an instance, unique in the fleet; each process reads its own from
// its settings.
using instance_id = std::uint32_t;

// Start time of a process, in microseconds of Unix time, so that an instance
// has a higher incarnation after each restart.
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

// Random number that the entry router assigns to each caller's request.
using request_id = std::uint64_t;

// Number of the last ticket that a configuration includes; zero for the empty
// configuration.
using configuration_version = std::uint64_t;

// Hash of a request's content, see fingerprint_of(); equal requests have equal
// fingerprints.
using request_fingerprint = std::uint64_t;

// Identifier of a part of a prompt, as callers name it.
using prompt_part_id = std::uint64_t;

// Priority of a request; lower values are served first.
enum class rank : std::uint8_t
{
    urgent = 0,
    normal = 1,
    background = 2
};

inline constexpr std::size_t rank_count = 3;

} // namespace hickorygap

#endif
