#ifndef HICKORYGAP_PROCESS_CONTROL_READINESS_RULE_HPP
#define HICKORYGAP_PROCESS_CONTROL_READINESS_RULE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/attempt/control_client.hpp"

#include <optional>

namespace hickorygap
{

// What an instance knows about its place in the fleet at one moment.
struct readiness_inputs
{
    configuration_version version = 0;

    // Highest version that any member has announced.
    configuration_version highest_announced = 0;

    // The version is not below what this instance had applied before it
    // restarted.
    bool reached_floor = true;
    bool hears_voters = false;
    bool hears_half_of_members = false;
    bool draining = false;
};

// Decides whether an instance may take new work. An instance that may have
// missed an accepted ticket must not: see the freshness rule in the design.
class readiness_rule
{
public:
    explicit readiness_rule(duration freshness);

    readiness update(const readiness_inputs& inputs, time_point now);

private:
    bool is_stale(const readiness_inputs& inputs, time_point now);

    duration freshness_;

    // True once a majority of voters was heard and their version applied.
    bool started_ = false;
    std::optional<time_point> behind_since_;
};

} // namespace hickorygap

#endif
