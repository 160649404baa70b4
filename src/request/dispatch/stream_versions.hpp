#ifndef HICKORYGAP_REQUEST_DISPATCH_STREAM_VERSIONS_HPP
#define HICKORYGAP_REQUEST_DISPATCH_STREAM_VERSIONS_HPP

#include "common/time.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorygap
{

// Identifies a stream over all attempts to complete it: hash of the identifier
// of the attempt that began it.
using stream_id = std::uint64_t;

// Identifies a version of the software of one service's backend servers. Zero
// stands for "none".
using software_version_id = std::uint64_t;

software_version_id
software_version_of(std::string_view service, std::string_view version);

// Callers wait less than this for a stream, all their attempts included.
inline constexpr duration stream_retention_period = std::chrono::seconds{60};

// The software versions of the backend servers that began streams.
//
// What two versions write does not fit together, so a stream may be resumed
// only at the version that began it. Routers and voters keep one each: routers
// for their own streams, voters for those of all routers, so that a stream can
// be resumed at a router that has just started. Has no clock of its own; all
// times are passed in.
class stream_versions
{
public:
    // Renews the record of the version. A stream with records of two versions
    // is not known any more, whatever is added later. Zero stands for two
    // versions.
    void add(stream_id stream, software_version_id version, time_point now);

    // The stream will not be asked for any more.
    void remove(stream_id stream);

    // Streams that are neither removed nor too old; the version is zero for
    // those with records of two versions.
    std::vector<std::pair<stream_id, software_version_id>>
    list(time_point now) const;

    // nullopt for a stream that is unknown, was added too long ago, or has
    // records of two versions.
    std::optional<software_version_id>
    find(stream_id stream, time_point now) const;

    std::size_t size() const
    {
        return versions_.size();
    }

private:
    struct entry
    {
        // Zero when versions differed.
        software_version_id version = 0;
        time_point added_at;
    };

    absl::flat_hash_map<stream_id, entry> versions_;

    // In the order in which they were added, the oldest first.
    std::deque<std::pair<stream_id, time_point>> order_;
};

} // namespace hickorygap

#endif
