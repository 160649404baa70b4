#ifndef HICKORYGAP_REQUEST_ATTEMPT_RELAY_COUNTERS_HPP
#define HICKORYGAP_REQUEST_ATTEMPT_RELAY_COUNTERS_HPP

#include "common/error.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace hickorygap
{

// Number of error kinds; error_kind::unreachable is the last one.
inline constexpr std::size_t error_kind_count =
    static_cast<std::size_t>(error_kind::unreachable) + 1;

// Counters since the start of the process, written by the traffic threads.
struct relay_counters
{
    using counter = std::atomic<std::uint64_t>;

    counter requests{0};
    counter completed{0};

    // Indexed by error_kind.
    std::array<counter, error_kind_count> refusals{};
    counter retries{0};

    // Streams that the engine resumed where they broke.
    counter resumed{0};

    // Streams that were run again from the start, without sending the known
    // events twice.
    counter restarted{0};

    // Dropped responses to another request or to an earlier attempt.
    counter late_answers_dropped{0};

    // Requests whose caller disconnected before the end.
    counter cancelled{0};
    counter backend_servers_lost{0};

    void count_refusal(error_kind kind)
    {
        refusals[static_cast<std::size_t>(kind)].fetch_add(
            1, std::memory_order_relaxed);
    }
};

} // namespace hickorygap

#endif
