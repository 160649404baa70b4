#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_TRANSFER_QUEUE_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_TRANSFER_QUEUE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace hickorygap
{

// Documents that are sent to routers, the most urgent first. Lists of backend
// servers go first because they are small and stop requests to servers that
// leave.
enum class transfer_kind
{
    backend_list,
    configuration
};

struct transfer
{
    instance_id receiver = 0;
    transfer_kind kind = transfer_kind::configuration;

    friend bool operator==(const transfer&, const transfer&) = default;
};

// Queue of the documents that are to be sent to routers: lists first, otherwise
// in order of arrival, each once, and at a limited rate, so that heartbeats and
// votes on the same network link are not delayed behind them. Has no clock and
// does no I/O; the caller passes the time and sends.
class transfer_queue
{
public:
    // The rate must be positive.
    explicit transfer_queue(double bytes_per_second);

    // Has no effect when the same transfer is already queued.
    void add(const transfer& item);

    // Removes and returns the next transfer, if one may start now. The caller
    // must report its size with sent before the next call.
    std::optional<transfer> take(time_point now);
    void sent(std::size_t bytes);

    // Time until take returns a transfer; nothing when the queue is empty.
    std::optional<duration> wait(time_point now) const;

    std::size_t size() const
    {
        return queued_.size();
    }

private:
    double bytes_per_second_;

    // When all bytes sent so far will have left at the limited rate.
    time_point busy_until_;
    std::deque<transfer> queued_;
};

// Interval at which a leader sends a document of this size to one voter after
// the other, so that these transfers take a fixed share of its network link:
// heartbeats use the same link, and documents for routers take half of it.
duration
voter_transfer_interval(std::size_t bytes, double link_megabits_per_second);

} // namespace hickorygap

#endif
