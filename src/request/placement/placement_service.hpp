#ifndef HICKORYGAP_REQUEST_PLACEMENT_PLACEMENT_SERVICE_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_PLACEMENT_SERVICE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "messages/codec.hpp"
#include "request/placement/cell_owner.hpp"
#include "request/placement/entry_router.hpp"
#include "request/placement/owner_map.hpp"
#include "request/placement/placement_topology.hpp"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <vector>

namespace hickorygap
{

struct placement_service_options
{
    instance_id self = 0;
    std::uint64_t seed = 0;
    cell_owner_limits limits;
};

// Placement on one instance: the entry side for its own callers, and the
// owner side for the cells that it owns. A state machine; the control thread
// passes in calls, messages and the time, and takes out messages, decisions
// and records afterwards.
class placement_service
{
public:
    explicit placement_service(placement_service_options options);

    void set_configuration(const configuration_ptr& source, time_point now);
    void set_topology(topology_ptr topology, time_point now);

    // Live members without those that are shutting down. To be called first
    // when the instance has joined the fleet; before, no cell has an owner.
    void set_members(std::span<const instance_id> live, time_point now);

    // The same when some live members must not own cells, for example because
    // they are draining: they keep their grants. Both lists are sorted.
    void set_members(
        std::span<const instance_id> owners, std::span<const instance_id> live,
        time_point now);

    // While partitioned, new work is refused as not run, and as an owner this
    // instance grants nothing.
    void set_partitioned(bool partitioned, time_point now);

    // Asks for a backend server; exactly one decision follows.
    void submit(const placement_query& query, time_point now);

    // Gives up a query that is not decided; it is refused as withdrawn. A
    // query that has its grant must be finished instead.
    void withdraw(request_id request, std::uint8_t attempt, time_point now);

    // Ends a granted attempt.
    void finish(const attempt_report& report, time_point now);

    // Handles a placement message; other kinds are ignored.
    void receive(
        instance_id from, const wire::payloadUnion& payload, time_point now);

    // To be called about every 20 ms.
    void tick(time_point now);

    void on_load_report(
        backend_server_id server, const load_report& report, time_point now);
    void on_cache_event(
        backend_server_id server, const cache_event& event, time_point now);
    void on_backend_health(backend_server_id server, bool up, time_point now);

    // Graceful shutdown: hands each owned cell to the next owner and owns
    // nothing from then on. Callers of this instance are still served.
    void begin_handover(time_point now);

    std::vector<outgoing_message> take_outgoing();
    std::vector<decided_placement> take_decisions();

    // Decision records; unix_ms is left for the caller to fill in.
    std::vector<wire::decision_record_msg> take_records();

    std::vector<cell_id> owned_cells() const;

    // Backend servers of the owned cells: only their owner polls them.
    std::vector<backend_server_id> polled_backend_servers() const;

    // State of an owned cell, for status and metrics; nullptr when this
    // instance does not own the cell.
    const cell_owner* find_owned(cell_id cell) const;

    const entry_router& entry() const
    {
        return entry_;
    }

private:
    struct owned_cell
    {
        explicit owned_cell(
            const cell_description& description, cell_owner_limits limits)
            : owner(description, limits)
        {
        }

        cell_owner owner;

        // Members that have not yet told which grants they hold.
        std::set<instance_id> unanswered;
        time_point cautious_until;
    };

    void refresh_ownership(time_point now);
    void start_owning(const cell& owned, time_point now);
    void stop_owning(cell_id cell);
    void update_caution(owned_cell& owned, time_point now);
    void
    release_lost_members(std::span<const instance_id> previous, time_point now);
    void on_request(
        instance_id from, const wire::placement_request_msg& request,
        time_point now);
    void on_grant_end(
        instance_id from, const wire::grant_end_msg& end, time_point now);
    void on_grants_held(
        instance_id from, const wire::grants_held_msg& held, time_point now);
    void on_handover(
        instance_id from, const wire::cell_handover_msg& handover,
        time_point now);
    static void adopt_chats(
        cell_owner& owner, std::span<const chat_id> chats,
        std::span<const backend_server_id> servers, time_point now);
    void answer(instance_id entry, cell_id cell, const placement_grant& grant);
    void
    answer(instance_id entry, cell_id cell, const placement_refusal& refusal);
    void deliver(
        instance_id from, const wire::payloadUnion& payload, time_point now);

    // Moves the decisions and records of an owned cell to the outputs.
    void collect(cell_id cell, cell_owner& owner);

    // Moves the results of the parts to the outputs; messages of this
    // instance to itself are handled at once.
    void flush(time_point now);

    template <typename Message>
    void send(instance_id destination, Message message)
    {
        queue_.push_back(make_outgoing(destination, std::move(message)));
    }

    placement_service_options options_;
    topology_ptr topology_;
    owner_map owners_;

    // Members that may hold grants.
    std::vector<instance_id> live_;
    entry_router entry_;
    std::map<cell_id, std::unique_ptr<owned_cell>> owned_;
    std::set<backend_server_id> down_;
    bool partitioned_ = false;
    bool handing_over_ = false;
    std::vector<outgoing_message> queue_;
    std::vector<outgoing_message> outgoing_;
    std::vector<wire::decision_record_msg> records_;
};

} // namespace hickorygap

#endif
