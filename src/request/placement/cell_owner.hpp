#ifndef HICKORYGAP_REQUEST_PLACEMENT_CELL_OWNER_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_CELL_OWNER_HPP

#include "messages/codec.hpp"
#include "request/placement/chat_directory.hpp"
#include "request/placement/engine_table.hpp"
#include "request/placement/placement_policy.hpp"
#include "request/scheduling/admission.hpp"
#include "request/scheduling/rank_queue.hpp"
#include "request/scheduling/service_rate.hpp"
#include "version/configuration/configuration.hpp"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace hickorygap
{

// Why a backend server was chosen; stored in decision records.
enum class placement_reason : std::uint8_t
{
    // No backend server was chosen; the outcome of the record has the reason.
    refused = 0,
    // The chat directory named the server for the chat.
    directory = 1,
    // The server with the lowest load: for new chats, or when no engine with
    // the chat's context has capacity.
    least_loaded = 2,
    // An idle server, for a request that runs in isolation.
    isolated = 3,
    // Chosen by an entry router because no owner of the cell was reachable.
    local = 4,
    // The record says how a granted attempt ended.
    ended = 5
};

// The settings of a cell and its service that a cell owner uses.
struct cell_description
{
    cell_id id = 0;
    configuration_version version = 0;
    double load_bound = 1.25;
    std::array<rank_policy, rank_count> ranks;
    std::vector<engine_description> servers;
    std::map<organisation_id, double> weights;
};

struct cell_owner_limits
{
    // Chats in the directory. 3.2 million chats in 50 cells need 64,000 entries
    // per cell.
    std::size_t chats = 131072;

    // Requests in the queue. Admission control normally keeps the queue far
    // shorter.
    std::size_t queued = 4096;

    // Requests that wait for an isolated engine.
    std::size_t isolated = 32;
};

// A decision and the entry router that it is for; 0 when the query did not come
// from an entry router.
struct owner_decision
{
    instance_id entry = 0;
    placement_decision decision;
};

// Places the requests of one cell. Counts the requests that it placed on each
// engine, and holds the chat directory and the queue of the cell. Each grant is
// a lease that the entry router renews, so that grants expire when the entry
// router or its messages are lost.
class cell_owner : public placement_policy
{
public:
    // Time after which a grant that was not renewed is released. Twice the
    // lease period, so that the loss of one renewal releases nothing.
    static constexpr duration grant_lease{std::chrono::seconds{6}};

    explicit cell_owner(
        const cell_description& description, cell_owner_limits limits = {});
    cell_owner(const cell_owner&) = delete;
    cell_owner& operator=(const cell_owner&) = delete;

    void set_description(const cell_description& description, time_point now);

    placement_result
    place(const placement_query& query, time_point now) override;
    placement_result
    place_for(instance_id entry, const placement_query& query, time_point now);

    void
    withdraw(request_id request, std::uint8_t attempt, time_point now) override;
    void release(const attempt_report& report, time_point now) override;
    void on_load_report(
        backend_server_id server, const load_report& report,
        time_point now) override;
    void on_cache_event(
        backend_server_id server, const cache_event& event,
        time_point now) override;
    void on_backend_health(
        backend_server_id server, bool up, time_point now) override;
    void tick(time_point now) override;
    std::vector<placement_decision> take_decided() override;

    // Like take_decided, but with the entry router of each decision.
    std::vector<owner_decision> take_owner_decisions();

    // Renews a grant that an entry router holds, or takes it over when an
    // earlier owner made it or an entry router placed the request without an
    // owner. The entry router is 0 for grants from a handover.
    void
    adopt(instance_id entry, const wire::held_grant_msg& held, time_point now);

    // Adds a chat's server from an earlier owner or an entry router to the
    // directory, unless a server is already known.
    void adopt_chat(chat_id chat, backend_server_id server, time_point now);

    // Releases the grants and removes the waiting requests of an entry router
    // that was lost.
    void on_entry_router_lost(instance_id entry, time_point now);

    // Sets the share of the slots that may be used; below 1 while grants of an
    // earlier owner are not fully known.
    void set_usable_share(double share, time_point now);

    // Refuses all waiting requests.
    void refuse_all(wire::refusal_reason reason);

    // All grants, in the form in which they are handed over to the next owner.
    std::vector<wire::held_grant_msg> held_grants() const;

    // The chats that were served last and their latest servers, the most recent
    // one first. All are handed over: the next owner places chats that it does
    // not know on the least loaded engine.
    std::vector<std::pair<chat_id, backend_server_id>>
    recent_chats(std::size_t limit) const;

    std::vector<wire::decision_record_msg> take_records();

    // Maximum wait of a request for an engine with its chat's context, for a
    // request whose first byte is due after the given time.
    static duration context_wait(duration until_first_byte_due);

    const engine_table& engines() const
    {
        return engines_;
    }
    const rank_queue& queue() const
    {
        return queue_;
    }
    const chat_directory& directory() const
    {
        return directory_;
    }
    const service_rate& rate() const
    {
        return rate_;
    }
    std::size_t grants() const
    {
        return grants_.size();
    }
    bool has_grant(const request_key& key) const
    {
        return grants_.contains(key);
    }
    cell_id id() const
    {
        return description_.id;
    }

private:
    struct grant_state
    {
        instance_id entry = 0;
        engine_index engine = no_engine;
        backend_server_id server = 0;
        chat_id chat = 0;
        organisation_id organisation = 0;
        rank request_rank = rank::normal;
        std::uint32_t cost = 1;
        time_point granted;
        time_point expires;
        duration queued{0};
        duration waited{0};
        bool reused = false;
        bool isolated = false;
    };

    struct waiting_state
    {
        instance_id entry = 0;
        placement_query query;
        time_point queued_at;
    };

    struct choice
    {
        engine_index engine = no_engine;
        placement_reason reason = placement_reason::refused;
    };

    placement_result
    place_new(instance_id entry, const placement_query& query, time_point now);
    placement_result place_isolated(
        instance_id entry, const placement_query& query, time_point now);
    placement_grant
    make_grant(const request_key& key, const grant_state& grant) const;
    placement_refusal refuse(
        const placement_query& query, wire::refusal_reason reason,
        duration retry_after);
    // Removes a grant from the pending decisions when it is returned directly.
    void drop_decision(const request_key& key);
    queued_request
    make_queued(const placement_query& query, time_point now) const;
    bool can_ever_run(const placement_query& query) const;
    choice choose(const placement_query& query, time_point now) const;
    std::array<engine_index, 2>
    engines_with_context(const placement_query& query) const;
    slot_fit fit_of(
        const waiting_state& waiting, std::span<const engine_index> available,
        time_point now) const;
    bool waits_for_context_engine(
        const waiting_state& waiting,
        const std::array<engine_index, 2>& context_engines,
        time_point now) const;
    // Engines out of the available ones that the request may use: those of the
    // backlog engines only, if its organisation has a backlog.
    std::vector<engine_index> usable_engines(
        const placement_query& query,
        std::span<const engine_index> available) const;
    void update_backlog_engines();
    placement_grant start_grant(
        const waiting_state& waiting, const choice& chosen, time_point now);
    void dispatch(time_point now);
    void dispatch_isolated(time_point now);
    engine_index choose_isolation_engine(const placement_query& query) const;
    void refuse_infeasible(time_point now);
    void refuse_infeasible_isolated(time_point now);
    std::optional<placement_refusal>
    shed_if_full(const request_key& newest, time_point now);
    void expire_grants(time_point now);
    void decide(instance_id entry, const placement_decision& decision);
    void end_grant(
        std::unordered_map<request_key, grant_state, request_key_hash>::iterator
            position);
    void record_decision(
        const placement_query& query, backend_server_id choice,
        placement_reason reason, wire::refusal_reason outcome, duration queued);
    void record_end(const attempt_report& report, const grant_state& grant);

    cell_description description_;
    cell_owner_limits limits_;
    engine_table engines_;
    chat_directory directory_;
    rank_queue queue_;
    service_rate rate_;
    backlog_tracker backlogs_;
    admission admission_;

    // Engines that requests of backlogged organisations may use.
    std::vector<engine_index> backlog_engines_;
    std::unordered_map<request_key, grant_state, request_key_hash> grants_;
    std::unordered_map<request_key, waiting_state, request_key_hash> waiting_;
    std::deque<waiting_state> isolated_;

    // Engine that is drained for the first isolated request.
    engine_index draining_engine_ = no_engine;
    std::vector<owner_decision> decided_;
    std::vector<wire::decision_record_msg> records_;
    time_point last_maintenance_;
    time_point last_feasibility_check_;
};

} // namespace hickorygap

#endif
