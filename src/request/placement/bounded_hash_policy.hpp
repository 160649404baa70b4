#ifndef HICKORYGAP_REQUEST_PLACEMENT_BOUNDED_HASH_POLICY_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_BOUNDED_HASH_POLICY_HPP

#include "request/placement/cell_owner.hpp"
#include "request/placement/engine_table.hpp"
#include "request/placement/placement_policy.hpp"

#include <unordered_map>
#include <vector>

namespace hickorygap
{

// Baseline for benchmarks: rendezvous hashing of chats with bounded loads. Each
// router counts only the requests that it placed itself towards the bound.
// Requests are never queued.
class bounded_hash_policy : public placement_policy
{
public:
    explicit bounded_hash_policy(const cell_description& description);

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
    cell_id cell_;
    engine_table engines_;
    std::unordered_map<request_key, engine_index, request_key_hash> placed_;
};

} // namespace hickorygap

#endif
