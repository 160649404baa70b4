#include "request/dispatch/stream_versions.hpp"

#include "common/hashing.hpp"

#include <fmt/format.h>

namespace hickorygap
{

namespace
{

// Limit of the memory: 1,700 new streams a second for the retention period.
constexpr std::size_t max_streams = 100'000;

} // namespace

software_version_id
software_version_of(std::string_view service, std::string_view version)
{
    return hash_name(fmt::format("{}/{}", service, version));
}

void stream_versions::add(
    stream_id stream, software_version_id version, time_point now)
{
    entry& item =
        versions_.try_emplace(stream, entry{version, now}).first->second;
    const bool is_expired = now - item.added_at > stream_retention_period;
    item = {is_expired || item.version == version ? version : 0, now};
    order_.emplace_back(stream, now);
    while (order_.size() > max_streams ||
           now - order_.front().second > stream_retention_period)
    {
        const auto [oldest, added_at] = order_.front();
        order_.pop_front();
        const auto found = versions_.find(oldest);
        // It may have been added again.
        if (found != versions_.end() && found->second.added_at == added_at)
        {
            versions_.erase(found);
        }
    }
}

void stream_versions::remove(stream_id stream)
{
    versions_.erase(stream);
}

std::vector<std::pair<stream_id, software_version_id>>
stream_versions::list(time_point now) const
{
    std::vector<std::pair<stream_id, software_version_id>> result;
    for (const auto& [stream, item] : versions_)
    {
        if (now - item.added_at <= stream_retention_period)
        {
            result.emplace_back(stream, item.version);
        }
    }
    return result;
}

std::optional<software_version_id>
stream_versions::find(stream_id stream, time_point now) const
{
    const auto found = versions_.find(stream);
    if (found == versions_.end() || found->second.version == 0 ||
        now - found->second.added_at > stream_retention_period)
    {
        return std::nullopt;
    }
    return found->second.version;
}

} // namespace hickorygap
