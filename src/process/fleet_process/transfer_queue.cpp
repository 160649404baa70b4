#include "process/fleet_process/transfer_queue.hpp"

#include <algorithm>

namespace hickorygap
{

transfer_queue::transfer_queue(double bytes_per_second)
    : bytes_per_second_{bytes_per_second}
{
}

void transfer_queue::add(const transfer& item)
{
    if (std::ranges::find(queued_, item) == queued_.end())
    {
        queued_.push_back(item);
    }
}

std::optional<transfer> transfer_queue::take(time_point now)
{
    if (queued_.empty() || now < busy_until_)
    {
        return std::nullopt;
    }
    busy_until_ = now;
    const auto next = std::ranges::min_element(queued_, {}, &transfer::kind);
    const transfer taken = *next;
    queued_.erase(next);
    return taken;
}

void transfer_queue::sent(std::size_t bytes)
{
    busy_until_ =
        busy_until_ + std::chrono::ceil<duration>(std::chrono::duration<double>{
                          static_cast<double>(bytes) / bytes_per_second_});
}

std::optional<duration> transfer_queue::wait(time_point now) const
{
    if (queued_.empty())
    {
        return std::nullopt;
    }
    return std::max(duration{0}, busy_until_ - now);
}

duration
voter_transfer_interval(std::size_t bytes, double link_megabits_per_second)
{
    // Share of the leader's network link.
    constexpr double voter_link_share = 0.25;
    constexpr double bytes_per_megabit = 1e6 / 8;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{
        static_cast<double>(bytes) /
        (link_megabits_per_second * bytes_per_megabit * voter_link_share)});
}

} // namespace hickorygap
