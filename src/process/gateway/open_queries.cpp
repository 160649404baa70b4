#include "process/gateway/open_queries.hpp"

#include <utility>

namespace hickorygap
{

open_queries::open_queries(event_loop& loop)
    : loop_{loop}
{
}

open_queries::~open_queries()
{
    for (auto& [number, item] : queries_)
    {
        loop_.cancel(item.timer);
    }
}

std::uint32_t open_queries::add(result_function on_result)
{
    queries_[++last_number_].on_result = std::move(on_result);
    return last_number_;
}

void open_queries::set_timeout(
    std::uint32_t number, duration time, std::function<void()> on_timeout)
{
    query& item = queries_.at(number);
    item.timer = loop_.after(time, std::move(on_timeout));
    item.deadline = loop_.now() + time;
}

bool open_queries::is_overdue(std::uint32_t number) const
{
    const auto found = queries_.find(number);
    return found != queries_.end() && found->second.deadline &&
           *found->second.deadline < loop_.now();
}

void open_queries::finish(
    std::uint32_t number, std::optional<std::uint64_t> result)
{
    auto item = queries_.extract(number);
    if (!item.empty())
    {
        loop_.cancel(item.mapped().timer);
        item.mapped().on_result(result);
    }
}

void open_queries::cancel(std::uint32_t number)
{
    const auto found = queries_.find(number);
    if (found != queries_.end())
    {
        loop_.cancel(found->second.timer);
        queries_.erase(found);
    }
}

} // namespace hickorygap
