#ifndef HICKORYGAP_COMMON_HASHING_HPP
#define HICKORYGAP_COMMON_HASHING_HPP

#include "common/ids.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hickorygap
{

// SHA-256 digest.
using digest = std::array<std::uint8_t, 32>;

// 64-bit xxHash (XXH3) of a name. Never zero, which stands for "none".
std::uint64_t hash_name(std::string_view name);

// Identifier of a chat: XXH3 of its name, seeded with the organisation, so that
// chats of the same name in different organisations have different identifiers
// except for collisions of the 64-bit hash. Never zero.
chat_id hash_chat(organisation_id organisation, std::string_view chat);

// Score of a node for a key in rendezvous hashing.
std::uint64_t rendezvous_score(std::uint64_t key, std::uint64_t node);

digest sha256(std::span<const std::uint8_t> data);
digest sha256(std::string_view data);

// SHA-256 of the previous digest of a hash chain followed by the data.
digest chain_digest(const digest& previous, std::span<const std::uint8_t> data);

// Formats bytes as lower-case hexadecimal digits.
std::string to_hex(std::span<const std::uint8_t> data);

// Parses a digest of 64 hexadecimal digits; nullopt for other text.
std::optional<digest> parse_digest(std::string_view text);

} // namespace hickorygap

#endif
