#include "common/random.hpp"
#include "request/rate_limit/rate_limit_allocator.hpp"
#include "request/rate_limit/router_limits.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

constexpr duration step = 5ms;
constexpr duration day = 60s;

// Counted are requests of routers that have known the limit for this time and
// have not been restarted since. The platform's bound counts those of routers
// that a response has told the limit.
constexpr duration window = 4s;
constexpr duration notice_period = 500ms;
constexpr duration settling_time = 3s;

// A fleet of routers with one leader, and servers with the same limit, each of
// which gets the same share of the requests. Messages and responses are late by
// random times; reports can be lost, routers restarted and leaders replaced.
class limited_fleet
{
public:
    limited_fleet(
        std::size_t routers, std::size_t servers, double limit,
        double report_loss, double false_end, std::uint64_t seed)
        : random_{seed}
        , limit_{limit}
        , report_loss_{report_loss}
        , false_end_{false_end}
        , routers_(routers)
        , counted_(servers)
    {
        for (std::size_t i = 0; i < routers; ++i)
        {
            restart_router(i);
        }
    }

    // Runs up to the time, with this many requests per second.
    void run_until(time_point end, double requests_per_second)
    {
        const double chance =
            requests_per_second * std::chrono::duration<double>(step).count();
        for (; now_ < end; now_ = now_ + step)
        {
            while (!events_.empty() && events_.begin()->first <= now_)
            {
                const auto event = events_.extract(events_.begin()).mapped();
                event();
            }
            double expected = chance;
            while (expected >= 1 || unit_(random_) < expected)
            {
                on_request(
                    random_below(random_, routers_.size()),
                    random_below(random_, counted_.size()));
                expected -= 1;
            }
        }
    }

    void restart_router(std::size_t index)
    {
        router& restarted = routers_[index];
        restarted.limits = std::make_shared<router_limits>(random_());
        restarted.limits->set_routers(
            static_cast<std::uint32_t>(routers_.size()));
        restarted.told_at.assign(counted_.size(), {});
        send_changes(index, 0);
    }

    // nullopt: there is no leader.
    void set_leader(std::optional<std::uint64_t> term)
    {
        leader_.reset();
        if (term)
        {
            leader_ = std::make_shared<rate_limit_allocator>(*term);
        }
    }

    // Largest number of counted requests to one server in one window after the
    // settling time.
    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        for (const std::vector<time_point>& times : counted_)
        {
            auto end = times.begin();
            for (auto begin = times.begin(); begin != times.end(); ++begin)
            {
                end = std::lower_bound(end, times.end(), *begin + window);
                most = std::max(most, static_cast<std::size_t>(end - begin));
            }
        }
        return most;
    }

    std::size_t sent() const
    {
        return sent_;
    }

private:
    struct router
    {
        std::shared_ptr<router_limits> limits;

        // When the router first knew the limit of each server.
        std::vector<std::optional<time_point>> told_at;
    };

    void later(duration longest, std::function<void()> action)
    {
        const auto delay =
            std::chrono::duration_cast<duration>(unit_(random_) * longest);
        events_.emplace(now_ + delay, std::move(action));
    }

    void on_request(std::size_t index, backend_server_id server)
    {
        const std::shared_ptr<router_limits> limits = routers_[index].limits;
        if (!limits->is_limited(server))
        {
            send_to_server(index, server);
            return;
        }
        auto& told_at = routers_[index].told_at[server];
        told_at = told_at.value_or(now_);
        if (!leader_)
        {
            if (limits->take_own_permit(server, now_))
            {
                send_to_server(index, server);
            }
        }
        else
        {
            ask(index, server);
        }
    }

    void ask(std::size_t index, backend_server_id server)
    {
        const std::shared_ptr<router_limits> limits = routers_[index].limits;
        const permit_query query = limits->make_query({std::vector{server}});
        limits->on_reported();
        later(
            40ms,
            [this, index, server, limits, query]
            {
                if (!leader_)
                {
                    return;
                }
                const permit_answer answer = answer_query(query);
                later(
                    20ms,
                    [this, index, server, limits, answer]
                    {
                        if (routers_[index].limits != limits)
                        {
                            return;
                        }
                        limits->on_changes(answer.changes, now_);
                        if (answer.backend)
                        {
                            send_to_server(index, server);
                        }
                    });
            });
    }

    permit_answer answer_query(const permit_query& query)
    {
        const std::uint64_t version = leader_->version();
        const permit_answer answer = leader_->answer(query, now_);
        if (leader_->version() != version)
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
        if (leader_ && leader_->size() > 0)
        {
            later(
                300ms, [limits = routers_[index].limits,
                        changes = leader_->changes_since(version), this]
                { limits->on_changes(changes, now_); });
        }
    }

    void send_to_server(std::size_t index, backend_server_id server)
    {
        ++sent_;
        const router& from = routers_[index];
        const std::optional<time_point> told_at = from.told_at[server];
        if (now_ >= time_point{settling_time} && told_at &&
            now_ - *told_at >= notice_period)
        {
            counted_[server].push_back(now_);
        }
        later(
            400ms,
            [this, index, server, limits = from.limits]
            {
                router& to = routers_[index];
                if (to.limits != limits)
                {
                    return;
                }
                to.told_at[server] = to.told_at[server].value_or(now_);
                backend_limit named{server, limit_};
                if (unit_(random_) < false_end_)
                {
                    named.requests_per_second.reset();
                }
                if (limits->on_response(named, now_))
                {
                    report(*limits);
                }
            });
    }

    void report(router_limits& limits)
    {
        const permit_query query = limits.make_query({});
        limits.on_reported();
        if (unit_(random_) >= report_loss_)
        {
            later(
                40ms,
                [this, query]
                {
                    if (leader_)
                    {
                        answer_query(query);
                    }
                });
        }
    }

    random_engine random_;
    std::uniform_real_distribution<> unit_{0, 1};
    double limit_;
    double report_loss_;

    // Share of the responses that lack the limit.
    double false_end_;
    time_point now_{0s};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<router> routers_;
    std::shared_ptr<rate_limit_allocator> leader_ =
        std::make_shared<rate_limit_allocator>(1);

    // By server.
    std::vector<std::vector<time_point>> counted_;
    std::size_t sent_ = 0;
};

} // namespace

// Guards against a fleet that exceeds the limit of a server because some of its
// processes have not heard of it: reports are lost, messages are late, routers
// start, and leaders change or are missing for some time. Also guards against a
// fleet that makes little use of the limit.
TEST_CASE("a fleet keeps within a limit whatever its processes have missed")
{
    struct row
    {
        std::string label;
        std::size_t routers;
        std::size_t servers;
        double limit;

        // Requests per request that the servers accept.
        double demand;
        double report_loss;
        double false_end;
        bool has_new_leaders;
        bool has_new_routers;
    };
    const auto tested = GENERATE(
        row{"calm", 8, 1, 3.0, 10, 0, 0, false, false},
        row{"reports are lost", 8, 1, 3.0, 10, 1.0, 0, false, false},
        row{"some responses lack the limit", 8, 1, 3.0, 10, 0, 0.1, false,
            false},
        row{"new leaders", 8, 1, 3.0, 10, 0, 0, true, false},
        row{"new routers", 8, 1, 3.0, 10, 0, 0, false, true},
        row{"all at once", 8, 1, 3.0, 10, 0.7, 0.05, true, true},
        row{"large fleet", 195, 1, 4.0, 10, 0.7, 0.05, true, true},
        row{"small limit", 40, 1, 0.5, 10, 0.7, 0.05, true, true},
        row{"new leaders while responses lack the limit", 195, 1, 4.0, 30, 0,
            0.05, true, false},
        row{"new leaders of many servers", 40, 40, 1.0, 30, 0, 0, true, false});
    const auto seed = GENERATE(range(1, 6));
    CAPTURE(tested.label, seed);
    limited_fleet fleet{tested.routers,   tested.servers,
                        tested.limit,     tested.report_loss,
                        tested.false_end, static_cast<std::uint64_t>(seed)};
    random_engine random{static_cast<std::uint64_t>(seed)};
    const double limits = tested.limit * static_cast<double>(tested.servers);
    const double demand = tested.demand * limits;
    std::uint64_t term = 1;
    for (time_point now{1s}; now < time_point{day}; now = now + 1s)
    {
        fleet.run_until(now, demand);
        if (tested.has_new_leaders && random_below(random, 5) == 0)
        {
            fleet.set_leader({});
            fleet.run_until(
                now + std::chrono::milliseconds{random_below(random, 900)},
                demand);
            fleet.set_leader(++term);
        }
        if (tested.has_new_routers && random_below(random, 8) == 0)
        {
            fleet.restart_router(random_below(random, tested.routers));
        }
    }
    CHECK(
        static_cast<double>(fleet.most_in_window()) <=
        1.5 * tested.limit * std::chrono::duration<double>(window).count() + 5);
    CHECK(
        static_cast<double>(fleet.sent()) >=
        0.5 * limits * std::chrono::duration<double>(day).count());
}
