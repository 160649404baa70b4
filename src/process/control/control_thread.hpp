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

// Runs a control node and the peer network on one thread. Other threads hand
// it tasks; each task runs on the control thread, one after the other.
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

    // Sends what is queued, ends the thread and sets all pending results.
    void stop();

    // Safe from any thread. False when the thread has ended and the task
    // will not run.
    bool post(task work);

    // Runs a function on the control thread and waits for its value; nothing
    // when the thread has ended.
    template <typename Result>
    std::optional<Result>
    ask(std::function<Result(control_node&, const clock_reading&)> question);

    // Asks for a placement; the result is set when it is decided.
    std::shared_ptr<pending_placement> submit(const placement_query& query);

    // Proposes an entry to the voters' log.
    std::shared_ptr<pending_proposal> propose(
        wire::entry_kind kind, std::vector<std::uint8_t> data,
        time_point deadline);

    // Asks the voters for the last accepted version.
    std::shared_ptr<pending_proposal> read_version(time_point deadline);

    // State that any thread may read.
    configuration_ptr current_configuration() const
    {
        return node_->current_configuration();
    }
    readiness current_readiness() const
    {
        return node_->current_readiness();
    }

    // True when the control thread stopped by itself because its storage is
    // damaged; the process must end.
    bool failed() const
    {
        return failed_;
    }

    // Only on the control thread.
    peer_network& network()
    {
        return *network_;
    }

    // Called at each turn of the loop, on the control thread, after the
    // node's own work; for parts that follow the node's state.
    void set_turn_hook(task hook)
    {
        turn_hook_ = std::move(hook);
    }

private:
    using placement_key = std::pair<request_id, std::uint8_t>;

    void run();
    void turn();
    void run_tasks(const clock_reading& now);
    void send_outgoing();
    void deliver_results();
    void abandon_waiting();
    void await(std::uint64_t proposal, std::shared_ptr<pending_proposal> result)
    {
        proposals_.emplace(proposal, std::move(result));
    }

    std::unique_ptr<control_node> node_;
    std::unique_ptr<peer_network> network_;
    task turn_hook_;
    std::thread thread_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> failed_{false};

    std::mutex mutex_;
    std::vector<task> tasks_;
    bool closed_ = false;

    // Used by the control thread only.
    std::map<placement_key, std::shared_ptr<pending_placement>> placements_;
    std::map<std::uint64_t, std::shared_ptr<pending_proposal>> proposals_;
};

template <typename Result>
std::optional<Result> control_thread::ask(
    std::function<Result(control_node&, const clock_reading&)> question)
{
    auto answer = std::make_shared<pending_result<Result>>();
    const bool posted = post([answer, question = std::move(question)](
                                 control_node& node, const clock_reading& now)
                             { answer->set(question(node, now)); });
    if (!posted)
    {
        return std::nullopt;
    }
    return answer->wait();
}

} // namespace hickorygap

#endif
