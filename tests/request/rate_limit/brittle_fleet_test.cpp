#include "common/random.hpp"
#include "request/rate_limit/rate_limit_allocator.hpp"
#include "request/rate_limit/router_limits.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

constexpr backend_server_id server = 7;
constexpr duration step = 1ms;

struct fleet_traits
{
    std::string label;
    std::size_t routers;
    std::uint32_t slots;

    // Mean time of a request; single ones take exponentially distributed times.
    duration request_time;

    // Requests that may wait in the burst.
    std::size_t queue_limit;
    double tolerated;

    // Share of the routers that are cut off from the leader, and of responses
    // that lack the field.
    double cut_off = 0;
    double false_end = 0;
    bool has_restarts = false;
};

// A fleet of routers with one leader and one brittle server. Messages are late
// by random times, loads by up to 0.6 s.
class brittle_fleet
{
public:
    brittle_fleet(const fleet_traits& traits, std::uint64_t seed)
        : traits_{traits}
        , random_{seed}
        , routers_(traits.routers)
    {
        for (std::size_t i = 0; i < traits.routers; ++i)
        {
            restart_router(i);
        }
    }

    void run_until(time_point end, double requests_per_second)
    {
        for (; now_ < end; now_ = now_ + step)
        {
            while (!events_.empty() && events_.begin()->first <= now_)
            {
                const auto event = events_.extract(events_.begin()).mapped();
                event();
            }
            for (auto left =
                     std::poisson_distribution<int>{
                         requests_per_second *
                         std::chrono::duration<double>(step).count()}(random_);
                 left > 0; --left)
            {
                on_request(random_below(random_, routers_.size()));
            }
            if (now_ >= next_loads_)
            {
                next_loads_ = now_ + 200ms;
                later(
                    150ms, 600ms,
                    [this, in_flight = running_ + waiting_,
                     completed = completed_]
                    { on_loads(in_flight, completed); });
            }
        }
    }

    void restart_router(std::size_t index)
    {
        router& restarted = routers_[index];
        restarted = std::make_shared<router_limits>(random_());
        restarted->set_routers(static_cast<std::uint32_t>(routers_.size()));
        send_changes(index, 0);
    }

    void set_queue_limit(std::size_t limit)
    {
        queue_limit_ = limit;
    }

    // Largest number of rejections within a second since the time.
    std::size_t most_rejected(time_point begin) const
    {
        std::size_t most = 0;
        for (auto item = std::ranges::lower_bound(rejected_, begin);
             item != rejected_.end(); ++item)
        {
            const auto end =
                std::lower_bound(item, rejected_.end(), *item + 1s);
            most = std::max(most, static_cast<std::size_t>(end - item));
        }
        return most;
    }

    std::size_t completed() const
    {
        return completed_;
    }

private:
    using router = std::shared_ptr<router_limits>;

    void
    later(duration shortest, duration longest, std::function<void()> action)
    {
        const auto delay =
            shortest + std::chrono::duration_cast<duration>(
                           unit_(random_) * (longest - shortest));
        events_.emplace(now_ + delay, std::move(action));
    }

    void on_loads(std::size_t in_flight, std::size_t completed)
    {
        if (completed < reported_)
        {
            return;
        }
        backend_load load;
        load.backend = short_backend_id(server);
        load.in_flight = static_cast<std::uint16_t>(in_flight);
        load.outcomes = static_cast<std::uint16_t>(completed - reported_);
        reported_ = completed;
        leader_.on_loads(std::vector{load}, now_);
        leader_.keep_listed(
            std::vector<listed_server>{{server, 1, 1, false, traits_.slots}},
            now_);
    }

    void on_request(std::size_t index)
    {
        const router from = routers_[index];
        if (!from->is_limited(server))
        {
            send(index);
            return;
        }
        if (from->is_avoided(server, now_))
        {
            return;
        }
        if (is_cut_off(index))
        {
            if (from->take_own_permit(server, now_))
            {
                send(index);
            }
            return;
        }
        const permit_query query = from->make_query({std::vector{server}});
        from->on_reported();
        later(
            1ms, 20ms,
            [this, index, from, query]
            {
                const permit_answer answer = ask_leader(query);
                later(
                    1ms, 20ms,
                    [this, index, from, answer]
                    {
                        from->on_changes(answer.changes, now_);
                        if (answer.backend)
                        {
                            send(index);
                        }
                    });
            });
    }

    bool is_cut_off(std::size_t index) const
    {
        return static_cast<double>(index) <
               traits_.cut_off * static_cast<double>(routers_.size());
    }

    permit_answer ask_leader(const permit_query& query)
    {
        const std::uint64_t version = leader_.version();
        const permit_answer answer = leader_.answer(query, now_);
        if (leader_.version() != version)
        {
            for (std::size_t i = 0; i < routers_.size(); ++i)
            {
                send_changes(i, version);
            }
        }
        return answer;
    }

    void send_changes(std::size_t index, std::uint64_t version)
    {
        if (!is_cut_off(index) && leader_.size() > 0)
        {
            later(
                1ms, 300ms,
                [this, to = routers_[index],
                 changes = leader_.changes_since(version)]
                { to->on_changes(changes, now_); });
        }
    }

    void send(std::size_t index)
    {
        later(1ms, 10ms, [this, index] { on_arrival(index); });
    }

    void on_arrival(std::size_t index)
    {
        if (running_ < traits_.slots)
        {
            start(index);
        }
        else if (waiting_ < queue_limit_)
        {
            ++waiting_;
            queue_.push_back(index);
        }
        else
        {
            rejected_.push_back(now_);
            respond(index, 1);
        }
    }

    void start(std::size_t index)
    {
        ++running_;
        const double mean =
            std::chrono::duration<double>(traits_.request_time).count();
        const std::chrono::duration<double> time{
            std::exponential_distribution<>{1 / mean}(random_)};
        events_.emplace(
            now_ + std::chrono::duration_cast<duration>(time),
            [this, index]
            {
                --running_;
                ++completed_;
                respond(index, 0);
                if (waiting_ > 0)
                {
                    --waiting_;
                    start(queue_[next_in_queue_++]);
                }
            });
    }

    void respond(std::size_t index, std::uint16_t rejections)
    {
        backend_limit named{server, traits_.tolerated, false, true, rejections};
        if (unit_(random_) < traits_.false_end)
        {
            named = {server, {}};
        }
        later(
            1ms, 10ms,
            [this, index, named]
            {
                router_limits& to = *routers_[index];
                const bool is_change = to.on_response(named, now_);
                if (!is_cut_off(index) && (is_change || named.rejections > 0))
                {
                    const permit_query report = to.make_query({});
                    to.on_reported();
                    later(1ms, 20ms, [this, report] { ask_leader(report); });
                }
            });
    }

    fleet_traits traits_;
    random_engine random_;
    std::uniform_real_distribution<> unit_{0, 1};
    time_point now_{0s};
    time_point next_loads_{0s};
    std::multimap<time_point, std::function<void()>> events_;
    rate_limit_allocator leader_{1};
    std::vector<router> routers_;
    std::size_t queue_limit_ = 1000;
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    std::vector<std::size_t> queue_;
    std::size_t next_in_queue_ = 0;
    std::vector<time_point> rejected_;
    std::size_t completed_ = 0;
    std::size_t reported_ = 0;
};

} // namespace

// Guards against a fleet that makes a brittle server reject more requests than
// it tolerates, although loads are known late, some routers have just started
// or are cut off from the leader, and callers ask for several times what the
// server takes. Also guards against a fleet that leaves the server idle.
TEST_CASE("a brittle server rejects no more than it tolerates and is used")
{
    const auto tested = GENERATE(
        fleet_traits{"few routers", 6, 8, 200ms, 1, 10},
        fleet_traits{"many routers", 195, 8, 200ms, 1, 10},
        fleet_traits{"short requests", 40, 16, 20ms, 2, 20},
        fleet_traits{"long requests", 195, 96, 3s, 2, 10},
        fleet_traits{"few rejections tolerated", 40, 24, 300ms, 4, 5},
        fleet_traits{
            "cut off and restarted", 195, 24, 300ms, 4, 10, 0.1, 0, true},
        fleet_traits{
            "some responses lack the field", 40, 24, 300ms, 4, 10, 0, 0.02});
    const auto seed = GENERATE(range(1, 6));
    CAPTURE(tested.label, seed);
    brittle_fleet fleet{tested, static_cast<std::uint64_t>(seed)};
    random_engine random{static_cast<std::uint64_t>(seed)};
    const double capacity =
        tested.slots /
        std::chrono::duration<double>(tested.request_time).count();
    constexpr time_point burst_begin{5s};
    constexpr time_point burst_end{25s};
    fleet.run_until(burst_begin, 0.5 * capacity);
    fleet.set_queue_limit(tested.queue_limit);
    const std::size_t before = fleet.completed();
    for (time_point now = burst_begin; now < burst_end; now = now + 1s)
    {
        fleet.run_until(now + 1s, 4 * capacity);
        if (tested.has_restarts)
        {
            fleet.restart_router(random_below(random, tested.routers));
        }
    }
    CHECK(
        static_cast<double>(fleet.most_rejected(burst_begin)) <=
        tested.tolerated);
    CHECK(
        static_cast<double>(fleet.completed() - before) >=
        0.5 * capacity *
            std::chrono::duration<double>(burst_end - burst_begin).count());
}
