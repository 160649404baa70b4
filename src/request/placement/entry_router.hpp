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

// Entry side of placement: asks the owners of cells for backend servers on
// behalf of this instance's callers and keeps the grants in use. Each
// submitted query gets exactly one decision. A grant that arrives for a query
// that is decided already is returned at once, so that no place is lost.
class entry_router
{
public:
    // The map must outlive this object.
    entry_router(instance_id self, owner_map& owners);

    void set_topology(topology_ptr topology, time_point now);

    // To be called after the owner map learned of new members.
    void members_changed(time_point now);

    // While partitioned, new and waiting queries are refused as not run.
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
    // An owner that was asked and may hold a place for the query.
    struct asked_owner
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
        std::vector<asked_owner> asked;

        // 0 while no owner can be reached.
        instance_id owner = 0;
        time_point sent;
        std::uint32_t unanswered = 0;
        bool acknowledged = false;

        // Until a query that is queued is sent again; doubles each time.
        duration repeat{0};
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

    void ask(pending_query& pending, time_point now);
    duration first_repeat(const placement_query& query) const;
    void send_request(pending_query& pending, time_point now);
    void ask_without_owner(pending_map::iterator position, time_point now);
    bool try_local(pending_map::iterator position, time_point now);
    backend_server_id
    choose_local(const cell& chosen, const pending_query& pending) const;
    std::size_t local_limit(const cell& chosen) const;
    void check_pending(pending_map::iterator position, time_point now);
    void decide_grant(
        pending_map::iterator position, const placement_grant& grant,
        instance_id granted_by, time_point now);
    void decide_refusal(
        pending_map::iterator position, wire::refusal_reason reason,
        duration retry_after);
    organisation_key pause_key(const pending_query& pending) const;
    void refuse_here(
        pending_map::iterator position, wire::refusal_reason reason,
        duration retry_after);
    wire::decision_record_msg make_record(const placement_query& query) const;
    void give_up(
        pending_map::iterator position, wire::refusal_reason reason,
        duration retry_after);
    void remember_chat(chat_id chat, backend_server_id server, time_point now);
    void add_recent_chats(cell_id cell, wire::grants_held_msg& message) const;
    void withdraw_from_others(
        const pending_query& pending, const request_key& key,
        const asked_owner& kept);
    bool can_spill(
        const pending_query& pending, wire::refusal_reason reason,
        time_point now) const;
    void follow_moved_servers(time_point now);
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

    // Servers of the chats that this instance served lately, for owners that
    // take over a cell without a handover. The numbers stand for the servers
    // in the list.
    chat_directory recent_chats_;
    std::vector<backend_server_id> numbered_servers_;

    // The latest refusals as overloaded, by organisation.
    std::map<organisation_key, refusal_state> paused_;

    // When a cell last refused work of a rank as overloaded.
    std::map<std::pair<cell_id, rank>, time_point> overloaded_;
    std::vector<outgoing_message> outgoing_;
    std::vector<decided_placement> decisions_;
    std::vector<wire::decision_record_msg> records_;
};

} // namespace hickorygap

#endif
