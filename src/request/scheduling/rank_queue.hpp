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

// A request that waits for a slot of a backend server.
struct queued_request
{
    request_key key;
    organisation_id organisation = 0;
    rank request_rank = rank::normal;

    // Expected tokens, at least 1.
    std::uint32_t cost = 1;

    // Time of arrival at the queue.
    time_point queued_at;

    // Time by which the first byte of the answer is due, from the latency
    // target of the rank.
    time_point first_byte_due;

    // Time after which the caller no longer needs the answer.
    time_point deadline;

    // Number of times that another request was taken first although this one
    // was next.
    std::uint32_t bypassed = 0;
};

// Whether a queued request can use one of the slots that are free now.
enum class slot_fit
{
    // The request can use none of the free slots, for example because it
    // excludes their backend servers.
    impossible,
    possible,
    // A free slot is on a backend server that has the chat's context.
    preferred
};

// Queue of the requests that wait for the slots of one cell. Ranks are served
// in order, except that a rank below its floor is served first. Within a rank,
// start-time fair queueing divides the slots among organisations by cost and
// weight, so that a flood of one organisation delays only its own requests. An
// organisation that used less than its share may be served ahead of it by a few
// requests, so that small bursts do not wait behind a flood.
class rank_queue
{
public:
    using fit_function = absl::FunctionRef<slot_fit(const queued_request&)>;

    // Sets the shares of the slots, by rank, that a rank keeps while higher
    // ranks have waiting requests.
    void set_floors(const std::array<double, rank_count>& floors);

    // Sets the number of slots of the cell's live backend servers.
    void set_slots(std::uint32_t slots);

    // Sets the weights of the organisations; organisations without an entry
    // have weight 1.
    void set_weights(std::map<organisation_id, double> weights);

    void push(const queued_request& item);

    // Removes a waiting request; nullopt when it is not in the queue.
    std::optional<queued_request> remove(const request_key& key);

    // Removes the request that is to be served next among those that fit a free
    // slot, and charges its cost to its organisation. nullopt when none fits.
    std::optional<queued_request> take_next(fit_function fit, time_point now);

    // Counts a slot as used by the rank, and as free again. take_next does not
    // count the slot; its caller calls slot_used.
    void slot_used(rank request_rank);
    void slot_freed(rank request_rank);

    // Charges the organisation for tokens beyond the expected ones, or credits
    // the unused ones. An `actual` of zero means unknown and changes nothing.
    void correct_cost(
        rank request_rank, organisation_id organisation, std::uint32_t expected,
        std::uint32_t actual);

    // Cost of the requests of the same rank that are served before the waiting
    // request.
    double cost_ahead(const request_key& key) const;

    // Cost of the requests of the same organisation and rank that are queued
    // before the waiting request.
    double own_cost_ahead(const request_key& key) const;

    // Rank of a waiting request; nullopt when it is not in the queue.
    std::optional<rank> rank_of(const request_key& key) const;

    // Total cost of the waiting requests of a rank.
    double waiting_cost(rank request_rank) const;

    // Waiting requests of a rank in the order in which they would be served.
    std::vector<queued_request> in_service_order(rank request_rank) const;

    double weight_of(organisation_id organisation) const;

    // Calls the visitor with the first waiting request of each organisation in
    // each rank.
    void for_each_first(
        absl::FunctionRef<void(const queued_request&)> visitor) const;

    // Request to refuse first when the queue is full: in the least important
    // rank with waiting requests, the last one of the organisation with the
    // largest backlog by weight. nullptr when the queue is empty.
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

    // Number of organisations with state, summed over the ranks; bounded by
    // those that have waiting requests or were served within the last round of
    // the fair queueing.
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

        // Start tag of the first item: the virtual time at which it is to be
        // served.
        double start_tag = 0.0;
    };

    struct rank_state
    {
        std::map<organisation_id, organisation_queue> organisations;

        // Organisations with waiting requests, ordered by start tag.
        std::set<std::pair<double, organisation_id>> active;
        double virtual_time = 0.0;
        std::size_t items = 0;
        double waiting_cost = 0.0;
        std::uint32_t slots_used = 0;

        // Moving average of the cost of queued requests.
        double mean_cost = 0.0;

        // Slots missing below the floor (negative when more are used) as a
        // share of all slots, summed over the served requests and limited to
        // [-1, 1].
        double floor_credit = 0.0;
    };

    // Lowest start tag of an organisation that becomes active.
    double
    min_start_tag(const rank_state& state, organisation_id organisation) const;
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
