#ifndef HICKORYGAP_PROCESS_CONTROL_BURN_RATE_EXCHANGE_HPP
#define HICKORYGAP_PROCESS_CONTROL_BURN_RATE_EXCHANGE_HPP

#include "messages/codec.hpp"
#include "process/metrics/burn_windows.hpp"

#include <span>
#include <vector>

namespace hickorygap
{

// Reports this instance's service-level outcomes to the voters, so that any
// voter can compute the error-budget burn rate of the whole fleet.
class burn_rate_exchange
{
public:
    // Time between two reports. The shortest burn-rate window is 5 minutes.
    static constexpr duration report_interval{std::chrono::seconds{10}};

    // Rows in one report, the busiest first. At about 40 bytes each, reports
    // to three voters take at most 0.8 KB/s of the 9 KB/s that an instance may
    // send.
    static constexpr std::size_t max_report_rows = 64;

    // The windows must outlive the exchange.
    burn_rate_exchange(instance_id self, burn_windows& windows);

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
