#include "process/decision_record/record_frames.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace hickorygap
{

namespace
{

// Alignment in bytes of the content, because FlatBuffers reads 64-bit fields in
// place.
constexpr std::size_t alignment = 8;
constexpr std::size_t length_size = alignment;
constexpr std::size_t header_size = length_size + sizeof(std::uint64_t);

std::size_t frame_size(std::size_t content_size)
{
    return header_size + (content_size + alignment - 1) / alignment * alignment;
}

// Length of the longest tail that is taken for an interrupted write. A batch is
// at most one frame of the protocol between instances long, 1 MiB.
constexpr std::size_t max_torn_bytes = 1024UL * 1024;

// Returns the content of the frame at the start of the data; empty when there
// is no valid frame.
std::span<const std::uint8_t> content_at(std::span<const std::uint8_t> data)
{
    std::uint64_t length = 0;
    std::uint64_t checksum = 0;
    if (data.size() < header_size)
    {
        return {};
    }
    std::memcpy(&length, data.data(), sizeof length);
    std::memcpy(&checksum, data.data() + length_size, sizeof checksum);
    if (length == 0 || length > data.size() || frame_size(length) > data.size())
    {
        return {};
    }
    const auto content = data.subspan(header_size, length);
    return XXH3_64bits(content.data(), content.size()) == checksum
               ? content
               : std::span<const std::uint8_t>{};
}

// Distinguishes an interrupted write from damage. A crash invalidates at most
// the frames since the last sync: a short tail without any valid frame. After a
// damaged frame in the middle of the file there are valid frames.
frames_tail classify_tail(std::span<const std::uint8_t> rest)
{
    if (rest.empty())
    {
        return frames_tail::clean;
    }
    if (rest.size() > max_torn_bytes)
    {
        return frames_tail::damaged;
    }
    for (std::size_t i = alignment; i < rest.size(); i += alignment)
    {
        if (!content_at(rest.subspan(i)).empty())
        {
            return frames_tail::damaged;
        }
    }
    return frames_tail::torn;
}

} // namespace

std::vector<std::uint8_t> make_frame(std::span<const std::uint8_t> content)
{
    const std::uint64_t length = content.size();
    const std::uint64_t checksum = XXH3_64bits(content.data(), content.size());
    std::vector<std::uint8_t> frame(frame_size(content.size()));
    std::memcpy(frame.data(), &length, sizeof length);
    std::memcpy(frame.data() + length_size, &checksum, sizeof checksum);
    std::copy(content.begin(), content.end(), frame.begin() + header_size);
    return frame;
}

frames_result read_frames(
    std::span<const std::uint8_t> data,
    const std::function<void(std::span<const std::uint8_t>)>& visit)
{
    frames_result result;
    while (true)
    {
        const auto rest = data.subspan(result.valid_bytes);
        const auto content = content_at(rest);
        if (content.empty())
        {
            result.tail = classify_tail(rest);
            return result;
        }
        visit(content);
        result.valid_bytes += frame_size(content.size());
    }
}

} // namespace hickorygap
