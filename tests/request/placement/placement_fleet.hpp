#ifndef HICKORYGAP_TESTS_REQUEST_PLACEMENT_PLACEMENT_FLEET_HPP
#define HICKORYGAP_TESTS_REQUEST_PLACEMENT_PLACEMENT_FLEET_HPP

#include "common/random.hpp"
#include "request/placement/placement_service.hpp"
#include "version/configuration/cell_map.hpp"

#include <map>
#include <memory>
#include <vector>

namespace hickorygap
{

inline constexpr service_id test_service = 77;

// A topology with one service of the given number of backend servers; their
// identifiers count from 1.
inline std::shared_ptr<placement_topology> make_test_topology(
    std::size_t servers, std::uint32_t slots, double load_bound = 1.25)
{
    auto topology = std::make_shared<placement_topology>();
    service& created = topology->services[test_service];
    created.id = test_service;
    created.load_bound = load_bound;
    for (backend_server_id id = 1; id <= servers; ++id)
    {
        backend_server& server = topology->backend_servers[id];
        server.id = id;
        server.service = test_service;
        server.slots = slots;
    }
    topology->cells =
        build_cells(topology->services, topology->backend_servers);
    return topology;
}

struct network_faults
{
    // Percent of the messages.
    unsigned lost = 0;
    unsigned duplicated = 0;
    duration longest_delay{std::chrono::milliseconds{5}};
};

// Several placement services that exchange messages with delay, loss and
// duplication. The test advances the clock.
class placement_fleet
{
public:
    placement_fleet(
        std::size_t instances, topology_ptr topology, std::uint64_t seed)
        : random_(seed)
        , topology_(std::move(topology))
    {
        for (instance_id id = 1; id <= instances; ++id)
        {
            members_.push_back(id);
        }
        for (const instance_id id : members_)
        {
            start(id);
        }
    }

    void start(instance_id id)
    {
        services_[id] = std::make_unique<placement_service>(
            placement_service_options{id, id, {}});
        services_[id]->set_topology(topology_, now);
        services_[id]->set_members(members_, now);
        collect_output(id);
    }

    // Stops the instance without a handover. The others learn of it from
    // announce_members.
    void crash(instance_id id)
    {
        services_.erase(id);
        std::erase(members_, id);
    }

    void announce_members()
    {
        for (const auto& [id, service] : services_)
        {
            service->set_members(members_, now);
            collect_output(id);
        }
    }

    placement_service& at(instance_id id)
    {
        return *services_.at(id);
    }

    template <typename Call>
    void call_on(instance_id id, Call call)
    {
        call(*services_.at(id));
        collect_output(id);
    }

    void submit(instance_id id, const placement_query& query)
    {
        call_on(
            id,
            [&](placement_service& service) { service.submit(query, now); });
    }

    void finish(
        instance_id id, const placement_grant& grant,
        wire::attempt_outcome outcome = wire::attempt_outcome::completed)
    {
        attempt_report report;
        report.request = grant.request;
        report.attempt = grant.attempt;
        report.granting_cell = grant.granting_cell;
        report.backend_server = grant.backend_server;
        report.outcome = outcome;
        report.actual_cost = 100;
        call_on(
            id,
            [&](placement_service& service) { service.finish(report, now); });
    }

    void run(duration length)
    {
        const time_point end = now + length;
        while (now < end)
        {
            now = now + std::chrono::milliseconds{1};
            deliver();
            if (now.since_start.count() % 20000 == 0)
            {
                for (const auto& [id, service] : services_)
                {
                    service->tick(now);
                    collect_output(id);
                }
            }
        }
    }

    std::vector<decided_placement> decisions(instance_id id)
    {
        return std::exchange(decisions_[id], {});
    }

    // Number of grants that the owners count.
    std::size_t owned_grants() const
    {
        std::size_t total = 0;
        for (const auto& [id, service] : services_)
        {
            for (const cell_id cell : service->owned_cells())
            {
                total += service->find_owned(cell)->grants();
            }
        }
        return total;
    }

    std::vector<instance_id> live() const
    {
        return members_;
    }

    time_point now{std::chrono::seconds{1}};
    network_faults faults;

private:
    struct message_in_flight
    {
        instance_id from = 0;
        instance_id to = 0;
        std::vector<std::uint8_t> data;
    };

    void collect_output(instance_id id)
    {
        for (const outgoing_message& message :
             services_.at(id)->take_outgoing())
        {
            wire::envelope_msg envelope;
            envelope.sender = id;
            envelope.payload = message.payload;
            const message_in_flight sent{
                id, message.destination, encode(envelope)};
            if (random_below(random_, 100) >= faults.lost)
            {
                enqueue(sent);
            }
            if (random_below(random_, 100) < faults.duplicated)
            {
                enqueue(sent);
            }
        }
        auto decided = services_.at(id)->take_decisions();
        auto& all = decisions_[id];
        all.insert(all.end(), decided.begin(), decided.end());
    }

    void enqueue(const message_in_flight& message)
    {
        const auto delay = random_below(
            random_,
            static_cast<std::uint64_t>(faults.longest_delay.count()) + 1);
        network_.emplace(
            now + duration{static_cast<std::int64_t>(delay)}, message);
    }

    void deliver()
    {
        while (!network_.empty() && network_.begin()->first <= now)
        {
            const message_in_flight message =
                std::move(network_.begin()->second);
            network_.erase(network_.begin());
            if (services_.contains(message.to))
            {
                const auto envelope = decode(message.data);
                services_.at(message.to)
                    ->receive(message.from, envelope->payload, now);
                collect_output(message.to);
            }
        }
    }

    random_engine random_;
    topology_ptr topology_;
    std::vector<instance_id> members_;
    std::map<instance_id, std::unique_ptr<placement_service>> services_;
    std::multimap<time_point, message_in_flight> network_;
    std::map<instance_id, std::vector<decided_placement>> decisions_;
};

inline placement_query make_test_query(
    request_id request, chat_id chat, time_point now,
    organisation_id organisation = 1)
{
    placement_query query;
    query.request = request;
    query.service = test_service;
    query.chat = chat;
    query.organisation = organisation;
    query.expected_cost = 100;
    query.deadline = now + std::chrono::seconds{30};
    return query;
}

} // namespace hickorygap

#endif
