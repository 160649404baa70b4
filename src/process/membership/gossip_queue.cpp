#include "process/membership/gossip_queue.hpp"

#include <algorithm>

namespace hickorygap
{

void gossip_queue::add(std::uint64_t key, bool full_record)
{
    state& entry = items_[key];
    entry.full_record = entry.full_record || full_record;
    entry.sent = 0;
}

void gossip_queue::remove(std::uint64_t key)
{
    items_.erase(key);
}

std::vector<gossip_queue::item> gossip_queue::select(
    std::size_t& budget, unsigned limit, const size_function& size_of)
{
    std::vector<std::pair<unsigned, std::uint64_t>> order;
    order.reserve(items_.size());
    for (const auto& [key, entry] : items_)
    {
        order.emplace_back(entry.sent, key);
    }
    std::sort(order.begin(), order.end());
    std::vector<item> result;
    for (const auto& [sent, key] : order)
    {
        state& entry = items_[key];
        const item candidate{key, entry.full_record};
        const std::size_t size = size_of(candidate);
        if (size > budget)
        {
            break;
        }
        budget -= size;
        result.push_back(candidate);
        if (++entry.sent >= limit)
        {
            items_.erase(key);
        }
    }
    return result;
}

void gossip_queue::mark_full_records_sent(unsigned limit)
{
    for (auto i = items_.begin(); i != items_.end();)
    {
        const bool done = i->second.full_record && ++i->second.sent >= limit;
        i = done ? items_.erase(i) : std::next(i);
    }
}

} // namespace hickorygap
