#ifndef HICKORYGAP_BENCH_FLEET_PROCESS_USAGE_HPP
#define HICKORYGAP_BENCH_FLEET_PROCESS_USAGE_HPP

#include "scenarios/runner/fleet.hpp"

#include <string>

namespace hickorygap::bench
{

// Resource usage of an instance: bytes of control traffic from its /metrics,
// the rest from /proc. All but the memory are totals since the process started.
struct process_usage
{
    double sent_bytes = 0;
    double received_bytes = 0;
    double processor_s = 0;
    double resident_mib = 0;
};

process_usage read_usage(testing::fleet& all, const std::string& name);

} // namespace hickorygap::bench

#endif
