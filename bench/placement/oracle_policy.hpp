#ifndef HICKORYGAP_BENCH_PLACEMENT_ORACLE_POLICY_HPP
#define HICKORYGAP_BENCH_PLACEMENT_ORACLE_POLICY_HPP

#include "engine_model.hpp"
#include "request/placement/cell_owner.hpp"
#include "request/placement/engine_table.hpp"
#include "request/placement/placement_policy.hpp"
#include "request/scheduling/admission.hpp"
#include "request/scheduling/rank_queue.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace hickorygap::bench
{

// Reference policy with perfect information: a single router that sees the
// prefix caches and the load of all engines without delay and places over all
// of them as one cell. Selects the engine with the longest cached context
// within the load bound, else the least loaded one. Queue, admission control,
// load bound and the wait for an engine that has the context cached are those
// of the router.
class oracle_policy : public placement_policy
{
public:
    oracle_policy(
        const cell_description& description,
        const std::map<backend_server_id, engine_model>& engines);

    placement_result
    place(const placement_query& query, time_point now) override;
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

private:
    struct placed_state
    {
        engine_index engine = no_engine;
        placement_query query;
        time_point queued_at;
        time_point granted;
    };

    engine_index
    longest_cached(chat_id chat, const std::vector<engine_index>& room) const;
    std::vector<engine_index> live_engines() const;
    void dispatch(time_point now);

    cell_description description_;
    const std::map<backend_server_id, engine_model>& models_;
    engine_table engines_;
    rank_queue queue_;
    service_rate rate_;
    backlog_tracker backlogs_;
    admission admission_;
    std::unordered_map<request_key, placed_state, request_key_hash> waiting_;
    std::unordered_map<request_key, placed_state, request_key_hash> placed_;
    std::vector<placement_decision> decided_;
};

} // namespace hickorygap::bench

#endif
