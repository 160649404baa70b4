#ifndef HICKORYGAP_PROCESS_FLEET_PROCESS_TRANSFER_QUEUE_HPP
#define HICKORYGAP_PROCESS_FLEET_PROCESS_TRANSFER_QUEUE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace hickorygap
{

// What a voter sends to routers, the most urgent first: lists are small, and
// servers that leave get no requests once a router has the list.
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

// Order and pace in which a voter sends documents to the routers that lack
// them: lists first, then first come, first served, once each, and at a limited
// rate, so that the heartbeats and votes on the same network link never wait
// behind them. Pure; the caller passes the time and sends.
class transfer_queue
{
public:
    // The rate in bytes per second is positive.
    explicit transfer_queue(double bytes_per_second);

    // A transfer that waits already keeps its place.
    void add(const transfer& item);

    // Takes the next transfer that may start now. The caller reports its size
    // with sent before it asks again.
    std::optional<transfer> take(time_point now);
    void sent(std::size_t bytes);

    // Time until take returns something; none while nothing waits.
    std::optional<duration> wait(time_point now) const;

    std::size_t size() const
    {
        return waiting_.size();
    }

private:
    double bytes_per_second_;

    // When the bytes that were sent so far have left at the limited rate.
    time_point busy_until_;
    std::deque<transfer> waiting_;
};

// Interval at which a leader sends a document of so many bytes to one voter
// after the other, so that they take a fixed part of its link: heartbeats share
// it, and documents for routers take half of it.
duration
voter_transfer_interval(std::size_t bytes, double link_megabits_per_second);

} // namespace hickorygap

#endif
