#ifndef HICKORYGAP_REQUEST_PLACEMENT_ENTRY_ROUTER_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_ENTRY_ROUTER_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "messages/codec.hpp"
#include "request/placement/chat_directory.hpp"
#include "request/placement/owner_map.hpp"
#include "request/placement/placement_query.hpp"
#include "request/placement/placement_topology.hpp"
#include "request/scheduling/request_key.hpp"

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace hickorygap
{

// Decision about a submitted query.
struct decided_placement
{
    request_id request = 0;
    std::uint8_t attempt = 1;
    placement_decision decision;
};

// Requests placements from the owners of cells for the callers of this
// instance, and renews the grants in use. Each submitted query gets exactly one
// decision. A grant for a query that was already decided is returned at once,
// so that it does not occupy a slot.
class entry_router
{
public:
    // The owner map must outlive this object.
    entry_router(instance_id self, owner_map& owners);

    void set_topology(topology_ptr topology, time_point now);

    // Call it after the members in the owner map changed.
    void members_changed(time_point now);

    // While partitioned, refuses new and waiting queries as not run.
    void set_partitioned(bool partitioned, time_point now);

    void submit(const placement_query& query, time_point now);
    void withdraw(request_id request, std::uint8_t attempt, time_point now);
    void finish(const attempt_report& report, time_point now);

    void on_grant(
        instance_id from, const wire::placement_grant_msg& grant,
        time_point now);
    void on_refusal(
        instance_id from, const wire::placement_refusal_msg& refusal,
        time_point now);
    void on_queued(
        instance_id from, const wire::placement_queued_msg& queued,
        time_point now);
    void on_grants_query(instance_id from, const wire::grants_query_msg& query);

    void tick(time_point now);

    void on_backend_health(backend_server_id server, bool up);

    std::vector<outgoing_message> take_outgoing();
    std::vector<decided_placement> take_decisions();
    std::vector<wire::decision_record_msg> take_records();

    std::size_t waiting() const
    {
        return pending_.size();
    }
    std::size_t held() const
    {
        return held_.size();
    }
    bool holds(const request_key& key) const
    {
        return held_.contains(key);
    }

private:
    // An owner that was sent the query and may have queued or granted it.
    struct contacted_owner
    {
        instance_id owner = 0;
        cell_id cell = 0;
    };

    struct pending_query
    {
        placement_query query;
        time_point submitted;
        std::vector<cell_id> cells;
        std::size_t cell_position = 0;
        std::vector<contacted_owner> contacted;

        // 0 while no owner is reachable.
        instance_id owner = 0;
        time_point last_sent;
        std::uint32_t unanswered_sends = 0;
        bool acknowledged = false;

        // Interval after which a queued query is sent again; doubles each time.
        duration resend_interval{0};
        std::optional<time_point> without_owner_since;
        std::optional<placement_refusal> first_refusal;
    };

    struct held_grant
    {
        cell_id cell = 0;
        backend_server_id server = 0;
        instance_id granted_by = 0;
        chat_id chat = 0;
        organisation_id organisation = 0;
        rank request_rank = rank::normal;
        std::uint32_t cost = 1;
        bool isolated = false;
        time_point renew_at;
    };

    using organisation_key = std::tuple<cell_id, rank, organisation_id>;

    struct refusal_state
    {
        time_point refused;
        duration retry_after{0};
    };

    using pending_map =
        std::unordered_map<request_key, pending_query, request_key_hash>;

    void contact_owner(pending_query& pending, time_point now);
    duration initial_resend_interval(const placement_query& query) const;
    void send_request(pending_query& pending, time_point now);
    void handle_no_owner(pending_map::iterator position, time_point now);
    bool try_place_locally(pending_map::iterator position, time_point now);
    backend_server_id
    choose_local_server(const cell& chosen, const pending_query& pending) const;
    std::size_t local_limit(const cell& chosen) const;
    void check_pending(pending_map::iterator position, time_point now);
    void decide_grant(
        pending_map::iterator position, const placement_grant& grant,
        instance_id granted_by, time_point now);
    void decide_refusal(
        pending_map::iterator position, wire::refusal_reason reason,
        duration retry_after);
    organisation_key refusal_key(const pending_query& pending) const;
    void refuse_locally(
        pending_map::iterator position, wire::refusal_reason reason,
        duration retry_after);
    wire::decision_record_msg make_record(const placement_query& query) const;
    void withdraw_and_refuse(
        pending_map::iterator position, wire::refusal_reason reason,
        duration retry_after);
    void remember_chat(chat_id chat, backend_server_id server, time_point now);
    void add_recent_chats(cell_id cell, wire::grants_held_msg& message) const;
    void withdraw_from_others(
        const pending_query& pending, const request_key& key,
        const contacted_owner& kept);
    bool may_spill_over(
        const pending_query& pending, wire::refusal_reason reason,
        time_point now) const;
    void move_grants_to_new_cells(time_point now);
    void renew_grants(time_point now);
    void return_grant(instance_id to, const wire::placement_grant_msg& grant);
    wire::held_grant_msg
    describe_held(const request_key& key, const held_grant& held) const;
    void record_local(
        const pending_query& pending, const cell& chosen,
        backend_server_id server);

    template <typename Message>
    void send(instance_id destination, Message message)
    {
        outgoing_.push_back(make_outgoing(destination, std::move(message)));
    }

    instance_id self_;
    owner_map& owners_;
    topology_ptr topology_;
    bool partitioned_ = false;
    pending_map pending_;
    std::unordered_map<request_key, held_grant, request_key_hash> held_;
    std::map<backend_server_id, std::uint32_t> held_per_server_;
    std::map<cell_id, std::uint32_t> held_per_cell_;
    std::set<backend_server_id> down_;

    // Servers of the chats that this instance served recently; reported to
    // owners that take over a cell without a handover. The engine indices of
    // this directory are positions in recent_chat_servers_.
    chat_directory recent_chats_;
    std::vector<backend_server_id> recent_chat_servers_;

    // Latest refusals because of overload; reused for queries of the same cell,
    // rank and organisation.
    std::map<organisation_key, refusal_state> recent_refusals_;

    // Time at which a cell last refused a rank because of overload.
    std::map<std::pair<cell_id, rank>, time_point> last_overloaded_;
    std::vector<outgoing_message> outgoing_;
    std::vector<decided_placement> decisions_;
    std::vector<wire::decision_record_msg> records_;
};

} // namespace hickorygap

#endif
