#ifndef HICKORYGAP_REQUEST_SCHEDULING_RANK_QUEUE_HPP
#define HICKORYGAP_REQUEST_SCHEDULING_RANK_QUEUE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/scheduling/request_key.hpp"

#include <absl/functional/function_ref.h>

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorygap
{

// A request that waits for a slot.
struct queued_request
{
    request_key key;
    organisation_id organisation = 0;
    rank request_rank = rank::normal;

    // Expected tokens, at least 1.
    std::uint32_t cost = 1;

    // Arrival at the queue.
    time_point queued_at;

    // Time by which the first byte is due (the rank's target).
    time_point first_byte_due;

    // Time after which the answer is of no use.
    time_point deadline;

    // How often a later request of the organisation was taken first.
    std::uint32_t bypassed = 0;
};

// Whether a queued request could use a slot that is free now.
enum class slot_fit
{
    // Every free slot is on a backend server that the request excludes.
    impossible,
    possible,
    // A free slot is on a backend server that has the chat's context.
    preferred
};

// Requests that wait for the slots of one cell. Ranks are served in order,
// except that a rank below its floor is served first. Within a rank,
// start-time fair queueing divides the slots among organisations by cost and
// weight, so that an organisation that floods waits behind itself only. An
// organisation that used less than its share may catch up by a few requests,
// so that small bursts don't wait behind a flood.
class rank_queue
{
public:
    using fit_function = absl::FunctionRef<slot_fit(const queued_request&)>;

    // Shares of the slots, by rank, that the rank keeps while higher ranks
    // have requests waiting.
    void set_floors(const std::array<double, rank_count>& floors);

    // Slots of the cell's live backend servers.
    void set_slots(std::uint32_t slots);

    // Weights of the organisations; organisations not named have weight 1.
    void set_weights(std::map<organisation_id, double> weights);

    void push(const queued_request& item);

    // Removes a waiting request; nullopt when it does not wait.
    std::optional<queued_request> remove(const request_key& key);

    // Removes the request that is to be served next, among those that fit a
    // free slot, and charges its organisation. nullopt when none fits.
    std::optional<queued_request> take_next(fit_function fit, time_point now);

    // Counts a slot as used by the rank, and as free again. The caller of
    // take_next calls slot_used.
    void slot_used(rank request_rank);
    void slot_freed(rank request_rank);

    // Charges the organisation for tokens beyond those expected, or returns
    // the unused ones. `actual` of zero means unknown and changes nothing.
    void correct_cost(
        rank request_rank, organisation_id organisation, std::uint32_t expected,
        std::uint32_t actual);

    // Cost that is served before the waiting request within its rank.
    double cost_ahead(const request_key& key) const;

    // Cost of the organisation's own requests before the waiting request.
    double own_cost_ahead(const request_key& key) const;

    // Rank of a waiting request; nullopt when it does not wait.
    std::optional<rank> rank_of(const request_key& key) const;

    // Total cost that waits in a rank.
    double waiting_cost(rank request_rank) const;

    // Requests of a rank in the order in which they would be served.
    std::vector<queued_request> in_service_order(rank request_rank) const;

    double weight_of(organisation_id organisation) const;

    // Calls the visitor with the first request of each organisation and rank.
    void for_each_first(
        absl::FunctionRef<void(const queued_request&)> visitor) const;

    // Request that is given up first when the queue is full: the last of the
    // organisation with the largest backlog by weight, in the least important
    // rank that waits. nullptr when the queue is empty.
    const queued_request* first_to_shed() const;

    bool contains(const request_key& key) const
    {
        return index_.contains(key);
    }
    std::size_t size() const
    {
        return index_.size();
    }
    std::size_t size(rank request_rank) const;
    double floor_of(rank request_rank) const
    {
        return floors_[static_cast<std::size_t>(request_rank)];
    }
    std::uint32_t slots() const
    {
        return slots_;
    }

    // Organisations with state; bounded by those that wait or were served
    // within the last round of the fair queueing.
    std::size_t tracked_organisations() const;

private:
    using item_list = std::list<queued_request>;

    struct candidate_item
    {
        item_list::iterator position;
        bool is_preferred = false;
    };

    struct organisation_queue
    {
        item_list items;
        double waiting_cost = 0.0;

        // Start tag of the first item: virtual time at which the
        // organisation's share lets it be served.
        double start_tag = 0.0;
    };

    struct rank_state
    {
        std::map<organisation_id, organisation_queue> organisations;

        // Organisations with items, by start tag.
        std::set<std::pair<double, organisation_id>> active;
        double virtual_time = 0.0;
        std::size_t items = 0;
        double waiting_cost = 0.0;
        std::uint32_t slots_used = 0;

        // Mean cost of the requests that were queued lately.
        double mean_cost = 0.0;

        // Slots missed below the floor, summed over served requests.
        double floor_credit = 0.0;
    };

    // Least start tag of an organisation that becomes active.
    double
    earliest_tag(const rank_state& state, organisation_id organisation) const;
    bool is_below_floor(std::size_t rank_number) const;
    void update_floor_credits(std::size_t served_rank);
    std::optional<queued_request>
    take_from_rank(std::size_t rank_number, fit_function fit, time_point now);
    std::optional<candidate_item> choose_item(
        organisation_queue& organisation, fit_function fit, time_point now);
    queued_request
    extract(rank_state& state, item_list::iterator position, bool served);
    void set_start_tag(
        rank_state& state, organisation_id organisation,
        organisation_queue& queue, double tag);
    void forget_idle(rank_state& state);

    std::array<double, rank_count> floors_{};
    std::uint32_t slots_ = 1;
    std::map<organisation_id, double> weights_;
    std::array<rank_state, rank_count> ranks_;
    std::unordered_map<request_key, item_list::iterator, request_key_hash>
        index_;
};

} // namespace hickorygap

#endif
