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

// Placement on one instance: an entry router for its own callers, and a cell
// owner for each cell that it owns. A state machine without input or output of
// its own: the control thread passes in calls, messages and the time, and then
// takes out messages, decisions and records.
class placement_service
{
public:
    explicit placement_service(placement_service_options options);

    void set_configuration(const configuration_ptr& source, time_point now);
    void set_topology(topology_ptr topology, time_point now);

    // Sets the live members that are not shutting down. Call it once the
    // instance has joined the cluster; before, no cell has an owner.
    void set_members(std::span<const instance_id> live, time_point now);

    // Like the above, when some live members must not own cells, for example
    // because they are draining; these keep their grants. Both lists must be
    // sorted.
    void set_members(
        std::span<const instance_id> owners, std::span<const instance_id> live,
        time_point now);

    // While partitioned, new queries are refused as not run, and the cells that
    // this instance owns grant nothing.
    void set_partitioned(bool partitioned, time_point now);

    // Requests a backend server; exactly one decision follows.
    void submit(const placement_query& query, time_point now);

    // Withdraws a query that has no decision yet; it is refused as withdrawn. A
    // query that has its grant must be finished instead.
    void withdraw(request_id request, std::uint8_t attempt, time_point now);

    // Releases the grant of an attempt that ended.
    void finish(const attempt_report& report, time_point now);

    // Handles a placement message; messages of other kinds are ignored.
    void receive(
        instance_id from, const wire::payloadUnion& payload, time_point now);

    // Call it about every 20 ms.
    void tick(time_point now);

    void on_load_report(
        backend_server_id server, const load_report& report, time_point now);
    void on_cache_event(
        backend_server_id server, const cache_event& event, time_point now);
    void on_backend_health(backend_server_id server, bool up, time_point now);

    // Starts a graceful shutdown: hands each owned cell over to its next owner
    // and owns no cell from then on. Callers of this instance are still served.
    // Does nothing when there is no other member.
    void begin_handover(time_point now);

    std::vector<outgoing_message> take_outgoing();
    std::vector<decided_placement> take_decisions();

    // Decision records; the caller sets unix_ms.
    std::vector<wire::decision_record_msg> take_records();

    std::vector<cell_id> owned_cells() const;

    // Backend servers of the owned cells. Only the owner of a cell polls its
    // servers.
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

        // Members that have not yet reported their grants.
        std::set<instance_id> unreported_members;
        time_point share_limited_until;
    };

    void refresh_ownership(time_point now);
    void start_owning(const cell& owned, time_point now);
    void stop_owning(cell_id cell);
    void update_usable_share(owned_cell& owned, time_point now);
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

    // Moves the decisions and records of an owned cell to the outgoing messages
    // and records.
    void collect(cell_id cell, cell_owner& owner);

    // Moves the messages of entry router and cell owners to the outgoing
    // messages; those from this instance to itself are handled directly.
    void flush(time_point now);

    template <typename Message>
    void send(instance_id destination, Message message)
    {
        unrouted_.push_back(make_outgoing(destination, std::move(message)));
    }

    placement_service_options options_;
    topology_ptr topology_;
    owner_map owners_;

    // Live members, which may hold grants.
    std::vector<instance_id> live_;
    entry_router entry_;
    std::map<cell_id, std::unique_ptr<owned_cell>> owned_;
    std::set<backend_server_id> down_;
    bool partitioned_ = false;
    bool handing_over_ = false;
    std::vector<outgoing_message> unrouted_;
    std::vector<outgoing_message> outgoing_;
    std::vector<wire::decision_record_msg> records_;
};

} // namespace hickorygap

#endif
