#ifndef HICKORYGAP_PROCESS_DECISION_RECORD_RECORD_FRAMES_HPP
#define HICKORYGAP_PROCESS_DECISION_RECORD_RECORD_FRAMES_HPP

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace hickorygap
{

// Returns the content as one frame of a record file: length of the content (8
// bytes), XXH3 of the content (8 bytes), content, and zeros up to a multiple of
// 8 bytes.
std::vector<std::uint8_t> make_frame(std::span<const std::uint8_t> content);

// State of the bytes after the last valid frame.
enum class frames_tail
{
    // There are none.
    clean,
    // Frames whose write was interrupted; they were never acknowledged.
    torn,
    // Anything else.
    damaged
};

struct frames_result
{
    // Total length of the valid frames, in bytes.
    std::uint64_t valid_bytes = 0;
    frames_tail tail = frames_tail::clean;
};

// Calls `visit` with the content of each frame up to the first invalid one.
frames_result read_frames(
    std::span<const std::uint8_t> data,
    const std::function<void(std::span<const std::uint8_t>)>& visit);

} // namespace hickorygap

#endif
