#ifndef HICKORYGAP_PROCESS_DECISION_RECORD_RECORD_FRAMES_HPP
#define HICKORYGAP_PROCESS_DECISION_RECORD_RECORD_FRAMES_HPP

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace hickorygap
{

// Frames of the record files: length (8 bytes), xxHash (8 bytes), content,
// zeros up to a multiple of 8 bytes.

// One frame around the content.
std::vector<std::uint8_t> make_frame(std::span<const std::uint8_t> content);

// What follows the last valid frame.
enum class frames_tail
{
    // Nothing.
    clean,
    // A frame whose writing was interrupted; it was never acknowledged.
    torn,
    // Something else.
    damaged
};

struct frames_result
{
    // Length of all valid frames.
    std::uint64_t valid_bytes = 0;
    frames_tail tail = frames_tail::clean;
};

// Calls `visit` with the content of each valid frame up to the first invalid
// one.
frames_result read_frames(
    std::span<const std::uint8_t> data,
    const std::function<void(std::span<const std::uint8_t>)>& visit);

} // namespace hickorygap

#endif
