#ifndef HICKORYGAP_PROCESS_CONTROL_IN_FORCE_VIEW_HPP
#define HICKORYGAP_PROCESS_CONTROL_IN_FORCE_VIEW_HPP

#include "process/control/control_node.hpp"
#include "process/operators/operator_client.hpp"

namespace hickorygap
{

// What is in force where, as the members' acknowledgements tell it to this
// instance. An instance that is not heard is shown as such, never as done.
in_force_report make_in_force_report(const control_node& node);

// State of this instance.
instance_status
make_instance_status(const control_node& node, const clock_reading& now);

} // namespace hickorygap

#endif
