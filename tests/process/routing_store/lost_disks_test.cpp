#include "common/random.hpp"
#include "process/routing_store/routing_cluster.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;

namespace
{

constexpr int steps_per_second = 50;

// A machine with an empty disk may take this long to make up for another one
// (catch_up_s).
constexpr int catch_up_steps = 4 * steps_per_second;

// Time until a group whose machines are back must serve again (recovery_s).
constexpr int recovery_steps = 12 * steps_per_second;

// Time for which a machine that lost its disk is down.
constexpr int restart_steps = steps_per_second / 2;

constexpr instance_id successor = 6;

// Runs the cluster, with a new version every 160 ms at whichever voter leads.
void run_with_changes(routing_cluster& cluster, int steps)
{
    for (int i = 0; i < steps; ++i)
    {
        if (const auto leader = cluster.leader(); leader && i % 8 == 0)
        {
            cluster.file(*leader);
        }
        cluster.step();
    }
}

void start_five_voters(routing_cluster& cluster)
{
    cluster.start_all(5);
    REQUIRE(cluster.file_and_wait());
    cluster.run(2 * steps_per_second);
    REQUIRE(cluster.voters().size() == 5);
}

// Whether the group confirms a read of the newest acknowledged version and
// accepts a further one.
bool is_serving(routing_cluster& cluster)
{
    if (!cluster.file_and_wait(recovery_steps))
    {
        return false;
    }
    bool is_read = false;
    for (int i = 0; i < recovery_steps && !is_read; ++i)
    {
        if (const auto leader = cluster.leader())
        {
            const int reads = cluster.confirmed_reads(*leader);
            cluster.read(*leader);
            cluster.run(10);
            is_read = cluster.confirmed_reads(*leader) > reads;
        }
        cluster.step();
    }
    return is_read && !cluster.stale_read() && !cluster.two_leaders();
}

// Steps of 20 ms after the removal at which something happens; negative before
// it.
struct removal_scenario
{
    // The removed machine leads; otherwise a machine with a lost disk does.
    bool removes_leader;
    int successor_start;
    int first_loss;
    int second_loss;

    // All other machines lose power with the second disk.
    bool loses_power = false;
};

} // namespace

// Failure: a machine is removed without notice once its successor has caught
// up, and two others lose their disks. Guards against a group that waits for
// the removed machine for good: it counts until it was silent for a while, and
// half of the voters are no majority.
TEST_CASE("a group goes on after a silent removal and two lost disks")
{
    const auto scenario = GENERATE(values<removal_scenario>(
        {// The disks are lost together: long before, at and after the removal.
         {true, -215, -25, -25},
         {false, -215, -25, -25},
         {true, -215, 0, 0},
         {false, -215, 0, 0},
         {true, -215, 5, 5},
         {false, -215, 5, 5},
         {true, -215, 50, 50},
         {false, -215, 50, 50},
         {true, -215, 75, 75},
         {false, -215, 75, 75},
         {true, -215, 99, 99},
         {false, -215, 99, 99},
         {true, -215, 105, 105},
         {false, -215, 105, 105},
         {true, -215, 130, 130},
         {false, -215, 130, 130},
         // One after the other, around the removal.
         {true, -215, -40, 0},
         {false, -215, -40, 0},
         {true, -215, -15, 15},
         {false, -215, -15, 15},
         {true, -215, 0, 25},
         {false, -215, 0, 25},
         {true, -215, 50, 110},
         {false, -215, 50, 110},
         {true, -215, 95, 102},
         {false, -215, 95, 102},
         // An older successor, and one that has its time only after the
         // removal.
         {true, -500, 0, 0},
         {false, -500, 50, 50},
         {true, -150, 51, 51},
         {false, -150, 51, 60},
         {true, -110, 91, 91},
         {false, -110, 91, 91},
         // The others lose power.
         {true, -215, 0, 0, true},
         {false, -215, 0, 0, true},
         {true, -215, 50, 50, true},
         {false, -215, 50, 50, true},
         {false, -215, 20, 50, true},
         {true, -215, 99, 99, true}}));
    const std::uint64_t seed = GENERATE(range(1, 6));
    CAPTURE(
        scenario.removes_leader, scenario.successor_start, scenario.first_loss,
        scenario.second_loss, scenario.loses_power, seed);
    routing_cluster cluster{seed, production_timing()};
    start_five_voters(cluster);
    const instance_id leader = *cluster.leader();
    const auto follower = [&](instance_id offset) -> instance_id
    { return (leader - 1 + offset) % 5 + 1; };
    const instance_id removed = scenario.removes_leader ? leader : follower(1);
    const instance_id first = scenario.removes_leader ? follower(2) : leader;
    const instance_id second = follower(3);
    std::multimap<int, std::function<void()>> events;
    events.emplace(scenario.successor_start, [&] { cluster.start(successor); });
    events.emplace(0, [&] { cluster.kill(removed); });
    const auto lose_disk_at = [&](int at, instance_id id)
    {
        events.emplace(at, [&cluster, id] { cluster.lose_disk(id); });
        events.emplace(
            at + restart_steps, [&cluster, id] { cluster.start(id); });
    };
    lose_disk_at(scenario.first_loss, first);
    lose_disk_at(scenario.second_loss, second);
    if (scenario.loses_power)
    {
        for (instance_id id = 1; id <= successor; ++id)
        {
            if (id != removed && id != first && id != second)
            {
                events.emplace(
                    scenario.second_loss, [&cluster, id] { cluster.kill(id); });
                events.emplace(
                    scenario.second_loss + restart_steps,
                    [&cluster, id] { cluster.start(id); });
            }
        }
    }
    int now = scenario.successor_start;
    for (const auto& [at, happen] : events)
    {
        run_with_changes(cluster, at - now);
        now = at;
        happen();
    }
    CHECK(is_serving(cluster));

    // The group restores itself without the removed machine.
    cluster.run(recovery_steps);
    CHECK(cluster.active_voters() == 5);
    CHECK_FALSE(cluster.voters().contains(removed));

    // The removed machine is back after all, with its disk.
    cluster.start(removed);
    run_with_changes(cluster, catch_up_steps);
    CHECK(is_serving(cluster));
    CHECK(cluster.active_voters() == 6);
}

// Failure: the removed machine returns in the middle of the recovery, with
// votes and entries from before. Guards against two leaders in a term and
// against entries that are replaced.
TEST_CASE("a removed machine may return at any moment")
{
    const int returns_at = GENERATE(range(0, 120, 6));
    CAPTURE(returns_at);
    routing_cluster cluster{7, production_timing()};
    start_five_voters(cluster);
    const instance_id removed = *cluster.leader();
    cluster.start(successor);
    run_with_changes(cluster, catch_up_steps);
    cluster.freeze(removed);
    cluster.run(10);
    const auto lost = [&](instance_id offset) -> instance_id
    { return (removed - 1 + offset) % 5 + 1; };
    cluster.lose_disk(lost(1));
    cluster.lose_disk(lost(2));
    bool is_back = false;
    for (int step = 0; step < 200; ++step)
    {
        if (step == restart_steps)
        {
            cluster.start(lost(1));
            cluster.start(lost(2));
        }
        if (step == returns_at)
        {
            cluster.thaw(removed);
            is_back = true;
        }
        run_with_changes(cluster, 1);
    }
    REQUIRE(is_back);
    CHECK(is_serving(cluster));
    cluster.run(catch_up_steps);
    CHECK(cluster.active_voters() == 6);
}

// Failure: a leader is on the side of a partition that loses two disks, just as
// it removes a voter of the other side. Guards against a shorter list that is
// committed by less than a majority of the list before: the other side must
// not go on without what that list has acknowledged.
TEST_CASE("a voter is removed by a majority of the list that contains it")
{
    const int cut_steps = GENERATE(range(0, 30, 2));
    CAPTURE(cut_steps);
    routing_cluster cluster{11, production_timing()};
    start_five_voters(cluster);
    cluster.start(successor);
    run_with_changes(cluster, catch_up_steps);
    const instance_id leader = *cluster.leader();
    const auto other = [&](instance_id offset) -> instance_id
    { return (leader - 1 + offset) % 5 + 1; };
    cluster.network().split_off({leader, other(1), other(2)});
    cluster.leave(other(3));
    run_with_changes(cluster, cut_steps);
    cluster.kill(leader);
    cluster.lose_disk(other(1));
    cluster.lose_disk(other(2));
    cluster.network().join();
    cluster.run(restart_steps);
    cluster.start(other(1));
    cluster.start(other(2));
    CHECK(is_serving(cluster));
    cluster.start(leader);
    run_with_changes(cluster, recovery_steps);
    CHECK(is_serving(cluster));
}

// Guards against voters that count the same election differently: a voter of an
// older release knows no half quorums.
TEST_CASE("half quorums wait until every voter supports them")
{
    routing_cluster cluster{5, production_timing()};
    cluster.lack_half_quorums();
    cluster.start(5);
    cluster.have_half_quorums();
    for (instance_id id = 1; id <= 4; ++id)
    {
        cluster.start(id, true);
    }
    REQUIRE(cluster.file_and_wait());
    cluster.run(catch_up_steps);
    REQUIRE(cluster.voters().size() == 5);
    CHECK_FALSE(cluster.has_half_quorums());
    cluster.kill(5);
    cluster.start(5);
    cluster.run(catch_up_steps);
    CHECK(cluster.has_half_quorums());

    // A voter that lacks them is not added before the list gives them up.
    cluster.lack_half_quorums();
    cluster.start(successor);
    cluster.run(catch_up_steps);
    CHECK(cluster.voters().size() == 6);
    CHECK_FALSE(cluster.has_half_quorums());
}

// Random faults: a machine is removed and may return, two others lose their
// disks, each together with a crash, freeze or partition of any machine, a loss
// of power of all, and loss, delay and duplication of messages. Guards against
// two leaders in a term, lost versions, stale reads, and a group that does not
// go on without the removed machine.
TEST_CASE("a removal and two lost disks are safe among other faults")
{
    constexpr std::uint64_t seeds = 400;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        random_engine random{seed};
        const auto below = [&](std::uint64_t limit)
        { return static_cast<int>(random_below(random, limit)); };
        routing_cluster cluster{seed, production_timing()};
        start_five_voters(cluster);
        cluster.start(successor);
        run_with_changes(cluster, catch_up_steps + below(50));
        std::vector<instance_id> machines{1, 2, 3, 4, 5};
        for (std::size_t i = machines.size() - 1; i > 0; --i)
        {
            std::swap(machines[i], machines[random_below(random, i + 1)]);
        }
        const instance_id removed = machines[0];
        const bool returns = below(2) == 0;
        std::multimap<int, std::function<void()>> events;
        const int removed_at = below(150);
        const int returns_at = removed_at + below(200);
        events.emplace(removed_at, [&] { cluster.kill(removed); });
        if (returns)
        {
            events.emplace(returns_at, [&] { cluster.start(removed); });
        }
        for (const instance_id id : {machines[1], machines[2]})
        {
            const int at = below(200);
            events.emplace(at, [&cluster, id] { cluster.lose_disk(id); });
            events.emplace(
                at + below(50), [&cluster, id] { cluster.start(id); });
        }
        const auto is_up = [&](instance_id id)
        { return cluster.is_running(id); };
        // Shorter than the silence after which another voter is removed.
        constexpr int max_silence = 80;
        for (int count = below(5); count > 0; --count)
        {
            const auto id = static_cast<instance_id>(below(6) + 1);
            const int at = below(250);
            const int until = at + below(max_silence);
            switch (below(5))
            {
            case 0:
                events.emplace(
                    at,
                    [&cluster, is_up, id]
                    {
                        if (is_up(id))
                        {
                            cluster.kill(id);
                            cluster.start(id);
                        }
                    });
                break;
            case 1:
                events.emplace(
                    at, [&cluster, id] { cluster.network().cut(id); });
                events.emplace(
                    until, [&cluster, id] { cluster.network().heal(id); });
                break;
            case 2:
                events.emplace(
                    at,
                    [&cluster, id] {
                        cluster.network().split_off({id, id % 6 + 1, 6});
                    });
                events.emplace(until, [&cluster] { cluster.network().join(); });
                break;
            case 3:
                events.emplace(
                    at,
                    [&cluster, is_up]
                    {
                        for (instance_id all = 1; all <= successor; ++all)
                        {
                            if (is_up(all))
                            {
                                cluster.kill(all);
                                cluster.start(all);
                            }
                        }
                    });
                break;
            default:
                events.emplace(
                    at, [&cluster] { cluster.network().set_faults(10, 5); });
                events.emplace(
                    until, [&cluster] { cluster.network().set_faults(0, 0); });
                break;
            }
        }
        int now = 0;
        for (const auto& [at, happen] : events)
        {
            run_with_changes(cluster, at - now);
            now = at;
            happen();
        }
        cluster.network().set_faults(0, 0);
        CHECK_FALSE(cluster.two_leaders());
        CHECK(is_serving(cluster));
        if (!returns)
        {
            cluster.start(removed);
        }
        run_with_changes(cluster, recovery_steps);
        CHECK(is_serving(cluster));
        CHECK(cluster.active_voters() == 6);
    }
}
