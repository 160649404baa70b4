#include "process/control/control_thread.hpp"

#include "common/address.hpp"
#include "common/logging.hpp"
#include "common/status_text.hpp"

namespace hickorygap
{

namespace
{

// Longest time that one iteration waits for messages, and so the resolution of
// the state machines' timers.
constexpr duration max_poll_wait = std::chrono::milliseconds{20};

placement_refusal
make_shutdown_refusal(request_id request, std::uint8_t attempt)
{
    placement_refusal refusal;
    refusal.request = request;
    refusal.attempt = attempt;
    refusal.reason = wire::refusal_reason::draining;
    refusal.retry_after = std::chrono::seconds{1};
    return refusal;
}

absl::Status
set_peer_address(peer_network& network, instance_id peer, std::string_view text)
{
    const auto address = parse_address(text);
    if (!address.ok())
    {
        return address.status();
    }
    return network.set_address(peer, address->host, address->port);
}

} // namespace

control_thread::control_thread(
    std::unique_ptr<control_node> node, std::unique_ptr<peer_network> network)
    : node_(std::move(node))
    , network_(std::move(network))
{
}

control_thread::~control_thread()
{
    stop();
}

void control_thread::start()
{
    thread_ = std::thread{[this] { run(); }};
}

void control_thread::stop()
{
    stopping_ = true;
    network_->wake();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

bool control_thread::post(task work)
{
    {
        const std::lock_guard lock{mutex_};
        if (closed_)
        {
            return false;
        }
        tasks_.push_back(std::move(work));
    }
    network_->wake();
    return true;
}

std::shared_ptr<pending_placement>
control_thread::submit(const placement_query& query)
{
    auto result = std::make_shared<pending_placement>();
    const bool posted = post(
        [this, result, query](control_node& node, const clock_reading& now)
        {
            pending_placements_[{query.request, query.attempt}] = result;
            node.placement().submit(query, now.monotonic);
        });
    if (!posted)
    {
        result->set(make_shutdown_refusal(query.request, query.attempt));
    }
    return result;
}

std::shared_ptr<pending_proposal> control_thread::propose(
    wire::entry_kind kind, std::vector<std::uint8_t> data, time_point deadline)
{
    auto result = std::make_shared<pending_proposal>();
    const bool posted = post(
        [this, result, kind, data = std::move(data),
         deadline](control_node& node, const clock_reading& now)
        {
            add_pending_proposal(
                node.proposals().propose(kind, data, now.monotonic, deadline),
                result);
        });
    if (!posted)
    {
        result->set(proposal_result{});
    }
    return result;
}

std::shared_ptr<pending_proposal>
control_thread::read_version(time_point deadline)
{
    auto result = std::make_shared<pending_proposal>();
    const bool posted = post(
        [this, result, deadline](control_node& node, const clock_reading& now)
        {
            add_pending_proposal(
                node.proposals().read(now.monotonic, deadline), result);
        });
    if (!posted)
    {
        result->set(proposal_result{});
    }
    return result;
}

void control_thread::run()
{
    while (!stopping_ && !failed_)
    {
        run_iteration();
    }
    send_outgoing();
    resolve_pending_results();
}

void control_thread::run_iteration()
{
    const auto messages = network_->poll(max_poll_wait);
    const clock_reading now = read_clocks();
    for (const received_message& message : messages)
    {
        node_->receive(
            message.sender, message.incarnation, message.payload, now);
    }
    run_tasks(now);
    const absl::Status status = node_->advance(now);
    if (!status.ok())
    {
        log(log_level::error, subsystem::process, "stopped reason=\"{}\"",
            message_of(status));
        failed_ = true;
        return;
    }
    if (iteration_hook_)
    {
        iteration_hook_(*node_, now);
    }
    send_outgoing();
    deliver_results();
}

void control_thread::run_tasks(const clock_reading& now)
{
    std::vector<task> tasks;
    {
        const std::lock_guard lock{mutex_};
        tasks.swap(tasks_);
    }
    for (const task& each : tasks)
    {
        each(*node_, now);
    }
}

void control_thread::send_outgoing()
{
    for (const auto& [id, text] : node_->members().take_address_changes())
    {
        const absl::Status status = set_peer_address(*network_, id, text);
        if (!status.ok())
        {
            log(log_level::warning, subsystem::network,
                "bad_address instance={} address=\"{}\" reason=\"{}\"", id,
                text, message_of(status));
        }
    }
    for (const outgoing_message& message : node_->take_outgoing())
    {
        network_->send(message);
    }
}

void control_thread::deliver_results()
{
    for (auto& decided : node_->placement().take_decisions())
    {
        const auto found =
            pending_placements_.find({decided.request, decided.attempt});
        if (found != pending_placements_.end())
        {
            found->second->set(decided.decision);
            pending_placements_.erase(found);
        }
    }
    for (proposal_result& result : node_->proposals().take_results())
    {
        const auto found = pending_proposals_.find(result.proposal);
        if (found != pending_proposals_.end())
        {
            found->second->set(std::move(result));
            pending_proposals_.erase(found);
        }
    }
}

void control_thread::resolve_pending_results()
{
    {
        const std::lock_guard lock{mutex_};
        closed_ = true;
    }
    // Tasks that were posted before closed_ was set may still add pending
    // results.
    run_tasks(read_clocks());
    for (const auto& [key, pending] : pending_placements_)
    {
        pending->set(make_shutdown_refusal(key.first, key.second));
    }
    for (const auto& [number, pending] : pending_proposals_)
    {
        proposal_result result;
        result.proposal = number;
        pending->set(result);
    }
}

} // namespace hickorygap
