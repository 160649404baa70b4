#include "connection/http/organisation_streams.hpp"

namespace hickorygap
{

organisation_streams::place::place(
    organisation_streams& streams, organisation_id organisation)
    : streams_(streams)
    , organisation_(organisation)
    , taken_(streams.take(organisation))
{
}

organisation_streams::place::~place()
{
    if (taken_)
    {
        streams_.give_back(organisation_);
    }
}

organisation_streams::organisation_streams(std::size_t limit)
    : limit_(limit)
{
}

bool organisation_streams::take(organisation_id organisation)
{
    const std::lock_guard lock{mutex_};
    std::size_t& running = running_[organisation];
    if (running >= limit_)
    {
        return false;
    }
    ++running;
    return true;
}

void organisation_streams::give_back(organisation_id organisation)
{
    const std::lock_guard lock{mutex_};
    const auto found = running_.find(organisation);
    if (--found->second == 0)
    {
        running_.erase(found);
    }
}

} // namespace hickorygap
