#ifndef HICKORYGAP_TESTS_PROCESS_CONSENSUS_RAFT_CLUSTER_HPP
#define HICKORYGAP_TESTS_PROCESS_CONSENSUS_RAFT_CLUSTER_HPP

#include "process/consensus/raft_node.hpp"
#include "support/faulty_network.hpp"
#include "support/memory_log_storage.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickorygap::test
{

// A simulated group of raft nodes on a faulty network. Checks Raft's safety
// properties after each step and keeps the first violation.
class raft_cluster
{
public:
    raft_cluster(instance_id voters, std::uint64_t seed);

    // Advances the simulated time by 20 ms.
    void step();
    void run(int steps);

    // Performs one fault or request. kind and node may be any number; they are
    // reduced to the number of kinds and of nodes.
    void perform(std::uint8_t kind, std::uint8_t node);

    // Ends all faults and starts all nodes.
    void heal();
    void crash(instance_id id);
    void restart(instance_id id);
    void propose(instance_id id);

    raft_node* node(instance_id id);
    raft_node* leader();
    memory_disk& disk(instance_id id)
    {
        return *members_.at(id).disk;
    }
    faulty_network& network()
    {
        return network_;
    }
    std::uint64_t committed() const
    {
        return committed_.empty() ? 0 : committed_.rbegin()->first;
    }
    std::uint64_t confirmed_reads() const
    {
        return confirmed_reads_;
    }
    std::uint64_t installed_snapshots() const
    {
        return installed_snapshots_;
    }

    // Empty while all safety properties hold.
    const std::string& violation() const
    {
        return violation_;
    }

private:
    struct member
    {
        std::shared_ptr<memory_disk> disk;
        std::unique_ptr<memory_log_storage> storage;
        std::unique_ptr<raft_node> node;
        int hung_steps = 0;
        int slow_disk_steps = 0;
        std::uint64_t applied = 0;

        // By the number of a read: commit index of the group at its start.
        std::map<std::uint64_t, std::uint64_t> reads;
    };

    void sync_disk(member& self);
    void check_committed(instance_id id, member& self);
    void check_leaders();
    void check_logs();
    void record_violation(std::string what);

    random_engine random_;
    faulty_network network_;
    time_point now_{std::chrono::seconds{1000}};
    std::vector<instance_id> ids_;
    std::map<instance_id, member> members_;
    std::map<std::uint64_t, instance_id> leaders_;
    std::map<std::uint64_t, wire::log_entry_msg> committed_;
    std::uint8_t last_value_ = 0;
    std::uint64_t confirmed_reads_ = 0;
    std::uint64_t installed_snapshots_ = 0;
    std::string violation_;
};

} // namespace hickorygap::test

#endif
