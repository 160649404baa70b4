#ifndef HICKORYGAP_PROCESS_CONTROL_CONTROL_THREAD_HPP
#define HICKORYGAP_PROCESS_CONTROL_CONTROL_THREAD_HPP

#include "connection/framing/peer_network.hpp"
#include "process/control/control_node.hpp"
#include "process/control/pending_result.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace hickorygap
{

using pending_placement = pending_result<placement_decision>;
using pending_proposal = pending_result<proposal_result>;

// Runs a control node and the peer network on one thread, the control thread.
// Other threads post tasks to it, which run there one after the other.
class control_thread
{
public:
    using task = std::function<void(control_node&, const clock_reading&)>;

    control_thread(
        std::unique_ptr<control_node> node,
        std::unique_ptr<peer_network> network);
    ~control_thread();
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;

    void start();

    // Sends the queued messages, ends the thread and sets all pending results:
    // placements are refused, proposals end with no_quorum and may still be
    // accepted.
    void stop();

    // Queues a task. Safe from any thread. False when the control thread has
    // ended and the task will not run.
    bool post(task work);

    // Runs a function on the control thread and waits for its return value;
    // nothing when the control thread has ended.
    template <typename Result>
    std::optional<Result> run_and_wait(
        std::function<Result(control_node&, const clock_reading&)> function);

    // Submits a placement query; the result is set when it is decided.
    std::shared_ptr<pending_placement> submit(const placement_query& query);

    // Proposes an entry to the voters' log.
    std::shared_ptr<pending_proposal> propose(
        wire::entry_kind kind, std::vector<std::uint8_t> data,
        time_point deadline);

    // Asks the voters for the last accepted version.
    std::shared_ptr<pending_proposal> read_version(time_point deadline);

    // Safe from any thread.
    configuration_ptr current_configuration() const
    {
        return node_->current_configuration();
    }
    readiness current_readiness() const
    {
        return node_->current_readiness();
    }

    // True when the control thread has stopped because its storage is damaged;
    // the process must then exit. Safe from any thread.
    bool failed() const
    {
        return failed_;
    }

    // To be used on the control thread only.
    peer_network& network()
    {
        return *network_;
    }

    // Sets a function that the control thread calls in each iteration after
    // the node's own work, for components that follow the node's state. To be
    // set before start.
    void set_iteration_hook(task hook)
    {
        iteration_hook_ = std::move(hook);
    }

private:
    using placement_key = std::pair<request_id, std::uint8_t>;

    void run();
    void run_iteration();
    void run_tasks(const clock_reading& now);
    void send_outgoing();
    void deliver_results();
    void resolve_pending_results();
    void add_pending_proposal(
        std::uint64_t proposal, std::shared_ptr<pending_proposal> result)
    {
        pending_proposals_.emplace(proposal, std::move(result));
    }

    std::unique_ptr<control_node> node_;
    std::unique_ptr<peer_network> network_;
    task iteration_hook_;
    std::thread thread_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> failed_{false};

    std::mutex mutex_;
    std::vector<task> tasks_;
    bool closed_ = false;

    // Used by the control thread only.
    std::map<placement_key, std::shared_ptr<pending_placement>>
        pending_placements_;
    std::map<std::uint64_t, std::shared_ptr<pending_proposal>>
        pending_proposals_;
};

template <typename Result>
std::optional<Result> control_thread::run_and_wait(
    std::function<Result(control_node&, const clock_reading&)> function)
{
    auto result = std::make_shared<pending_result<Result>>();
    const bool posted = post([result, function = std::move(function)](
                                 control_node& node, const clock_reading& now)
                             { result->set(function(node, now)); });
    if (!posted)
    {
        return std::nullopt;
    }
    return result->wait();
}

} // namespace hickorygap

#endif
