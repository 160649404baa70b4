#include "request/attempt/retry_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hickorygap;

// Guards against more retries than a fifth of the successes plus the minimum
// rate plus the initial burst.
TEST_CASE("retries stay within the budget")
{
    rc::prop(
        "any order of successes and retries",
        [](const std::vector<std::uint8_t>& steps)
        {
            retry_budget_options options;
            options.capacity = 5;
            retry_budget budget{options};
            time_point now;
            double successes = 0;
            double retries = 0;
            for (const std::uint8_t step : steps)
            {
                now = now + std::chrono::milliseconds{step};
                if (step % 3 == 0)
                {
                    budget.on_success(1, now);
                    ++successes;
                }
                else if (budget.try_take(1, now))
                {
                    ++retries;
                }
            }
            const double seconds =
                std::chrono::duration<double>(now.since_start).count();
            RC_ASSERT(retries <= 5 + 0.2 * successes + 0.5 * seconds + 1e-6);
        });
}

// Guards against a service that uses up the retries of another, and against a
// budget that never recovers.
TEST_CASE("each service has its own budget that refills")
{
    retry_budget_options options;
    options.capacity = 1;
    retry_budget budget{options};
    CHECK(budget.try_take(1, {}));
    CHECK_FALSE(budget.try_take(1, {}));
    CHECK(budget.try_take(2, {}));
    CHECK(budget.try_take(1, {std::chrono::seconds{2}}));
}
