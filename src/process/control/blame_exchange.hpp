#ifndef HICKORYGAP_PROCESS_CONTROL_BLAME_EXCHANGE_HPP
#define HICKORYGAP_PROCESS_CONTROL_BLAME_EXCHANGE_HPP

#include "process/control/clock_reading.hpp"
#include "process/membership/membership.hpp"
#include "request/blame/shared_blame_tracker.hpp"

#include <map>
#include <span>
#include <vector>

namespace hickorygap
{

// Tells the other instances which requests crashed backend servers, and takes
// over what they tell.
class blame_exchange
{
public:
    // The tracker must outlive the exchange.
    blame_exchange(instance_id self, shared_blame_tracker& tracker);

    // Handles suspect_report; ignores others.
    void receive(const wire::payloadUnion& payload, const clock_reading& now);

    // Crashes are rare, so each is told to every live member at once: a retry
    // that enters through another instance must not crash a third server.
    // Quarantines spread with membership's pings.
    void tick(
        membership& members, std::span<const instance_id> live,
        const clock_reading& now);
    std::vector<outgoing_message> take_outgoing();

private:
    void report_crashes(std::span<const instance_id> live);
    void spread_quarantines(membership& members, const clock_reading& now);
    void note_quarantine(const quarantine& entry);

    instance_id self_;
    shared_blame_tracker& tracker_;

    // Ends of the quarantines that were logged.
    std::map<request_fingerprint, unix_millis> logged_;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
