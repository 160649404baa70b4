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
        started_ || (has_configuration && caught_up && inputs.hears_voters);
    if (inputs.draining)
    {
        return readiness::draining;
    }
    if (!started_)
    {
        return readiness::starting;
    }
    // With all voters down no ticket can be accepted, so that an instance in
    // contact with the other members may go on.
    const bool hears_fleet =
        inputs.hears_voters || inputs.hears_half_of_members;
    return hears_fleet && !stale ? readiness::ready : readiness::cut_off;
}

// An instance may hear the fleet but fail to fetch a version, for example
// because the documents do not fit its chain.
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
