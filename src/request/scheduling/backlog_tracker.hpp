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

// Watches the work of each rank and organisation in one cell and tells which
// of them ask for more than they get. Their requests wait anyway; keeping
// them to a part of the engines spares the caches and the slots of the rest.
class backlog_tracker
{
public:
    void started(
        rank request_rank, organisation_id organisation, std::uint32_t cost,
        time_point now);
    void ended(rank request_rank, organisation_id organisation);

    // Updates averages and backlogs; to be called about every 50 ms.
    void review(const rank_queue& queue, time_point now);

    // Whether the organisation's requests of the rank waited for long within
    // the last seconds, although it is among the heaviest users of the rank.
    bool is_backlogged(rank request_rank, organisation_id organisation) const;
    bool has_backlog() const
    {
        return backlogs_ > 0;
    }

    // Tokens per second that were started for the organisation in the rank,
    // averaged over some seconds.
    double started_cost_per_second(
        rank request_rank, organisation_id organisation, time_point now) const;

    // Slots that the work without backlog needs: what it uses on average and
    // a margin for its variation. Work in the backlog's rank counts up to its
    // fair share, work in lower ranks not at all.
    double reserved_slots(const rank_queue& queue) const;

private:
    struct class_state
    {
        std::uint32_t in_flight = 0;
        double average_in_flight = 0.0;
        double started_cost = 0.0;
        time_point started_updated;
        time_point backlogged_until;
        bool backlogged = false;
    };

    using class_key = std::pair<rank, organisation_id>;

    std::map<class_key, class_state> classes_;
    std::size_t backlogs_ = 0;
    time_point reviewed_;
};

} // namespace hickorygap

#endif
