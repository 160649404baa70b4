#ifndef HICKORYGAP_REQUEST_ATTEMPT_STREAM_PROGRESS_HPP
#define HICKORYGAP_REQUEST_ATTEMPT_STREAM_PROGRESS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace hickorygap
{

// What of a streamed answer has reached the caller, across the attempts that
// produce it. Keeps a 64-bit hash per event instead of the text.
class stream_progress
{
public:
    enum class step
    {
        // New to the caller.
        forward,
        // The caller has it from an earlier attempt.
        skip,
        // Differs from what the caller has; the stream can't go on.
        mismatch
    };

    // Number of events that the caller has.
    std::size_t forwarded() const
    {
        return hashes_.size();
    }

    // A new attempt starts with the event of this position.
    void begin_attempt(std::size_t position);

    // Decides about the next event of the current attempt and counts it.
    step on_event(std::string_view event);

    // Whether the current attempt has produced at least what the caller has.
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
