#include "request/overload/work_admission.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <span>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

// Requests of one size and rank in a flood.
struct request_kind
{
    std::uint32_t rank = 0;
    duration work{0};
    duration deadline{0};
    double per_second = 0;
};

struct kind_result
{
    int sent = 0;
    int served = 0;

    // Waited in the queue until the caller gave up.
    int in_vain = 0;

    double served_share() const
    {
        return static_cast<double>(served) / std::max(sent, 1);
    }
};

// Engines as one pool of slots with a queue in the order of ranks. Loads become
// known after a delay.
class engine_pool
{
public:
    static constexpr std::size_t engines = 10;
    static constexpr std::size_t slots = 12;
    static constexpr std::size_t queue = 36;
    static constexpr duration step = 5ms;
    static constexpr duration load_age = 300ms;

    std::vector<kind_result>
    run(admission_policy& policy, std::span<const request_kind> kinds,
        duration time)
    {
        std::vector<kind_result> results(kinds.size());
        std::vector<double> due(kinds.size());
        const duration mean_work = mean_of(kinds);
        for (time_point now{1h}; now < time_point{1h + time}; now = now + step)
        {
            advance(kinds, results, now);
            for (std::size_t i = 0; i < kinds.size(); ++i)
            {
                due[i] += kinds[i].per_second *
                          std::chrono::duration<double>(step).count();
                for (; due[i] >= 1; due[i] -= 1)
                {
                    ++results[i].sent;
                    admission_query query;
                    query.rank_below_first = kinds[i].rank;
                    query.mean_load = loads_.front() / engines;
                    query.slots = slots;
                    query.work = kinds[i].work;
                    query.mean_work = mean_work;
                    query.time_left = kinds[i].deadline;
                    if (policy.admits(query, now) &&
                        waiting_.size() < engines * queue)
                    {
                        waiting_.push_back({i, now});
                    }
                }
            }
        }
        return results;
    }

private:
    struct request
    {
        std::size_t kind = 0;
        time_point since;
    };

    static duration mean_of(std::span<const request_kind> kinds)
    {
        double work = 0;
        double count = 0;
        for (const request_kind& kind : kinds)
        {
            work += kind.per_second *
                    std::chrono::duration<double>(kind.work).count();
            count += kind.per_second;
        }
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{work / count});
    }

    void advance(
        std::span<const request_kind> kinds, std::vector<kind_result>& results,
        time_point now)
    {
        std::erase_if(
            running_, [now](time_point until) { return until <= now; });
        while (running_.size() < engines * slots && !waiting_.empty())
        {
            const auto next = std::ranges::min_element(
                waiting_, {},
                [&](const request& waiting)
                { return kinds[waiting.kind].rank; });
            const request_kind& kind = kinds[next->kind];
            if (now - next->since + kind.work > kind.deadline)
            {
                ++results[next->kind].in_vain;
            }
            else
            {
                ++results[next->kind].served;
                running_.push_back(now + kind.work);
            }
            waiting_.erase(next);
        }
        loads_.push_back(
            static_cast<double>(running_.size() + waiting_.size()));
        if (loads_.size() > static_cast<std::size_t>(load_age / step))
        {
            loads_.pop_front();
        }
    }

    std::vector<time_point> running_;
    std::vector<request> waiting_;
    std::deque<double> loads_{0};
};

constexpr duration run_time = 60s;

int total_served(std::span<const kind_result> results)
{
    int served = 0;
    for (const kind_result& result : results)
    {
        served += result.served;
    }
    return served;
}

} // namespace

// Answers a flood of long requests among short ones of the same rank. Guards
// against long requests that keep many short ones out, and against long ones
// that are never served.
TEST_CASE("in a flood, more callers are served when work counts")
{
    const auto [long_per_second, rank] =
        GENERATE(table<double, std::uint32_t>({{30, 2}, {60, 2}, {60, 1}}));
    CAPTURE(long_per_second, rank);
    const std::vector<request_kind> kinds{
        {0, 500ms, 10s, 20},
        {rank, 4s, 12s, long_per_second},
        {rank, 300ms, 10s, 200}};
    admission_controller by_rank{1};
    const auto before = engine_pool{}.run(by_rank, kinds, run_time);
    work_admission by_work{1};
    const auto after = engine_pool{}.run(by_work, kinds, run_time);
    CAPTURE(
        before[0].served_share(), before[1].served_share(),
        before[2].served_share(), after[0].served_share(),
        after[1].served_share(), after[2].served_share());
    CHECK(total_served(after) >= total_served(before) * 11 / 10);
    // The first rank keeps its place.
    CHECK(after[0].served_share() >= 0.98);
    // Long requests keep half of their share.
    CHECK(after[1].served_share() >= 0.5 * before[1].served_share());
}

// Guards against requests that wait until their callers have given up.
TEST_CASE("requests that would not be served in time are refused at once")
{
    const auto [load, time_left, is_hopeless] =
        GENERATE(table<double, duration, bool>({
            {12, 100ms, false},
            {24, 1200ms, false},
            {24, 700ms, true},
            {36, 1500ms, true},
            {36, 10s, false},
        }));
    CAPTURE(load);
    work_admission policy{1};
    admission_query query;
    query.mean_load = load;
    query.slots = 12;
    query.work = 1s;
    query.mean_work = 1s;
    query.time_left = time_left;
    const bool is_refused =
        policy.decide(query, time_point{1h}) == admission_decision::hopeless;
    CHECK(is_refused == is_hopeless);
}

// Guards against refusals while there is room, whatever callers claim of their
// size.
TEST_CASE("nothing is refused below the limit of its rank")
{
    CHECK(rc::check(
        [](std::uint32_t work_ms, std::uint32_t mean_ms, std::uint8_t rank)
        {
            work_admission policy{1};
            admission_query query;
            query.rank_below_first = rank % 3;
            query.mean_load = 11;
            query.slots = 12;
            query.work = std::chrono::milliseconds{work_ms};
            query.mean_work = std::chrono::milliseconds{mean_ms};
            query.time_left = 1ms;
            RC_ASSERT(policy.admits(query, time_point{1h}));
        }));
}
