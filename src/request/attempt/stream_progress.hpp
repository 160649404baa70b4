#ifndef HICKORYGAP_REQUEST_ATTEMPT_STREAM_PROGRESS_HPP
#define HICKORYGAP_REQUEST_ATTEMPT_STREAM_PROGRESS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Tracks which events of a streamed response have reached the caller, across
// all attempts. Stores a 64-bit hash for each event instead of its text.
class stream_progress
{
public:
    enum class step
    {
        // New to the caller.
        forward,
        // The caller already has it from an earlier attempt.
        skip,
        // Differs from the event that the caller has; the stream can't be
        // continued.
        mismatch
    };

    // Number of events that the caller has.
    std::size_t forwarded() const
    {
        return hashes_.size();
    }

    // A new attempt starts with the event at this position.
    void begin_attempt(std::size_t position);

    // Decides what to do with the next event of the current attempt, and counts
    // it.
    step on_event(std::string_view event);

    // Whether the current attempt has produced all events that the caller has.
    bool caught_up() const
    {
        return position_ >= hashes_.size();
    }

private:
    std::vector<std::uint64_t> hashes_;
    std::size_t position_ = 0;
};

} // namespace hickorygap

#endif
