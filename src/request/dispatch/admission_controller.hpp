#ifndef HICKORYGAP_REQUEST_DISPATCH_ADMISSION_CONTROLLER_HPP
#define HICKORYGAP_REQUEST_DISPATCH_ADMISSION_CONTROLLER_HPP

#include "common/random.hpp"
#include "common/text.hpp"
#include "common/time.hpp"
#include "request/dispatch/admission_policy.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace hickorygap
{

// Refuses less urgent requests to engines early while the queues are long, so
// that urgent requests still find room: a full engine rejects requests
// regardless of their rank. An organisation that sends much more than its share
// is limited first, whatever the rank of its requests. A small share of every
// rank is admitted in any surge.
//
// Not for plain servers: they work off a full queue before load counts are
// exchanged, so capacity would stay unused.
//
// Protects against two cases: a flood of low-rank requests that fills all
// queues, and a surge of one organisation that crowds out the others. Pure: all
// times are passed in.
class admission_controller final : public admission_policy
{
public:
    explicit admission_controller(std::uint64_t seed);

    admission_decision
    decide(const admission_query& query, time_point now) override;

    // Counts an arriving request and returns the share of requests like it that
    // may be sent, 0 to 1; nullopt if they may be sent at any load.
    std::optional<double>
    admitted_share(const admission_query& query, time_point now);

private:
    struct organisation_count
    {
        // Exponentially decayed count of requests, as of `at`.
        double requests = 0;
        time_point at;
    };

    void count(std::string_view organisation, time_point now);
    bool is_surging(std::string_view organisation, time_point now) const;

    random_engine random_;
    name_map<organisation_count> organisations_;
};

} // namespace hickorygap

#endif
