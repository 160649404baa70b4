#include "common/random.hpp"
#include "request/rate_limit/rank_admission.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

// Guards against servers with limits that serve background work while urgent
// requests are refused, and against ranks that get nothing at all.
TEST_CASE("urgent requests get what limited servers accept first")
{
    // Per rank, the most urgent first.
    struct row
    {
        std::string label;
        double capacity;
        std::vector<double> demand;
        std::vector<double> min_share;
        double max_total;
    };
    const auto tested = GENERATE(
        row{"enough for all", 200, {40, 50, 70}, {1, 1, 1}, 160},
        row{"enough for the urgent", 60, {40, 50, 70}, {0.7, 0.17, 0.17}, 66},
        row{"not enough for the urgent",
            32,
            {40, 50, 70},
            {0.4, 0.09, 0.09},
            36},
        row{"one rank", 30, {100}, {0.25}, 33},
        row{"a flood of background work",
            60,
            {20, 5, 600},
            {0.95, 0.45, 0.04},
            66});
    CAPTURE(tested.label);
    constexpr double seconds = 60;
    rank_admission admission{7};
    random_engine random{11};
    std::vector<double> arrived(tested.demand.size());
    std::vector<double> admitted(tested.demand.size());
    for (time_point now{0s}; now < time_point{60s}; now = now + 1ms)
    {
        for (std::uint32_t rank = 0; rank < tested.demand.size(); ++rank)
        {
            if (static_cast<double>(random_below(random, 1000)) >=
                tested.demand[rank])
            {
                continue;
            }
            arrived[rank] += 1;
            if (admission.admits(rank, tested.capacity, now))
            {
                admitted[rank] += 1;
            }
        }
    }
    double total = 0;
    for (std::size_t rank = 0; rank < tested.demand.size(); ++rank)
    {
        CAPTURE(rank);
        CHECK(admitted[rank] >= tested.min_share[rank] * arrived[rank]);
        total += admitted[rank] / seconds;
    }
    CHECK(total <= tested.max_total);
}
