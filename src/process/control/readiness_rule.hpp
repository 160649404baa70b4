#ifndef HICKORYGAP_PROCESS_CONTROL_READINESS_RULE_HPP
#define HICKORYGAP_PROCESS_CONTROL_READINESS_RULE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/attempt/control_client.hpp"

#include <optional>

namespace hickorygap
{

// Inputs of readiness_rule: what an instance knows about its own state and its
// connectivity at one moment.
struct readiness_inputs
{
    configuration_version version = 0;

    // Highest version that any member has announced.
    configuration_version highest_announced = 0;

    // Whether the version is at least the one that this instance had applied
    // before it restarted.
    bool reached_floor = true;
    bool reaches_voters = false;
    bool reaches_half_of_members = false;
    bool draining = false;
};

// Decides whether an instance may take new work. It must not while it may have
// missed an accepted ticket: that is, while it has had no contact within the
// freshness period with a majority of the voters nor with half of the members,
// or while an announced version has been missing here for that period.
class readiness_rule
{
public:
    explicit readiness_rule(duration freshness);

    readiness update(const readiness_inputs& inputs, time_point now);

private:
    bool is_stale(const readiness_inputs& inputs, time_point now);

    duration freshness_;

    // True once a majority of the voters was reached and the highest announced
    // version applied.
    bool started_ = false;
    std::optional<time_point> behind_since_;
};

} // namespace hickorygap

#endif
