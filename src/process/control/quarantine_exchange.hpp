#ifndef HICKORYGAP_PROCESS_CONTROL_QUARANTINE_EXCHANGE_HPP
#define HICKORYGAP_PROCESS_CONTROL_QUARANTINE_EXCHANGE_HPP

#include "process/control/clock_reading.hpp"
#include "process/membership/membership.hpp"
#include "request/blame/shared_blame_tracker.hpp"

#include <map>
#include <span>
#include <vector>

namespace hickorygap
{

// Exchanges with the other instances which requests crashed backend servers
// and which requests are quarantined for that reason.
class quarantine_exchange
{
public:
    // The tracker must outlive the exchange.
    quarantine_exchange(instance_id self, shared_blame_tracker& tracker);

    // Handles suspect_report; ignores other payloads.
    void receive(const wire::payloadUnion& payload, const clock_reading& now);

    // Reports each new crash to every live member at once, which is affordable
    // because crashes are rare: a retry that enters through another instance
    // must not crash a third server. Quarantines are gossiped on membership's
    // pings.
    void tick(
        membership& members, std::span<const instance_id> live,
        const clock_reading& now);
    std::vector<outgoing_message> take_outgoing();

private:
    void report_crashes(std::span<const instance_id> live);
    void exchange_quarantines(membership& members, const clock_reading& now);
    void log_quarantine(const quarantine& entry);

    instance_id self_;
    shared_blame_tracker& tracker_;

    // End of the quarantine that was logged last for each request.
    std::map<request_fingerprint, unix_millis> logged_until_;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
