#include "request/attempt/stream_progress.hpp"

#include "common/hashing.hpp"

namespace hickorygap
{

void stream_progress::begin_attempt(std::size_t position)
{
    position_ = position;
}

stream_progress::step stream_progress::on_event(std::string_view event)
{
    const std::uint64_t hash = hash_name(event);
    if (position_ < hashes_.size())
    {
        if (hashes_[position_] != hash)
        {
            return step::mismatch;
        }
        ++position_;
        return step::skip;
    }
    hashes_.push_back(hash);
    ++position_;
    return step::forward;
}

} // namespace hickorygap
