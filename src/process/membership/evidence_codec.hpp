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

// What one instance reports to another about a third one.
struct evidence_entry
{
    instance_id instance = 0;

    // Time since the last evidence that the instance was running; nothing when
    // that is longer than max_evidence_age or there never was any.
    std::optional<duration> age;

    // Whether the instance is known to have applied the configuration version
    // that the message states.
    bool applied = false;

    friend bool
    operator==(const evidence_entry&, const evidence_entry&) = default;
};

// Resolution of encoded ages. They are rounded up, never down, so that relayed
// evidence never looks fresher than it is.
inline constexpr duration evidence_step{std::chrono::milliseconds{100}};
inline constexpr duration max_evidence_age = evidence_step * 254;

// Encodes entries, which must be sorted by instance, as runs of consecutive
// ids: gap to the first id, twice the length of the run, one byte per age, and
// one bit per applied flag. The bits are omitted, and the doubled length is
// raised by one, when all flags are set, which is the normal case between
// tickets. 380 consecutive ids take 383 bytes without the bits and 431 with
// them.
std::vector<std::uint8_t>
encode_evidence(std::span<const evidence_entry> entries);

// Errors: invalid_request when the bytes end early or an id overflows.
absl::StatusOr<std::vector<evidence_entry>>
decode_evidence(std::span<const std::uint8_t> data);

} // namespace hickorygap

#endif
