#include "process/control/readiness_rule.hpp"

namespace hickorygap
{

readiness_rule::readiness_rule(duration freshness)
    : freshness_(freshness)
{
}

readiness readiness_rule::update(const readiness_inputs& inputs, time_point now)
{
    const bool stale = is_stale(inputs, now);
    const bool has_configuration = inputs.version > 0 && inputs.reached_floor;
    const bool caught_up = inputs.version >= inputs.highest_announced;
    started_ =
        started_ || (has_configuration && caught_up && inputs.reaches_voters);
    if (inputs.draining)
    {
        return readiness::draining;
    }
    if (!started_)
    {
        return readiness::starting;
    }
    // While all voters are down no ticket can be accepted, so an instance that
    // reaches the other members can't miss one and stays ready.
    const bool reaches_fleet =
        inputs.reaches_voters || inputs.reaches_half_of_members;
    return reaches_fleet && !stale ? readiness::ready : readiness::cut_off;
}

// Whether an announced version has been missing here for the freshness period.
// An instance may reach the fleet but fail to fetch a version, for example
// because the documents do not fit its hash chain.
bool readiness_rule::is_stale(const readiness_inputs& inputs, time_point now)
{
    if (inputs.version >= inputs.highest_announced)
    {
        behind_since_.reset();
        return false;
    }
    if (!behind_since_)
    {
        behind_since_ = now;
    }
    return now - *behind_since_ >= freshness_;
}

} // namespace hickorygap
