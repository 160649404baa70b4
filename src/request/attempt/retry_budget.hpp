#ifndef HICKORYGAP_REQUEST_ATTEMPT_RETRY_BUDGET_HPP
#define HICKORYGAP_REQUEST_ATTEMPT_RETRY_BUDGET_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <unordered_map>

namespace hickorygap
{

struct retry_budget_options
{
    // Retries added to the budget by each successful request.
    double retries_per_success = 0.2;

    // Retries added each second even without successes, so that a service with
    // little traffic can still retry.
    double min_retries_per_second = 0.5;

    // Maximum number of retries that accumulate; bounds a burst after a quiet
    // period.
    double capacity = 20.0;
};

// Limits the retries to each service by a token bucket, so that retries can't
// multiply the load of a service that is already failing. Pure; the caller
// serialises access.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    void on_success(service_id service, time_point now);

    // Takes one retry from the budget; false when it is used up.
    bool try_take(service_id service, time_point now);

private:
    struct token_bucket
    {
        double retries = 0.0;
        time_point updated;
    };

    token_bucket& refill(service_id service, time_point now);

    retry_budget_options options_;
    std::unordered_map<service_id, token_bucket> buckets_;
};

} // namespace hickorygap

#endif
