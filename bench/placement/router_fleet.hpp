#ifndef HICKORYGAP_BENCH_PLACEMENT_ROUTER_FLEET_HPP
#define HICKORYGAP_BENCH_PLACEMENT_ROUTER_FLEET_HPP

#include "common/random.hpp"
#include "request/placement/placement_service.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace hickorygap::bench
{

struct fleet_decision
{
    std::size_t instance = 0;
    placement_decision decision;
};

// The routers under test; instances are numbered from 0.
class router_fleet
{
public:
    virtual ~router_fleet() = default;

    virtual void submit(
        std::size_t instance, const placement_query& query, time_point now) = 0;
    virtual void finish(
        std::size_t instance, const attempt_report& report, time_point now) = 0;

    // Delivers the messages that are due and runs the timers of the routers.
    virtual void advance(time_point now) = 0;
    virtual std::vector<fleet_decision> take_decisions() = 0;

    // Observations of a backend server, delivered to the instances that poll
    // it.
    virtual void on_load_report(
        backend_server_id server, const load_report& report,
        time_point now) = 0;
    virtual void on_cache_event(
        backend_server_id server, const cache_event& event, time_point now) = 0;
    virtual void
    on_health(backend_server_id server, bool up, time_point now) = 0;

    // One instance learns of a ticket that makes the server join or leave.
    virtual void set_serving(
        std::size_t instance, backend_server_id server, bool serving,
        time_point now) = 0;

    virtual void kill(std::size_t instance) = 0;
    virtual void restart(std::size_t instance, time_point now) = 0;

    // The membership view of one instance changes to these live instances.
    virtual void set_members(
        std::size_t instance, const std::vector<bool>& live,
        time_point now) = 0;

    // Bytes sent by each instance, including 20 bytes of framing per message.
    virtual std::vector<std::uint64_t> bytes_sent() const = 0;
};

// Instances that run the placement service of the router and exchange messages.
class service_fleet : public router_fleet
{
public:
    service_fleet(
        std::size_t instances, const placement_topology& topology,
        duration message_delay);

    void submit(
        std::size_t instance, const placement_query& query,
        time_point now) override;
    void finish(
        std::size_t instance, const attempt_report& report,
        time_point now) override;
    void advance(time_point now) override;
    std::vector<fleet_decision> take_decisions() override;
    void on_load_report(
        backend_server_id server, const load_report& report,
        time_point now) override;
    void on_cache_event(
        backend_server_id server, const cache_event& event,
        time_point now) override;
    void on_health(backend_server_id server, bool up, time_point now) override;
    void set_serving(
        std::size_t instance, backend_server_id server, bool serving,
        time_point now) override;
    void kill(std::size_t instance) override;
    void restart(std::size_t instance, time_point now) override;
    void set_members(
        std::size_t instance, const std::vector<bool>& live,
        time_point now) override;
    std::vector<std::uint64_t> bytes_sent() const override;

private:
    struct instance_state
    {
        std::unique_ptr<placement_service> service;
        placement_topology topology;
        std::vector<instance_id> members;
        std::uint64_t bytes = 0;
    };

    struct message_in_flight
    {
        time_point due;
        instance_id from = 0;
        outgoing_message message;
    };

    void create(std::size_t instance, time_point now);
    void collect_output(std::size_t instance, time_point now);
    placement_service* poller_of(backend_server_id server);

    std::vector<instance_state> instances_;
    duration message_delay_;
    std::vector<message_in_flight> network_;
    std::size_t delivered_count_ = 0;
    std::vector<fleet_decision> decisions_;
    time_point last_tick_;
};

// Instances that apply a placement policy locally, without messages. With fewer
// policies than instances, several instances share one.
class policy_fleet : public router_fleet
{
public:
    explicit policy_fleet(
        std::vector<std::unique_ptr<placement_policy>> policies);

    void submit(
        std::size_t instance, const placement_query& query,
        time_point now) override;
    void finish(
        std::size_t instance, const attempt_report& report,
        time_point now) override;
    void advance(time_point now) override;
    std::vector<fleet_decision> take_decisions() override;
    void on_load_report(
        backend_server_id server, const load_report& report,
        time_point now) override;
    void on_cache_event(
        backend_server_id server, const cache_event& event,
        time_point now) override;
    void on_health(backend_server_id server, bool up, time_point now) override;
    void set_serving(
        std::size_t instance, backend_server_id server, bool serving,
        time_point now) override;
    void kill(std::size_t instance) override;
    void restart(std::size_t instance, time_point now) override;
    void set_members(
        std::size_t instance, const std::vector<bool>& live,
        time_point now) override;
    std::vector<std::uint64_t> bytes_sent() const override;

private:
    placement_policy& at(std::size_t instance)
    {
        return *policies_[instance % policies_.size()];
    }

    std::vector<std::unique_ptr<placement_policy>> policies_;
    // Entry instance of each request, since a policy may be shared.
    std::map<request_id, std::size_t> entry_instances_;
    std::vector<fleet_decision> decisions_;
    time_point last_tick_;
};

} // namespace hickorygap::bench

#endif
