#ifndef HICKORYGAP_PROCESS_CONTROL_OPERATOR_REPORTS_HPP
#define HICKORYGAP_PROCESS_CONTROL_OPERATOR_REPORTS_HPP

#include "process/control/control_node.hpp"
#include "process/operators/operator_client.hpp"

namespace hickorygap
{

// The configuration version that each instance has applied, as gossip reports
// it to this instance. An instance without fresh news is shown as suspect,
// partitioned or dead; it never counts as having applied a version that it has
// not reported.
in_force_report make_in_force_report(const control_node& node);

// Status of this instance for operators.
instance_status
make_instance_status(const control_node& node, const clock_reading& now);

} // namespace hickorygap

#endif
