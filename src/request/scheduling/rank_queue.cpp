#include "request/scheduling/rank_queue.hpp"

#include <algorithm>
#include <cmath>

namespace hickorygap
{

namespace
{

// Requests of one organisation that are examined for one whose chat has its
// context on the free backend server. With 16 backend servers, 32 requests
// contain one with probability 0.87.
constexpr std::size_t lookahead_items = 32;

// Times that the first request of an organisation may be passed over for one
// with context on the free backend server.
constexpr std::uint32_t bypass_limit = 32;

// Organisations that are tried per rank when the free slots do not fit.
constexpr std::size_t lookahead_organisations = 64;

// Idle organisations whose tags are remembered before a clean-up.
constexpr std::size_t idle_organisation_limit = 64;

// Tolerance for sums of fractional slots.
constexpr double rounding = 1e-9;

std::size_t number_of(rank request_rank)
{
    return static_cast<std::size_t>(request_rank);
}

// More than half of the time until the first byte is due has passed.
bool is_pressing(const queued_request& item, time_point now)
{
    return now - item.queued_at > item.first_byte_due - now;
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

void rank_queue::push(const queued_request& item)
{
    if (index_.contains(item.key))
    {
        return;
    }
    rank_state& state = ranks_[number_of(item.request_rank)];
    organisation_queue& queue = state.organisations[item.organisation];
    if (queue.items.empty())
    {
        // An idle organisation does not save up its unused share.
        queue.start_tag = std::max(queue.start_tag, state.virtual_time);
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

// An idle organisation whose tag is not ahead of the virtual time would start
// at the virtual time anyway.
void rank_queue::forget_idle(rank_state& state)
{
    if (state.organisations.size() <
        state.active.size() + idle_organisation_limit)
    {
        return;
    }
    std::erase_if(
        state.organisations,
        [&](const auto& entry)
        {
            return entry.second.items.empty() &&
                   (entry.second.start_tag <= state.virtual_time ||
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
    const double whole = std::floor(kept + rounding);
    return state.slots_used < whole ||
           (state.slots_used < whole + 1 && state.floor_credit >= 1.0);
}

// The fraction of a slot that a floor leaves after whole slots becomes a
// share of the served requests; otherwise small cells would round a floor of
// 0.1 to nothing or to a whole slot.
void rank_queue::add_floor_credit(std::size_t served_rank)
{
    for (std::size_t number = 0; number < rank_count; ++number)
    {
        rank_state& state = ranks_[number];
        const double kept = floors_[number] * slots_;
        const double fraction = kept - std::floor(kept + rounding);
        if (number == served_rank)
        {
            state.floor_credit = std::max(0.0, state.floor_credit - 1.0);
        }
        else if (state.items > 0 && fraction > rounding)
        {
            state.floor_credit =
                std::min(1.0, state.floor_credit + fraction / slots_);
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
            add_floor_credit(order[position]);
            return item;
        }
    }
    return std::nullopt;
}

std::optional<queued_request> rank_queue::take_from_rank(
    std::size_t rank_number, fit_function fit, time_point now)
{
    rank_state& state = ranks_[rank_number];
    std::size_t tried = 0;
    for (const auto& [tag, organisation] : state.active)
    {
        if (++tried > lookahead_organisations)
        {
            break;
        }
        organisation_queue& queue = state.organisations[organisation];
        bool found = false;
        const auto position = choose_item(queue, fit, now, found);
        if (found)
        {
            queued_request item = extract(state, position, true);
            forget_idle(state);
            return item;
        }
    }
    return std::nullopt;
}

rank_queue::item_list::iterator rank_queue::choose_item(
    organisation_queue& organisation, fit_function fit, time_point now,
    bool& found)
{
    auto first_possible = organisation.items.end();
    std::size_t examined = 0;
    for (auto item = organisation.items.begin();
         item != organisation.items.end() && examined < lookahead_items;
         ++item, ++examined)
    {
        const slot_fit result = fit(*item);
        if (result == slot_fit::impossible)
        {
            continue;
        }
        if (first_possible == organisation.items.end())
        {
            first_possible = item;
            if (item->bypassed >= bypass_limit || is_pressing(*item, now))
            {
                break;
            }
        }
        if (result == slot_fit::preferred)
        {
            if (item != first_possible)
            {
                ++first_possible->bypassed;
            }
            found = true;
            return item;
        }
    }
    found = first_possible != organisation.items.end();
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
        state, organisation, found->second,
        std::max(0.0, found->second.start_tag + change));
    forget_idle(state);
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
    double own_ahead = 0.0;
    if (&own.items.back() == &item)
    {
        own_ahead = own.waiting_cost - item.cost;
    }
    else
    {
        for (auto other = own.items.begin(); &*other != &item; ++other)
        {
            own_ahead += other->cost;
        }
    }
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
        const queued_request* worst = nullptr;
        double largest = -1.0;
        for (const auto& [tag, organisation] : state.active)
        {
            const organisation_queue& queue =
                state.organisations.at(organisation);
            const double backlog = queue.waiting_cost / weight_of(organisation);
            if (backlog > largest)
            {
                largest = backlog;
                worst = &queue.items.back();
            }
        }
        if (worst != nullptr)
        {
            return worst;
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
