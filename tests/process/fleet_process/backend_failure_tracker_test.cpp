#include "process/fleet_process/backend_failure_tracker.hpp"
#include "process/fleet_process/load_exchange.hpp"
#include "request/dispatch/dispatch_policy.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

using namespace hickorygap;
using namespace std::chrono_literals;

namespace
{

std::vector<listed_backend> six_servers()
{
    std::vector<listed_backend> list;
    for (int i = 0; i < 6; ++i)
    {
        list.push_back(
            {fmt::format("i-{}", i),
             "booking",
             "domain-a",
             {"10.0.0.1", 80},
             6,
             false});
    }
    return list;
}

// How the faulty server fails requests.
enum class fault
{
    breaks_off,
    never_answers
};

// Simulates 200 routers that each send a request a second to six servers, with
// or without the exchange of loads and outcomes between them.
class simulated_fleet
{
public:
    static constexpr std::size_t routers = 200;
    static constexpr duration exchange_interval = 200ms;
    static constexpr duration service_time = 60ms;
    static constexpr duration response_timeout = 1500ms;

    explicit simulated_fleet(bool exchanges_loads)
        : exchanges_loads_{exchanges_loads}
    {
        for (std::size_t i = 0; i < routers; ++i)
        {
            auto added = std::make_unique<router>(i + 1);
            added->table.replace(six_servers());
            fleet_.push_back(std::move(added));
        }
        faulty_ = fleet_[0]->table.members("booking")[2]->id;
    }

    // Runs for this time and returns the number of failed requests.
    std::size_t run(duration time, std::optional<fault> active_fault)
    {
        std::size_t failed = 0;
        constexpr duration step = 5ms;
        for (const time_point end = now_ + time; now_ < end; now_ = now_ + step)
        {
            failed += finish_requests();
            exchange();
            send(*fleet_[next_++ % routers], active_fault);
        }
        return failed;
    }

private:
    struct router
    {
        explicit router(std::uint64_t seed)
            : policy{seed}
        {
        }

        backend_table table;
        least_cost_policy policy;
    };

    struct running
    {
        router* sender;
        backend_server_id server;
        dispatch_outcome outcome;
    };

    void send(router& sender, std::optional<fault> active_fault)
    {
        const auto members = sender.table.members("booking");
        const auto choice =
            sender.policy.choose(members, dispatch_query{}, now_);
        const backend_server_id server = choice.backend->id;
        sender.table.on_sent(server, now_);
        const bool fails = active_fault && server == faulty_;
        const bool is_silent = fails && *active_fault == fault::never_answers;
        const duration takes = !fails      ? service_time
                               : is_silent ? response_timeout
                                           : duration{1ms};
        running_.emplace(
            now_ + takes, running{
                              &sender, server,
                              !fails      ? dispatch_outcome::answered
                              : is_silent ? dispatch_outcome::silent
                                          : dispatch_outcome::broken});
    }

    std::size_t finish_requests()
    {
        std::size_t failed = 0;
        while (!running_.empty() && running_.begin()->first <= now_)
        {
            const running done = running_.begin()->second;
            running_.erase(running_.begin());
            if (done.outcome == dispatch_outcome::answered)
            {
                done.sender->table.on_progress(done.server, now_);
            }
            else
            {
                ++failed;
            }
            done.sender->table.on_end(done.server, done.outcome, now_);
        }
        return failed;
    }

    // Conditions take one exchange interval to arrive, as through a relay.
    void exchange()
    {
        if (!exchanges_loads_ || now_ < next_exchange_)
        {
            return;
        }
        next_exchange_ = now_ + exchange_interval;
        for (std::size_t i = 0; i < routers; ++i)
        {
            fleet_[i]->table.on_fleet_load(conditions_in_transit_, now_);
            loads_.set(
                static_cast<instance_id>(i + 1),
                fleet_[i]->table.report_loads(), now_);
        }
        const auto sum = loads_.take_sum(now_);
        health_.add(sum, now_);
        conditions_in_transit_ = health_.conditions(sum, now_);
    }

    bool exchanges_loads_;
    std::vector<std::unique_ptr<router>> fleet_;
    backend_server_id faulty_ = 0;
    std::size_t next_ = 0;
    std::multimap<time_point, running> running_;
    load_aggregator loads_;
    backend_failure_tracker health_;
    std::vector<fleet_backend_load> conditions_in_transit_;
    time_point next_exchange_;
    time_point now_{10s};
};

} // namespace

// Failure: one of six servers fails. Guards against each router detecting it by
// itself, with failed requests at every router. The bound is one failed request
// for four routers in ten seconds.
TEST_CASE("routers learn of a failing server from each other")
{
    const fault active_fault =
        GENERATE(fault::breaks_off, fault::never_answers);
    simulated_fleet alone{false};
    static_cast<void>(alone.run(3s, std::nullopt));
    const std::size_t failed_alone = alone.run(10s, active_fault);
    simulated_fleet sharing{true};
    CHECK(sharing.run(3s, std::nullopt) == 0);
    const std::size_t failed = sharing.run(10s, active_fault);
    CAPTURE(failed_alone);
    CHECK(failed <= simulated_fleet::routers / 4);
    CHECK(failed_alone > 2 * failed);
    // After its recovery no request fails; the server may get requests again.
    static_cast<void>(sharing.run(10s, std::nullopt));
    CHECK(sharing.run(3s, std::nullopt) == 0);
}

// Guards against a healthy server that is avoided for one failure, or because
// the routers that know of its progress are slow to report.
TEST_CASE("a healthy server is not taken for a failing one")
{
    backend_failure_tracker health;
    constexpr std::uint32_t server = 7;
    // One failure among few requests.
    health.add(std::vector<backend_load>{{server, 1, 1, 1, 0}}, {1s});
    CHECK(
        health.conditions({}, {1s}) ==
        std::vector<fleet_backend_load>{{server, 0, 25}});
    // Many running requests, and progress in every fourth report only.
    for (int i = 0; i < 20; ++i)
    {
        const time_point now{2s + i * 200ms};
        const std::vector<backend_load> fleet{
            {server, 9, 0, 0, static_cast<std::uint16_t>(i % 4 == 0 ? 1 : 0)}};
        health.add(fleet, now);
        CHECK(health.conditions(fleet, now).front().failure_percent < 25);
    }
    // Idle for a long time, then requests without progress so far.
    health.add({}, {20s});
    const std::vector<backend_load> fleet{{server, 4, 0, 0, 0}};
    health.add(fleet, {25s});
    CHECK(health.conditions(fleet, {25s}).front().failure_percent == 0);
}
