#include "request/scheduling/rank_queue.hpp"

#include <algorithm>
#include <cmath>

namespace hickorygap
{

namespace
{

// Requests of one organisation that are examined for one whose chat has its
// context on a free backend server. With 16 backend servers, 32 requests
// contain one with a probability of 0.87.
constexpr std::size_t max_examined_items = 32;

// Number of times that the first request of an organisation may be passed over
// for one with context on a free backend server.
constexpr std::uint32_t max_bypasses = 32;

// Number of requests of mean cost by which another organisation may be served
// ahead of the next one, for a request with context on a free backend server.
constexpr double max_locality_requests = 2.0;

// Organisations that are tried per rank when their requests do not fit the free
// slots.
constexpr std::size_t max_examined_organisations = 64;

// Idle organisations whose tags are kept before a clean-up.
constexpr std::size_t max_idle_organisations = 64;

// Number of requests of mean cost that an organisation may be served ahead of
// its fair share after it used less. Without this allowance, the second request
// of a burst of a small organisation waits a whole round of the fair queueing:
// 0.4 s at the 99th percentile in a cell of 92 slots with 11 organisations.
constexpr double max_burst_requests = 8.0;

// Weight of a new request in the moving average of the cost.
constexpr double mean_cost_weight = 0.02;

// Tolerance for rounding errors in sums of fractional slots.
constexpr double slot_tolerance = 1e-9;

std::size_t number_of(rank request_rank)
{
    return static_cast<std::size_t>(request_rank);
}

// Whether the request must not be passed over again: it was passed over too
// often, or has waited longer than the time left until its first byte is due.
bool must_be_next(const queued_request& item, time_point now)
{
    return item.bypassed >= max_bypasses ||
           now - item.queued_at > item.first_byte_due - now;
}

} // namespace

void rank_queue::set_floors(const std::array<double, rank_count>& floors)
{
    floors_ = floors;
}

void rank_queue::set_slots(std::uint32_t slots)
{
    slots_ = std::max(slots, 1U);
}

void rank_queue::set_weights(std::map<organisation_id, double> weights)
{
    weights_ = std::move(weights);
}

double rank_queue::weight_of(organisation_id organisation) const
{
    const auto found = weights_.find(organisation);
    return found == weights_.end() || found->second <= 0.0 ? 1.0
                                                           : found->second;
}

double rank_queue::min_start_tag(
    const rank_state& state, organisation_id organisation) const
{
    return state.virtual_time -
           max_burst_requests * state.mean_cost / weight_of(organisation);
}

void rank_queue::push(const queued_request& item)
{
    if (index_.contains(item.key))
    {
        return;
    }
    rank_state& state = ranks_[number_of(item.request_rank)];
    state.mean_cost += (state.mean_cost == 0.0 ? 1.0 : mean_cost_weight) *
                       (item.cost - state.mean_cost);
    const double min_tag = min_start_tag(state, item.organisation);
    const auto [position, is_new] =
        state.organisations.try_emplace(item.organisation);
    organisation_queue& queue = position->second;
    if (queue.items.empty())
    {
        // An idle organisation accumulates no more than the burst allowance.
        queue.start_tag = is_new ? min_tag : std::max(queue.start_tag, min_tag);
        state.active.emplace(queue.start_tag, item.organisation);
    }
    queue.items.push_back(item);
    queue.waiting_cost += item.cost;
    state.waiting_cost += item.cost;
    ++state.items;
    index_.emplace(item.key, std::prev(queue.items.end()));
}

queued_request rank_queue::extract(
    rank_state& state, item_list::iterator position, bool served)
{
    const queued_request item = *position;
    organisation_queue& queue = state.organisations[item.organisation];
    index_.erase(item.key);
    queue.items.erase(position);
    queue.waiting_cost -= item.cost;
    state.waiting_cost -= item.cost;
    --state.items;
    double tag = queue.start_tag;
    if (served)
    {
        state.virtual_time = std::max(state.virtual_time, tag);
        tag += item.cost / weight_of(item.organisation);
    }
    set_start_tag(state, item.organisation, queue, tag);
    return item;
}

void rank_queue::set_start_tag(
    rank_state& state, organisation_id organisation, organisation_queue& queue,
    double tag)
{
    state.active.erase({queue.start_tag, organisation});
    queue.start_tag = tag;
    if (!queue.items.empty())
    {
        state.active.emplace(tag, organisation);
    }
}

// Removes idle organisations whose tag is not above the lowest start tag:
// without state, they would start there as well.
void rank_queue::forget_idle(rank_state& state)
{
    if (state.organisations.size() <
        state.active.size() + max_idle_organisations)
    {
        return;
    }
    std::erase_if(
        state.organisations,
        [&](const auto& entry)
        {
            return entry.second.items.empty() &&
                   (entry.second.start_tag <=
                        min_start_tag(state, entry.first) ||
                    state.active.empty());
        });
}

std::optional<queued_request> rank_queue::remove(const request_key& key)
{
    const auto found = index_.find(key);
    if (found == index_.end())
    {
        return std::nullopt;
    }
    rank_state& state = ranks_[number_of(found->second->request_rank)];
    return extract(state, found->second, false);
}

bool rank_queue::is_below_floor(std::size_t rank_number) const
{
    const rank_state& state = ranks_[rank_number];
    const double kept = floors_[rank_number] * slots_;
    const double whole = std::floor(kept + slot_tolerance);
    return state.slots_used < whole ||
           (state.slots_used < whole + 1 && state.floor_credit > 0.0);
}

// Keeps the fraction of a slot that a floor has beyond whole slots on average
// over time. Otherwise small cells would round a floor of 0.1 to no slot or to
// a whole one.
void rank_queue::update_floor_credits(std::size_t served_rank)
{
    for (std::size_t number = 0; number < rank_count; ++number)
    {
        rank_state& state = ranks_[number];
        if (state.items > 0)
        {
            const double used =
                state.slots_used + (number == served_rank ? 1.0 : 0.0);
            const double missing = floors_[number] * slots_ - used;
            state.floor_credit =
                std::clamp(state.floor_credit + missing / slots_, -1.0, 1.0);
        }
    }
}

std::optional<queued_request>
rank_queue::take_next(fit_function fit, time_point now)
{
    std::array<std::size_t, 2 * rank_count> order{};
    std::size_t count = 0;
    for (std::size_t number = 0; number < rank_count; ++number)
    {
        if (ranks_[number].items > 0 && is_below_floor(number))
        {
            order[count++] = number;
        }
    }
    for (std::size_t number = 0; number < rank_count; ++number)
    {
        order[count++] = number;
    }
    for (std::size_t position = 0; position < count; ++position)
    {
        auto item = take_from_rank(order[position], fit, now);
        if (item)
        {
            update_floor_credits(order[position]);
            return item;
        }
    }
    return std::nullopt;
}

// Serves the organisation with the lowest start tag, or another one whose tag
// is slightly higher and that has a request with context on a free backend
// server.
std::optional<queued_request> rank_queue::take_from_rank(
    std::size_t rank_number, fit_function fit, time_point now)
{
    rank_state& state = ranks_[rank_number];
    std::size_t tried = 0;
    std::optional<item_list::iterator> chosen;
    double latest_tag = 0.0;
    for (const auto& [tag, organisation] : state.active)
    {
        if (++tried > max_examined_organisations ||
            (chosen && tag > latest_tag))
        {
            break;
        }
        const auto candidate =
            choose_item(state.organisations[organisation], fit, now);
        if (!candidate)
        {
            continue;
        }
        if (!chosen)
        {
            chosen = candidate->position;
            latest_tag = tag + max_locality_requests * state.mean_cost;
            if (candidate->is_preferred || must_be_next(**chosen, now))
            {
                break;
            }
        }
        else if (candidate->is_preferred)
        {
            ++(*chosen)->bypassed;
            chosen = candidate->position;
            break;
        }
    }
    if (!chosen)
    {
        return std::nullopt;
    }
    queued_request item = extract(state, *chosen, true);
    forget_idle(state);
    return item;
}

std::optional<rank_queue::candidate_item> rank_queue::choose_item(
    organisation_queue& organisation, fit_function fit, time_point now)
{
    std::optional<candidate_item> first_possible;
    std::size_t examined = 0;
    for (auto item = organisation.items.begin();
         item != organisation.items.end() && examined < max_examined_items;
         ++item, ++examined)
    {
        const slot_fit result = fit(*item);
        if (result == slot_fit::impossible)
        {
            continue;
        }
        if (result == slot_fit::preferred)
        {
            if (first_possible)
            {
                ++first_possible->position->bypassed;
            }
            return candidate_item{item, true};
        }
        if (!first_possible)
        {
            first_possible = candidate_item{item, false};
            if (must_be_next(*item, now))
            {
                break;
            }
        }
    }
    return first_possible;
}

void rank_queue::slot_used(rank request_rank)
{
    ++ranks_[number_of(request_rank)].slots_used;
}

void rank_queue::slot_freed(rank request_rank)
{
    std::uint32_t& used = ranks_[number_of(request_rank)].slots_used;
    used -= used > 0 ? 1 : 0;
}

void rank_queue::correct_cost(
    rank request_rank, organisation_id organisation, std::uint32_t expected,
    std::uint32_t actual)
{
    rank_state& state = ranks_[number_of(request_rank)];
    if (actual == 0 || actual == expected)
    {
        return;
    }
    const double change =
        (static_cast<double>(actual) - expected) / weight_of(organisation);
    const auto found = state.organisations.find(organisation);
    if (found == state.organisations.end())
    {
        if (change > 0.0)
        {
            state.organisations[organisation].start_tag =
                state.virtual_time + change;
        }
        return;
    }
    set_start_tag(
        state, organisation, found->second, found->second.start_tag + change);
    forget_idle(state);
}

double rank_queue::own_cost_ahead(const request_key& key) const
{
    const auto found = index_.find(key);
    if (found == index_.end())
    {
        return 0.0;
    }
    const queued_request& item = *found->second;
    const organisation_queue& own =
        ranks_[number_of(item.request_rank)].organisations.at(
            item.organisation);
    if (&own.items.back() == &item)
    {
        return own.waiting_cost - item.cost;
    }
    double ahead = 0.0;
    for (auto other = own.items.begin(); &*other != &item; ++other)
    {
        ahead += other->cost;
    }
    return ahead;
}

double rank_queue::cost_ahead(const request_key& key) const
{
    const auto found = index_.find(key);
    if (found == index_.end())
    {
        return 0.0;
    }
    const queued_request& item = *found->second;
    const rank_state& state = ranks_[number_of(item.request_rank)];
    const organisation_queue& own = state.organisations.at(item.organisation);
    const double own_ahead = own_cost_ahead(key);
    const double tag = own.start_tag + own_ahead / weight_of(item.organisation);
    double ahead = own_ahead;
    for (const auto& [start_tag, organisation] : state.active)
    {
        if (start_tag >= tag)
        {
            break;
        }
        if (organisation != item.organisation)
        {
            ahead += std::min(
                state.organisations.at(organisation).waiting_cost,
                (tag - start_tag) * weight_of(organisation));
        }
    }
    return ahead;
}

std::optional<rank> rank_queue::rank_of(const request_key& key) const
{
    const auto found = index_.find(key);
    if (found == index_.end())
    {
        return std::nullopt;
    }
    return found->second->request_rank;
}

double rank_queue::waiting_cost(rank request_rank) const
{
    return ranks_[number_of(request_rank)].waiting_cost;
}

std::size_t rank_queue::size(rank request_rank) const
{
    return ranks_[number_of(request_rank)].items;
}

void rank_queue::for_each_first(
    absl::FunctionRef<void(const queued_request&)> visitor) const
{
    for (const rank_state& state : ranks_)
    {
        for (const auto& [tag, organisation] : state.active)
        {
            visitor(state.organisations.at(organisation).items.front());
        }
    }
}

std::vector<queued_request>
rank_queue::in_service_order(rank request_rank) const
{
    const rank_state& state = ranks_[number_of(request_rank)];
    std::vector<std::pair<double, const queued_request*>> tagged;
    tagged.reserve(state.items);
    for (const auto& [start_tag, organisation] : state.active)
    {
        double tag = start_tag;
        for (const queued_request& item :
             state.organisations.at(organisation).items)
        {
            tagged.emplace_back(tag, &item);
            tag += item.cost / weight_of(organisation);
        }
    }
    std::stable_sort(
        tagged.begin(), tagged.end(),
        [](const auto& left, const auto& right)
        { return left.first < right.first; });
    std::vector<queued_request> result;
    result.reserve(tagged.size());
    for (const auto& [tag, item] : tagged)
    {
        result.push_back(*item);
    }
    return result;
}

const queued_request* rank_queue::first_to_shed() const
{
    for (std::size_t number = rank_count; number-- > 0;)
    {
        const rank_state& state = ranks_[number];
        const queued_request* candidate = nullptr;
        double largest = -1.0;
        for (const auto& [tag, organisation] : state.active)
        {
            const organisation_queue& queue =
                state.organisations.at(organisation);
            const double backlog = queue.waiting_cost / weight_of(organisation);
            if (backlog > largest)
            {
                largest = backlog;
                candidate = &queue.items.back();
            }
        }
        if (candidate != nullptr)
        {
            return candidate;
        }
    }
    return nullptr;
}

std::size_t rank_queue::tracked_organisations() const
{
    std::size_t count = 0;
    for (const rank_state& state : ranks_)
    {
        count += state.organisations.size();
    }
    return count;
}

} // namespace hickorygap
