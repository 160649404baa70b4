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

// 64-bit xxHash of a name. Never returns zero, which stands for "none".
std::uint64_t hash_name(std::string_view name);

// Identifier of a chat; chats of different organisations never share one
// except by collision of the 64-bit hash.
chat_id hash_chat(organisation_id organisation, std::string_view chat);

// Mixes two identifiers into a score for rendezvous hashing.
std::uint64_t rendezvous_score(std::uint64_t key, std::uint64_t node);

// SHA-256 of the data.
digest sha256(std::span<const std::uint8_t> data);
digest sha256(std::string_view data);

// SHA-256 over the previous link and the data, for hash chains.
digest chain_digest(const digest& previous, std::span<const std::uint8_t> data);

// Lower-case hexadecimal form.
std::string to_hex(std::span<const std::uint8_t> data);

// Digest from its hexadecimal form of 64 digits; nothing for other text.
std::optional<digest> parse_digest(std::string_view text);

} // namespace hickorygap

#endif
