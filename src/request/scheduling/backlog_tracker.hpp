#ifndef HICKORYGAP_REQUEST_SCHEDULING_BACKLOG_TRACKER_HPP
#define HICKORYGAP_REQUEST_SCHEDULING_BACKLOG_TRACKER_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/scheduling/rank_queue.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace hickorygap
{

// Tracks the requests of each rank and organisation in one cell and detects
// which of them have a backlog, that is demand more than they get. Their
// requests wait in any case; restricting them to a part of the engines leaves
// the caches and slots of the other engines to the other organisations.
class backlog_tracker
{
public:
    void started(
        rank request_rank, organisation_id organisation, std::uint32_t cost,
        time_point now);
    void ended(rank request_rank, organisation_id organisation);

    // Updates averages and backlogs; call it about every 50 ms.
    void update(const rank_queue& queue, time_point now);

    // Whether a request of the organisation and rank recently waited long
    // although the organisation is among the heaviest users of the rank.
    bool is_backlogged(rank request_rank, organisation_id organisation) const;
    bool has_backlog() const
    {
        return backlogs_ > 0;
    }

    // Tokens per second of requests started for the organisation in the rank,
    // averaged over some seconds.
    double started_cost_per_second(
        rank request_rank, organisation_id organisation, time_point now) const;

    // Slots to reserve for requests without a backlog: their average use and a
    // margin for its variation. Requests in a rank with a backlog count up to
    // their fair share, and requests in ranks below one do not count.
    double reserved_slots(const rank_queue& queue) const;

private:
    struct class_state
    {
        std::uint32_t in_flight = 0;
        double average_in_flight = 0.0;
        double started_cost = 0.0;
        time_point started_cost_updated;
        time_point backlogged_until;
        bool backlogged = false;
    };

    using class_key = std::pair<rank, organisation_id>;

    std::map<class_key, class_state> classes_;
    std::size_t backlogs_ = 0;
    time_point last_update_;
};

} // namespace hickorygap

#endif
