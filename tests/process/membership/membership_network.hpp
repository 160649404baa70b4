#ifndef HICKORYGAP_TESTS_PROCESS_MEMBERSHIP_MEMBERSHIP_NETWORK_HPP
#define HICKORYGAP_TESTS_PROCESS_MEMBERSHIP_MEMBERSHIP_NETWORK_HPP

#include "process/membership/membership.hpp"
#include "process/membership/version_sync.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickorygap::test
{

struct network_options
{
    std::size_t size = 8;
    std::uint64_t seed = 1;
    double loss = 0.0;
    duration min_delay{std::chrono::milliseconds{1}};
    duration max_delay{std::chrono::milliseconds{5}};

    // The first `voters` instances are voters and seeds.
    std::size_t voters = 3;
};

// One instance: the state machines that the control thread drives in a real
// process.
struct node
{
    instance_id id = 0;
    bool up = false;
    bool hung = false;
    bool has_disk = false;
    std::unique_ptr<membership> members;
    std::unique_ptr<version_sync> versions;
    std::vector<version_document> disk;

    // Highest version that the current process has applied.
    configuration_version applied = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t version_bytes_sent = 0;
};

// Simulates a network of instances on a simulated clock, with message delay and
// loss, cut links, hung processes and restarts.
class membership_network
{
public:
    explicit membership_network(network_options options);

    void start(instance_id id);

    // Ends the process without announcing it to the other members.
    void stop(instance_id id);

    // Suspends or resumes a process. Messages that arrive while it is hung are
    // delivered when it resumes, as from a socket's buffer.
    void set_hung(instance_id id, bool hung);

    // Drops the messages from the first instance to the second while the
    // function returns true for them.
    using cut_function = std::function<bool(instance_id, instance_id)>;
    void set_cut(cut_function cut)
    {
        cut_ = std::move(cut);
    }

    void run_for(duration time);

    // Runs until the condition holds, which is checked every 100 ms; false
    // when it does not within the limit.
    bool run_until(const std::function<bool()>& condition, duration limit);

    // Adds the next accepted ticket at an instance, which acts as the leader.
    void accept_ticket(instance_id id, std::size_t document_bytes = 200);

    node& at(instance_id id)
    {
        return nodes_.at(id);
    }
    std::map<instance_id, node>& nodes()
    {
        return nodes_;
    }
    time_point now() const
    {
        return now_;
    }
    std::vector<instance_id> voters() const;

    // Whether the live members of each running instance are exactly the running
    // instances.
    bool views_agree() const;

    // Whether the version of any instance has decreased or skipped a document.
    bool version_decreased() const
    {
        return version_decreased_;
    }

    // Called for each member that an instance begins to consider dead.
    std::function<void(instance_id observer, instance_id member)> on_dead;

private:
    struct delivery
    {
        instance_id from = 0;
        instance_id to = 0;
        incarnation_number incarnation = 0;
        std::vector<std::uint8_t> bytes;
    };

    void collect(node& sender);
    void transmit(node& sender, const outgoing_message& message);
    void deliver(const delivery& message);
    void apply_documents(node& target);
    void report_new_deaths(node& observer);
    double random_fraction();

    network_options options_;
    random_engine random_;
    time_point now_{std::chrono::seconds{1}};
    std::map<instance_id, node> nodes_;
    std::multimap<time_point, delivery> in_flight_;
    std::map<instance_id, std::vector<delivery>> held_messages_;
    std::map<instance_id, std::set<instance_id>> known_dead_;
    cut_function cut_;
    bool version_decreased_ = false;
};

} // namespace hickorygap::test

#endif
