#ifndef HICKORYGAP_PROCESS_INSTANCE_INSTANCE_METRICS_HPP
#define HICKORYGAP_PROCESS_INSTANCE_INSTANCE_METRICS_HPP

#include "connection/framing/peer_network.hpp"
#include "process/metrics/burn_windows.hpp"
#include "process/metrics/metrics_registry.hpp"
#include "request/attempt/relay_counters.hpp"
#include "request/placement/placement_query.hpp"
#include "version/configuration/configuration.hpp"

#include <string>

namespace hickorygap
{

// Metrics of one instance. Safe from any thread.
class instance_metrics
{
public:
    // Counts a finished attempt as failed, late or good; late when its first
    // byte came after the target of its rank.
    void
    on_finished(const attempt_report& report, const configuration& current);
    void on_refused(const placement_query& query);
    void on_network(const peer_network_counters& counters);

    // All metrics in Prometheus' text format.
    std::string prometheus_text(const relay_counters& relay);

    burn_windows& burn()
    {
        return burn_;
    }

private:
    metrics_registry registry_;
    burn_windows burn_;
};

} // namespace hickorygap

#endif
