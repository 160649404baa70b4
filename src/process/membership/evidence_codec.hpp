#ifndef HICKORYGAP_PROCESS_MEMBERSHIP_EVIDENCE_CODEC_HPP
#define HICKORYGAP_PROCESS_MEMBERSHIP_EVIDENCE_CODEC_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hickorygap
{

// What one instance tells another about a third one.
struct evidence_entry
{
    instance_id instance = 0;

    // Time since there was proof that the instance ran; nothing when there is
    // none within max_evidence_age.
    std::optional<duration> age;

    // Whether it is known to have applied the version of the message.
    bool applied = false;

    friend bool
    operator==(const evidence_entry&, const evidence_entry&) = default;
};

// Ages are rounded up to the next step, never down, so that relayed evidence
// never looks fresher than it is.
inline constexpr duration evidence_step{std::chrono::milliseconds{100}};
inline constexpr duration max_evidence_age = evidence_step * 254;

// Encodes entries sorted by instance as runs of consecutive ids: gap to the
// first id, twice the length, one byte per age, and one bit per applied flag.
// The bits are left out, and the doubled length is raised by one, when all
// flags are set, as they are between tickets. 380 consecutive ids take 383 or
// 431 bytes.
std::vector<std::uint8_t>
encode_evidence(std::span<const evidence_entry> entries);

// Errors: invalid_request when the bytes end early or an id overflows.
absl::StatusOr<std::vector<evidence_entry>>
decode_evidence(std::span<const std::uint8_t> data);

} // namespace hickorygap

#endif
