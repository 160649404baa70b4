#ifndef HICKORYGAP_REQUEST_ATTEMPT_RETRY_BUDGET_HPP
#define HICKORYGAP_REQUEST_ATTEMPT_RETRY_BUDGET_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <unordered_map>

namespace hickorygap
{

struct retry_budget_options
{
    // Retries earned by each successful request.
    double share_of_successes = 0.2;

    // Retries earned each second without any success, so that a service with
    // little traffic can still retry.
    double minimum_per_second = 0.5;

    // Most retries that can be saved up; bounds the burst after a quiet time.
    double capacity = 20.0;
};

// Limits the retries of each service, so that they can't multiply the load of
// a service that is already failing. Pure; the caller serialises access.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    void on_success(service_id service, time_point now);

    // Takes one retry; false when the budget is used up.
    bool try_take(service_id service, time_point now);

private:
    struct balance
    {
        double retries = 0.0;
        time_point updated;
    };

    balance& refill(service_id service, time_point now);

    retry_budget_options options_;
    std::unordered_map<service_id, balance> balances_;
};

} // namespace hickorygap

#endif
