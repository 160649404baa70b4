#include "process/control/burn_rate_exchange.hpp"

#include <utility>

namespace hickorygap
{

burn_rate_exchange::burn_rate_exchange(instance_id self, burn_windows& windows)
    : self_(self)
    , windows_(windows)
{
}

void burn_rate_exchange::receive(
    instance_id from, const wire::payloadUnion& payload, time_point now)
{
    const auto* report = message_in<wire::burn_report_msg>(payload);
    if (report != nullptr && from != self_)
    {
        windows_.merge(*report, now);
    }
}

void burn_rate_exchange::tick(
    std::span<const instance_id> voters, time_point now)
{
    if (now < next_report_)
    {
        return;
    }
    next_report_ = now + report_interval;
    const wire::burn_report_msg report =
        windows_.take_report(self_, max_report_rows, now);
    if (report.rows.empty())
    {
        return;
    }
    for (const instance_id voter : voters)
    {
        if (voter != self_)
        {
            outgoing_.push_back(make_outgoing(voter, report));
        }
    }
}

std::vector<outgoing_message> burn_rate_exchange::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

} // namespace hickorygap
