#ifndef HICKORYGAP_REQUEST_PLACEMENT_TWO_CHOICES_POLICY_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_TWO_CHOICES_POLICY_HPP

#include "common/random.hpp"
#include "request/placement/cell_owner.hpp"
#include "request/placement/placement_policy.hpp"

#include <unordered_map>
#include <vector>

namespace hickorygap
{

// Baseline for benchmarks: power of two choices. Draws two engines at random
// and takes the one with the lower load: the last report plus the requests
// placed since. Each router decides alone, and reports lag. Requests are never
// queued, and refused only when no engine is up.
class two_choices_policy : public placement_policy
{
public:
    two_choices_policy(const cell_description& description, std::uint64_t seed);

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
    struct engine_state
    {
        backend_server_id id = 0;
        bool up = true;
        std::uint32_t reported_load = 0;

        // Requests placed by this router since the last report.
        std::uint32_t placed_since_report = 0;
    };

    engine_state* find(backend_server_id server);

    cell_id cell_;
    std::vector<engine_state> engines_;
    random_engine random_;
};

} // namespace hickorygap

#endif
