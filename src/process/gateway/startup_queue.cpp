#include "process/gateway/startup_queue.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace hickorygap
{

namespace
{

// Time from the start of a router within which it gets its configuration, also
// when the voters have to elect a leader first.
constexpr duration startup_time = std::chrono::seconds{2};

// A request waits for at most this share of the time that its caller has left,
// so that there is enough of it to be served, or to try another router.
constexpr int wait_divisor = 2;

// Time over which the requests go on.
constexpr duration release_time = std::chrono::milliseconds{150};

} // namespace

startup_queue::startup_queue(event_loop& loop)
    : loop_{loop}
    , started_at_{loop.now()}
{
}

startup_queue::~startup_queue()
{
    for (auto& [number, item] : entries_)
    {
        loop_.cancel(item.timer);
    }
}

duration startup_queue::longest_wait(duration time_left) const
{
    const duration rest = started_at_ + startup_time - loop_.now();
    return std::max(std::min(rest, time_left / wait_divisor), duration{0});
}

std::uint64_t startup_queue::add(
    time_point deadline, duration wait, std::function<void(bool)> on_end)
{
    const std::uint64_t number = ++last_number_;
    entry& item = entries_[number];
    item.deadline = deadline;
    item.on_end = std::move(on_end);
    item.timer = loop_.after(wait, [this, number] { finish(number, false); });
    return number;
}

void startup_queue::cancel(std::uint64_t number)
{
    const auto found = entries_.find(number);
    if (found != entries_.end())
    {
        loop_.cancel(found->second.timer);
        entries_.erase(found);
    }
}

void startup_queue::finish(std::uint64_t number, bool is_ready)
{
    const auto found = entries_.find(number);
    if (found == entries_.end())
    {
        return;
    }
    const auto on_end = std::move(found->second.on_end);
    cancel(number);
    on_end(is_ready);
}

void startup_queue::release()
{
    std::vector<std::pair<time_point, std::uint64_t>> order;
    for (const auto& [number, item] : entries_)
    {
        order.emplace_back(item.deadline, number);
    }
    std::ranges::sort(order);
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        entry& item = entries_.at(order[i].second);
        loop_.cancel(item.timer);
        item.timer = loop_.after(
            release_time * static_cast<int>(i) / static_cast<int>(order.size()),
            [this, number = order[i].second] { finish(number, true); });
    }
}

} // namespace hickorygap
