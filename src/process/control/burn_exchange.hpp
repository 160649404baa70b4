#ifndef HICKORYGAP_PROCESS_CONTROL_BURN_EXCHANGE_HPP
#define HICKORYGAP_PROCESS_CONTROL_BURN_EXCHANGE_HPP

#include "messages/codec.hpp"
#include "process/metrics/burn_windows.hpp"

#include <span>
#include <vector>

namespace hickorygap
{

// Tells the voters how well this instance served its callers, so that any
// voter can report on the whole fleet.
class burn_exchange
{
public:
    // Time between two reports. The shortest window is 5 minutes.
    static constexpr duration report_interval{std::chrono::seconds{10}};

    // Rows in one report, the busiest first; about 40 bytes each, so three
    // voters take at most 0.8 KB/s of an instance's 9 KB/s.
    static constexpr std::size_t report_rows = 64;

    // The windows must outlive the exchange.
    burn_exchange(instance_id self, burn_windows& windows);

    void receive(
        instance_id from, const wire::payloadUnion& payload, time_point now);
    void tick(std::span<const instance_id> voters, time_point now);
    std::vector<outgoing_message> take_outgoing();

private:
    instance_id self_;
    burn_windows& windows_;
    time_point next_report_;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
