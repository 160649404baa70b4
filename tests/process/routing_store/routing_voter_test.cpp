#include "process/consensus/file_log_storage.hpp"
#include "process/routing_store/routing_cluster.hpp"
#include "support/file_size_limit.hpp"
#include "support/temporary_folder.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

using namespace hickorygap;
using namespace hickorygap::test;

namespace
{

const std::set<instance_id> first_five{1, 2, 3, 4, 5};

// Starts a group of five voters that has acknowledged one version.
void start_five_voters(routing_cluster& cluster)
{
    cluster.start_all(5);
    REQUIRE(cluster.file_and_wait());
    cluster.run(100);
    REQUIRE(cluster.voters() == first_five);
    REQUIRE(cluster.active_voters() == 5);
}

// How a voter stops replying. A stalled disk blocks its process, as a freeze
// does.
enum class silence
{
    frozen,
    cut_off,
    deaf,
    full_disk
};

void set_silent(routing_cluster& cluster, instance_id id, silence kind)
{
    switch (kind)
    {
    case silence::frozen:
        cluster.freeze(id);
        break;
    case silence::cut_off:
        cluster.network().cut(id);
        break;
    case silence::deaf:
        cluster.network().block_incoming(id);
        break;
    case silence::full_disk:
        cluster.disk(id).full = true;
        break;
    }
}

void end_silence(routing_cluster& cluster, instance_id id, silence kind)
{
    if (kind == silence::frozen)
    {
        cluster.thaw(id);
    }
    cluster.network().heal(id);
    cluster.disk(id).full = false;
}

} // namespace

// Guards against a configuration that is acknowledged while the group has fewer
// disks than it needs to survive the configured number of lost disks.
TEST_CASE(
    "three seeds create the group and it accepts filings with five voters")
{
    routing_cluster cluster{1};
    cluster.start(1, true);
    cluster.start(2, true);
    cluster.run(200);
    CHECK_FALSE(cluster.leader());
    cluster.start(3, true);
    cluster.run(200);
    REQUIRE(cluster.leader());
    CHECK_FALSE(cluster.file(*cluster.leader()));
    cluster.start(4, true);
    cluster.start(5, true);
    cluster.run(100);
    CHECK(cluster.voters() == first_five);
    CHECK(cluster.file_and_wait());
}

// Failure: all voters lose power, some lose their disks, and all restart within
// a short time. Guards against split votes: with two disks lost, a candidate
// needs the votes of all remaining voters. Routers refuse all requests until
// there is a leader and tell callers to retry 1.3 s after the routers' start,
// so the election must end within 65 steps of 20 ms.
TEST_CASE("voters that restart together elect a leader within 1.3 s")
{
    constexpr int restarts = 100;
    constexpr int limit_steps = 65;
    const auto [skew_steps, lost_disks] =
        GENERATE(table<int, instance_id>({{2, 0}, {2, 2}, {15, 0}, {15, 2}}));
    CAPTURE(skew_steps, lost_disks);
    int in_time = 0;
    for (std::uint64_t seed = 1; seed <= restarts; ++seed)
    {
        routing_cluster cluster{seed, production_timing()};
        cluster.start_all(5);
        REQUIRE(cluster.file_and_wait());
        for (instance_id id = 1; id <= 5; ++id)
        {
            if ((id + seed) % 5 < lost_disks)
            {
                cluster.lose_disk(id);
            }
            else
            {
                cluster.kill(id);
            }
        }
        int steps = 0;
        for (; steps < limit_steps && !cluster.leader(); ++steps)
        {
            for (instance_id id = 1; id <= 5; ++id)
            {
                if (static_cast<int>(seed * 7 + id * 11) % skew_steps == steps)
                {
                    cluster.start(id);
                }
            }
            cluster.step();
        }
        in_time += cluster.leader() ? 1 : 0;
    }
    CHECK(in_time == restarts);
}

// Failure: the leader is lost, and another voter receives no messages because
// its link is cut in one direction, so that it requests votes and gets no
// replies. Guards against voters that defer to its candidacy for ever.
TEST_CASE("a candidate that receives no messages does not block elections")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        CAPTURE(seed);
        routing_cluster cluster{seed, production_timing()};
        start_five_voters(cluster);
        const instance_id lost_leader = *cluster.leader();
        const instance_id unreachable_candidate = lost_leader == 1 ? 2 : 1;
        cluster.kill(lost_leader);
        cluster.network().block_incoming(unreachable_candidate);
        cluster.run(150);
        REQUIRE(cluster.leader());
        CHECK(*cluster.leader() != unreachable_candidate);
    }
}

// Failure: machines are replaced one after another, and the seeds of the new
// ones do not include the leader. Guards against a group that loses one voter
// after another and gains none.
TEST_CASE("a new machine joins through voters that are not the leader")
{
    routing_cluster cluster{8};
    start_five_voters(cluster);
    // Restarts leaders until the leader is not one of the seeds 1 to 3.
    while (*cluster.leader() <= 3)
    {
        const instance_id leader = *cluster.leader();
        cluster.kill(leader);
        cluster.run(200);
        cluster.start(leader);
        cluster.run(200);
        REQUIRE(cluster.leader());
    }
    const instance_id replaced = *cluster.leader() == 4 ? 5 : 4;
    cluster.kill(replaced);
    cluster.start(6);
    cluster.run(500);
    CHECK(cluster.voters().contains(6));
    CHECK(cluster.active_voters() == 5);
    CHECK(cluster.file_and_wait());
}

// Load: operators read a large configuration often. Guards against reads that
// only the leader serves, over the link that carries its heartbeats, and
// against stale reads from a voter that is cut off from the majority.
TEST_CASE("every voter confirms reads unless it is cut off from the majority")
{
    routing_cluster cluster{3};
    start_five_voters(cluster);
    for (instance_id id = 1; id <= 5; ++id)
    {
        REQUIRE(cluster.file_and_wait());
        cluster.read(id);
        cluster.run(20);
        CAPTURE(id);
        CHECK(cluster.confirmed_reads(id) == 1);
    }
    const auto cut = static_cast<instance_id>(*cluster.leader() % 5 + 1);
    cluster.network().cut(cut);
    cluster.read(cut);
    REQUIRE(cluster.file_and_wait());
    cluster.run(400);
    CHECK(cluster.confirmed_reads(cut) == 1);
    CHECK_FALSE(cluster.stale_read());
}

// Guards against a second history, started by seeds that have lost their disks.
TEST_CASE("instances with empty disks and no bootstrap create no group")
{
    routing_cluster cluster{2};
    for (instance_id id = 1; id <= 5; ++id)
    {
        cluster.start(id, false);
    }
    cluster.run(500);
    CHECK_FALSE(cluster.leader());
}

// Failure: two disks are lost right after an acknowledgement, and all other
// machines lose power. Guards against the loss of the acknowledged version.
TEST_CASE("an acknowledged version survives the loss of any two disks")
{
    const auto first = GENERATE(1U, 2U, 3U, 4U);
    const auto second = GENERATE(2U, 3U, 4U, 5U);
    if (first >= second)
    {
        return;
    }
    CAPTURE(first, second);
    routing_cluster cluster{first * 10 + second};
    start_five_voters(cluster);
    REQUIRE(cluster.file_and_wait());
    for (instance_id id = 1; id <= 5; ++id)
    {
        if (id == first || id == second)
        {
            cluster.lose_disk(id);
        }
        else
        {
            cluster.kill(id);
        }
    }
    for (instance_id id = 1; id <= 5; ++id)
    {
        cluster.start(id);
    }
    cluster.run(400);
    REQUIRE(cluster.leader());
    CHECK(cluster.version_at(*cluster.leader()) >= cluster.acknowledged());
    CHECK(cluster.active_voters() == 5);
    CHECK(cluster.file_and_wait());
}

// Failure: one disk after another is lost, ten times. Guards against a group
// that shrinks, or that counts votes of lost disks.
TEST_CASE("voters that lose their disks one after another vote again")
{
    routing_cluster cluster{7};
    start_five_voters(cluster);
    for (int round = 0; round < 10; ++round)
    {
        const auto id = static_cast<instance_id>(round % 5 + 1);
        cluster.lose_disk(id);
        cluster.run(20);
        cluster.start(id);
        cluster.run(200);
        CAPTURE(round);
        REQUIRE(cluster.active_voters() == 5);
        REQUIRE(cluster.file_and_wait());
    }
    CHECK(cluster.voters() == first_five);
}

// Failure: a machine is lost for good and a new one with an empty disk joins
// from another address. Guards against a group that remains at four voters, and
// against a spare instance that takes the vote of a voter that still replies.
TEST_CASE("a new machine replaces a voter that no longer replies")
{
    routing_cluster cluster{8};
    start_five_voters(cluster);
    cluster.start(6);
    cluster.run(300);
    CHECK(cluster.voters() == std::set<instance_id>{1, 2, 3, 4, 5, 6});
    CHECK(cluster.active_voters() == 6);
    const bool planned = GENERATE(true, false);
    const instance_id replaced = planned ? 4 : 1;
    cluster.lose_disk(replaced);
    cluster.run(600);
    std::set<instance_id> expected = first_five;
    expected.erase(replaced);
    expected.insert(6);
    CHECK(cluster.voters() == expected);
    CHECK(cluster.active_voters() == 5);
    CHECK(cluster.file_and_wait());
}

namespace
{

// How a voter leaves for good.
enum class departure
{
    shut_down,
    killed,
    frozen
};

void depart(routing_cluster& cluster, instance_id id, departure kind)
{
    switch (kind)
    {
    case departure::shut_down:
        cluster.shut_down(id);
        break;
    case departure::killed:
        cluster.kill(id);
        break;
    case departure::frozen:
        cluster.freeze(id);
        break;
    }
}

// Time that a machine is given to take part in the group, in steps of 20 ms.
constexpr int catch_up_steps = 200;

// Time within which the group must recover from its last fault.
constexpr int recovery_steps = 600;

// Two machines, the leader among them, lose their disks at once and return 1 s
// later. The acknowledged version must be there in time, and all running
// instances must vote again.
void check_loss_of_two_disks(
    routing_cluster& cluster, std::vector<instance_id> running)
{
    const instance_id leader = cluster.leader().value_or(running.front());
    std::erase(running, leader);
    const std::array<instance_id, 2> wiped{leader, running.front()};
    running.push_back(leader);
    for (const instance_id id : wiped)
    {
        cluster.lose_disk(id);
    }
    cluster.run(catch_up_steps / 4);
    for (const instance_id id : wiped)
    {
        cluster.start(id);
    }
    cluster.run(recovery_steps);
    REQUIRE(cluster.leader());
    CHECK(cluster.version_at(*cluster.leader()) >= cluster.acknowledged());
    CHECK(
        cluster.voters() ==
        std::set<instance_id>(running.begin(), running.end()));
    CHECK(cluster.active_voters() == running.size());
    CHECK(cluster.file_and_wait());
}

} // namespace

// Failure: machines of the group are replaced as planned, a new one first, one
// after another; then two disks are lost. Guards against a group that counts
// machines that have left until it has no majority, and whose acknowledged
// versions can't be read any more (review/6).
TEST_CASE("successors make up for voters that leave one after another")
{
    struct replacements
    {
        departure kind;
        bool leaders;
        int count;
    };
    const auto [kind, leaders, count] = GENERATE(values<replacements>(
        {{departure::shut_down, true, 1},
         {departure::shut_down, true, 3},
         {departure::shut_down, false, 3},
         {departure::killed, true, 1},
         {departure::killed, true, 3},
         {departure::killed, false, 1},
         {departure::killed, false, 3},
         {departure::frozen, true, 1},
         {departure::frozen, true, 3},
         {departure::frozen, false, 3}}));
    CAPTURE(static_cast<int>(kind), leaders, count);
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        routing_cluster cluster{seed, production_timing()};
        start_five_voters(cluster);
        std::vector<instance_id> running{1, 2, 3, 4, 5};
        for (int round = 0; round < count; ++round)
        {
            CAPTURE(round);
            running.push_back(running.back() + 1);
            cluster.start(running.back());
            cluster.run(catch_up_steps);
            REQUIRE(cluster.leader());
            const instance_id leader = *cluster.leader();
            const instance_id leaving =
                leaders ? leader : running[running[0] == leader ? 1 : 0];
            REQUIRE(cluster.file_and_wait(50));
            depart(cluster, leaving, kind);
            std::erase(running, leaving);
        }
        cluster.run(catch_up_steps);
        check_loss_of_two_disks(cluster, running);
    }
}

// Failure: a voter ends in order after its successor has had time to join, and
// two disks are lost right after. Guards against a voter that ends while the
// group still counts on it (review/6).
TEST_CASE("a voter that ends in order hands over its place first")
{
    const bool leads = GENERATE(true, false);
    CAPTURE(leads);
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        routing_cluster cluster{seed, production_timing()};
        start_five_voters(cluster);
        cluster.start(6);
        cluster.run(catch_up_steps);
        REQUIRE(cluster.file_and_wait());
        const instance_id leader = *cluster.leader();
        const instance_id leaving =
            leads ? leader : static_cast<instance_id>(leader % 5 + 1);
        cluster.shut_down(leaving);
        int steps = 0;
        for (; cluster.is_running(leaving) && steps < catch_up_steps; ++steps)
        {
            cluster.step();
        }
        CHECK(steps <= 100);
        std::vector<instance_id> running{1, 2, 3, 4, 5, 6};
        std::erase(running, leaving);
        check_loss_of_two_disks(cluster, running);
    }
}

// Guards against a voter that is restarted in order and waits for a removal
// that the group can't afford, and against a removed one that does not vote
// again.
TEST_CASE("a voter that is restarted in order votes again")
{
    const bool has_extra_voter = GENERATE(false, true);
    CAPTURE(has_extra_voter);
    for (instance_id id = 1; id <= 5; ++id)
    {
        CAPTURE(id);
        routing_cluster cluster{id, production_timing()};
        start_five_voters(cluster);
        std::set<instance_id> all = first_five;
        if (has_extra_voter)
        {
            cluster.start(6);
            cluster.run(catch_up_steps);
            all.insert(6);
        }
        cluster.shut_down(id);
        int steps = 0;
        for (; cluster.is_running(id) && steps < catch_up_steps; ++steps)
        {
            cluster.step();
        }
        CHECK(steps <= (has_extra_voter ? 50 : 1));
        cluster.run(50);
        cluster.start(id);
        cluster.run(catch_up_steps);
        CHECK(cluster.voters() == all);
        CHECK(cluster.active_voters() == all.size());
        CHECK(cluster.file_and_wait());
    }
}

// Failure: a failure domain is lost while a successor runs beside the voter
// that it shall replace. Guards against extra voters that give a domain half of
// the votes, and against a successor that does not get the vote of a voter that
// leaves.
TEST_CASE("extra voters leave a majority without any failure domain")
{
    struct layout
    {
        std::uint64_t successor_domain;
        bool votes;
    };
    const auto [successor_domain, votes] =
        GENERATE(values<layout>({{1, false}, {2, false}, {3, true}}));
    CAPTURE(successor_domain);
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        routing_cluster cluster{seed, production_timing()};
        std::map<instance_id, std::uint64_t> domains{
            {1, 1}, {2, 2}, {3, 3}, {4, 1}, {5, 2}, {6, successor_domain}};
        cluster.set_failure_domains(domains);
        start_five_voters(cluster);
        cluster.start(6);
        cluster.run(catch_up_steps);
        CHECK(cluster.voters().contains(6) == votes);
        const bool domain_is_lost = seed % 2 == 0;
        std::vector<instance_id> running;
        for (const auto& [id, domain] : domains)
        {
            const bool leaves = domain_is_lost ? domain == successor_domain
                                               : id == successor_domain;
            if (leaves)
            {
                cluster.kill(id);
            }
            else
            {
                running.push_back(id);
            }
        }
        cluster.run(catch_up_steps);
        REQUIRE(cluster.file_and_wait());
        if (!domain_is_lost)
        {
            check_loss_of_two_disks(cluster, running);
        }
    }
}

// Failure: a voter is silent while another machine is replaced, so that the
// leader removes the silent one; then two disks are lost. Guards against a
// voter that never learns of its removal and never joins again, which leaves
// the group without the disks that it needs for the loss of two (review/1).
TEST_CASE("a voter that was silent during a replacement votes again")
{
    struct replacement
    {
        silence kind;
        bool silent_leads;
        bool successor_is_first;
    };
    const auto [kind, silent_leads, successor_is_first] =
        GENERATE(values<replacement>(
            {{silence::frozen, false, false},
             {silence::frozen, false, true},
             {silence::frozen, true, false},
             {silence::cut_off, false, false},
             {silence::cut_off, true, true},
             {silence::deaf, false, false},
             {silence::full_disk, false, false},
             {silence::full_disk, true, true}}));
    CAPTURE(static_cast<int>(kind), silent_leads, successor_is_first);
    constexpr int second_steps = 50;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        routing_cluster cluster{seed, production_timing()};
        start_five_voters(cluster);
        instance_id successor = 5;
        // Twice over: the second silent voter may be one that joined again.
        for (int round = 0; round < 2; ++round)
        {
            CAPTURE(round);
            REQUIRE(cluster.leader());
            const std::set<instance_id> before = cluster.voters();
            std::vector<instance_id> followers{before.begin(), before.end()};
            const instance_id leader = *cluster.leader();
            std::erase(followers, leader);
            const instance_id silent = silent_leads ? leader : followers[0];
            const instance_id replaced = followers[1 + seed % 3];
            ++successor;
            set_silent(cluster, silent, kind);
            cluster.run(3 * second_steps);
            if (successor_is_first)
            {
                cluster.start(successor);
                cluster.run(second_steps);
                cluster.lose_disk(replaced);
            }
            else
            {
                cluster.lose_disk(replaced);
                cluster.run(second_steps);
                cluster.start(successor);
            }
            cluster.run(4 * second_steps);
            end_silence(cluster, silent, kind);
            cluster.run(12 * second_steps);
            std::set<instance_id> expected = before;
            expected.erase(replaced);
            expected.insert(successor);
            CHECK(cluster.voters() == expected);
            CHECK(cluster.active_voters() == 5);
            REQUIRE(cluster.file_and_wait());
        }
        const std::set<instance_id> voters = cluster.voters();
        for (const instance_id id :
             {*std::next(voters.begin(), 1), *std::next(voters.begin(), 3)})
        {
            cluster.lose_disk(id);
            cluster.start(id);
        }
        cluster.run(6 * second_steps);
        REQUIRE(cluster.leader());
        CHECK(cluster.version_at(*cluster.leader()) >= cluster.acknowledged());
        CHECK(cluster.active_voters() == 5);
    }
}

// Failure: voters fall silent and machines are replaced in any order, at most
// two missing at a time. Guards against a group that lacks a running instance
// after all have recovered (review/1, with overlapping faults).
TEST_CASE("all running instances vote after any silences and replacements")
{
    const bool holds = rc::check(
        [](std::uint64_t seed, std::vector<std::uint8_t> actions)
        {
            routing_cluster cluster{seed, production_timing()};
            cluster.start_all(5);
            cluster.run(200);
            std::vector<instance_id> running{1, 2, 3, 4, 5};
            std::map<instance_id, silence> silent;
            const auto recover = [&]
            {
                for (const auto& [id, kind] : std::exchange(silent, {}))
                {
                    end_silence(cluster, id, kind);
                }
                cluster.run(600);
            };
            for (const std::uint8_t action : actions)
            {
                const instance_id id = running[action % running.size()];
                const int kind = action / 5 % 10;
                if (kind < 4 && silent.size() < 2 && !silent.contains(id))
                {
                    silent[id] = static_cast<silence>(kind);
                    set_silent(cluster, id, silent[id]);
                }
                else if (kind < 7 && silent.contains(id))
                {
                    end_silence(cluster, id, silent.extract(id).mapped());
                }
                else if (
                    kind < 9 && id != 1 && silent.size() < 2 &&
                    !silent.contains(id))
                {
                    cluster.lose_disk(id);
                    std::erase(running, id);
                    running.push_back(running.back() + 1);
                    cluster.start(running.back());
                    cluster.run(300);
                }
                else if (kind == 9)
                {
                    recover();
                }
                cluster.run(100);
                // Time for the group to complete a replacement.
                if (running.back() % 2 == 1)
                {
                    recover();
                }
            }
            recover();
            RC_ASSERT(
                cluster.voters() ==
                std::set<instance_id>(running.begin(), running.end()));
            RC_ASSERT(cluster.active_voters() == running.size());
            RC_ASSERT(cluster.file_and_wait());
            RC_ASSERT(
                cluster.version_at(*cluster.leader()) >=
                cluster.acknowledged());
        });
    CHECK(holds);
}

// Load: a burst of configurations. Guards against replicating each of them to
// all voters, which saturates their links until heartbeats are late and voters
// start an election.
TEST_CASE("versions in quick succession share an entry and all complete")
{
    routing_cluster cluster{10};
    start_five_voters(cluster);
    const instance_id leader = *cluster.leader();
    const auto entries_before = cluster.last_index(leader);
    const auto first = cluster.acknowledged();
    constexpr int filing_count = 50;
    for (int i = 0; i < filing_count; ++i)
    {
        REQUIRE(cluster.file(leader));
        cluster.step();
    }
    cluster.run(50);
    CHECK(cluster.acknowledged() == first + filing_count);
    CHECK(cluster.acknowledgements(leader) >= filing_count);
    CHECK(cluster.last_index(leader) - entries_before <= 8);
}

// Failure: the leader's disk is full. Guards against a leader that remains
// leader but can't commit anything.
TEST_CASE("a leader with a full disk is replaced by another voter")
{
    routing_cluster cluster{9};
    start_five_voters(cluster);
    const instance_id before = *cluster.leader();
    cluster.disk(before).full = true;
    CHECK(cluster.file_and_wait(200));
    CHECK(*cluster.leader() != before);
}

namespace
{

// Log storage in files whose disk may be full.
class limited_log_storage final : public log_storage
{
public:
    // `is_full` must outlive the storage.
    limited_log_storage(std::string folder, const bool& is_full)
        : files_{std::move(folder)}
        , is_full_{is_full}
    {
    }

    absl::StatusOr<stored_state> load() override
    {
        return files_.load();
    }
    void write(storage_write change) override
    {
        files_.write(std::move(change));
    }
    absl::Status sync() override
    {
        std::optional<file_size_limit> limit;
        if (is_full_)
        {
            limit.emplace(0);
        }
        return files_.sync();
    }

private:
    file_log_storage files_;
    const bool& is_full_;
};

} // namespace

// Failure: the disks of all voters are full for some seconds, one after another
// and never two at once, while changes are filed; the leader's among them.
// Guards against a voter that does not go on once its disk has room again, so
// that changes are refused or stay unanswered for good.
TEST_CASE("changes are acknowledged after all disks were full in turn")
{
    struct sequence
    {
        bool leader_first;
        int full_steps;
        int pause_steps;
        bool with_extra_voter;
    };
    const auto [leader_first, full_steps, pause_steps, with_extra_voter] =
        GENERATE(values<sequence>(
            {{false, 150, 0, false},
             {true, 150, 0, false},
             {true, 100, 25, false},
             {true, 40, 0, false},
             {false, 300, 100, false},
             {true, 150, 0, true}}));
    CAPTURE(leader_first, full_steps, pause_steps, with_extra_voter);
    const instance_id count = with_extra_voter ? 6 : 5;
    std::deque<temporary_folder> folders(count);
    std::array<bool, 7> is_full{};
    routing_cluster cluster{1, production_timing()};
    cluster.set_storage(
        [&](instance_id id)
        {
            return std::make_unique<limited_log_storage>(
                folders[id - 1].path(), is_full[id]);
        });
    cluster.start_all(5);
    if (with_extra_voter)
    {
        cluster.start(6);
    }
    REQUIRE(cluster.file_and_wait());
    cluster.run(100);
    REQUIRE(cluster.voters().size() == count);
    // Changes come all the time, at whichever voter leads.
    const auto run_with_changes = [&](int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            if (const auto leader = cluster.leader(); leader && i % 8 == 0)
            {
                cluster.file(*leader);
            }
            cluster.step();
        }
    };
    for (int turn = 0; turn < 2 * static_cast<int>(count); ++turn)
    {
        const auto next = static_cast<instance_id>(turn % count + 1);
        const instance_id id =
            leader_first ? cluster.leader().value_or(next) : next;
        is_full[id] = true;
        run_with_changes(full_steps);
        is_full[id] = false;
        run_with_changes(pause_steps);
    }
    // ack_ms is 4 s.
    for (int change = 0; change < 3; ++change)
    {
        REQUIRE(cluster.file_and_wait(200));
    }
    cluster.run(catch_up_steps);
    CHECK(cluster.voters().size() == count);
    CHECK(cluster.active_voters() == count);
    CHECK_FALSE(cluster.stale_read());
    for (instance_id id = 1; id <= count; ++id)
    {
        CHECK(cluster.version_at(id) >= cluster.acknowledged());
    }
    // What was acknowledged is on the disks.
    for (instance_id id = 1; id <= count; ++id)
    {
        cluster.kill(id);
        cluster.start(id);
    }
    cluster.run(catch_up_steps);
    REQUIRE(cluster.leader());
    CHECK(cluster.version_at(*cluster.leader()) >= cluster.acknowledged());
}

// Random faults: crashes, up to two lost disks at a time, partitions, and loss
// and duplication of messages. Guards against lost or stale versions and a
// group that does not recover.
TEST_CASE("acknowledged versions survive any order of faults")
{
    const bool holds = rc::check(
        [](std::uint64_t seed, std::vector<std::uint8_t> actions)
        {
            routing_cluster cluster{seed};
            cluster.start_all(5);
            cluster.run(200);
            int lost_disks = 0;
            for (const std::uint8_t action : actions)
            {
                const auto id = static_cast<instance_id>(action % 5 + 1);
                switch (action / 5 % 8)
                {
                case 0:
                    cluster.kill(id);
                    cluster.start(id);
                    break;
                case 1:
                    if (++lost_disks <= 2)
                    {
                        cluster.lose_disk(id);
                        cluster.start(id);
                    }
                    break;
                case 2:
                    cluster.network().cut(id);
                    break;
                case 3:
                    cluster.network().heal(id);
                    break;
                case 4:
                    cluster.network().set_faults(action % 20, 5);
                    break;
                case 5:
                    // Time for the voters with lost disks to vote again.
                    cluster.network().set_faults(0, 0);
                    for (instance_id all = 1; all <= 5; ++all)
                    {
                        cluster.network().heal(all);
                    }
                    cluster.run(400);
                    RC_ASSERT(cluster.active_voters() == 5);
                    lost_disks = 0;
                    break;
                case 6:
                    cluster.read(id);
                    cluster.file(id);
                    break;
                default:
                    break;
                }
                cluster.run(10);
                cluster.file(id);
                cluster.read(id);
            }
            cluster.network().set_faults(0, 0);
            for (instance_id id = 1; id <= 5; ++id)
            {
                cluster.network().heal(id);
            }
            cluster.run(400);
            RC_ASSERT(cluster.leader().has_value());
            RC_ASSERT(
                cluster.version_at(*cluster.leader()) >=
                cluster.acknowledged());
            RC_ASSERT_FALSE(cluster.stale_read());
            RC_ASSERT(cluster.file_and_wait());
        });
    CHECK(holds);
}

// Guards against an evacuation that was acknowledged and is forgotten: by a new
// leader, after a loss of power with two disks, or because a snapshot lacks it.
TEST_CASE("an acknowledged evacuation is kept until it is taken back")
{
    const bool compacts = GENERATE(false, true);
    CAPTURE(compacts);
    routing_cluster cluster{3};
    start_five_voters(cluster);
    REQUIRE(cluster.evacuate("zone-a", true));
    REQUIRE(cluster.evacuate("zone-b", true));
    REQUIRE(cluster.evacuate("zone-b", false));
    // More entries than between two snapshots.
    const int versions = compacts ? 70 : 2;
    for (int i = 0; i < versions; ++i)
    {
        REQUIRE(cluster.file_and_wait());
    }
    cluster.kill(*cluster.leader());
    cluster.run(100);
    REQUIRE(cluster.file_and_wait());
    for (instance_id id = 1; id <= 5; ++id)
    {
        cluster.kill(id);
    }
    cluster.lose_disk(1);
    cluster.lose_disk(2);
    for (instance_id id = 1; id <= 5; ++id)
    {
        cluster.start(id, false);
    }
    REQUIRE(cluster.file_and_wait());
    cluster.run(200);
    const std::set<std::string> expected{"zone-a"};
    for (instance_id id = 1; id <= 5; ++id)
    {
        CAPTURE(id);
        CHECK(cluster.evacuated_at(id) == expected);
    }
    REQUIRE(cluster.evacuate("zone-a", false));
    cluster.run(100);
    CHECK(cluster.evacuated_at(5).empty());
}
