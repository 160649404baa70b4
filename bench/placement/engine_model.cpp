#include "engine_model.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap::bench
{

namespace
{

constexpr double prefill_tokens_per_second = 3000.0;

// Time between tokens with a full batch. With an almost empty batch it is
// shorter by the factor empty_batch_share, and linear in the fill in between.
constexpr double seconds_per_token = 0.028;
constexpr double empty_batch_share = 0.7;

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

engine_model::engine_model(std::uint32_t slots, std::uint32_t cache_tokens)
    : slots_(slots)
    , cache_tokens_(cache_tokens)
{
}

void engine_model::add(const engine_job& job, time_point now)
{
    const auto position = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&](const engine_job& other)
        { return other.request_rank > job.request_rank; });
    waiting_.insert(position, job);
    start_waiting(now);
}

void engine_model::start_waiting(time_point now)
{
    while (running_.size() < slots_ && !waiting_.empty())
    {
        engine_job job = waiting_.front();
        waiting_.pop_front();
        job.reused_tokens =
            std::min(cached_tokens(job.chat), job.context_tokens);
        job.started = now;
        job.first_byte = now + from_seconds(
                                   (job.prompt_tokens - job.reused_tokens) /
                                       prefill_tokens_per_second +
                                   seconds_per_token);
        const double fill = static_cast<double>(running_.size() + 1) / slots_;
        job.end = job.first_byte +
                  from_seconds(
                      job.answer_tokens * seconds_per_token *
                      (empty_batch_share + (1 - empty_batch_share) * fill));
        store_in_cache(job.chat, job.prompt_tokens);
        running_.push_back(job);
    }
}

std::vector<engine_job> engine_model::advance(time_point now)
{
    std::vector<engine_job> ended;
    for (std::size_t index = 0; index < running_.size();)
    {
        if (running_[index].end > now)
        {
            ++index;
            continue;
        }
        const engine_job job = running_[index];
        running_[index] = running_.back();
        running_.pop_back();
        store_in_cache(job.chat, job.prompt_tokens + job.answer_tokens);
        ended.push_back(job);
    }
    start_waiting(now);
    return ended;
}

std::vector<engine_job> engine_model::fail()
{
    std::vector<engine_job> lost = std::exchange(running_, {});
    lost.insert(lost.end(), waiting_.begin(), waiting_.end());
    waiting_.clear();
    lru_order_.clear();
    cached_.clear();
    used_cache_tokens_ = 0;
    ++start_number_;
    return lost;
}

std::uint32_t engine_model::cached_tokens(chat_id chat) const
{
    const auto found = cached_.find(chat);
    return found == cached_.end() ? 0 : found->second->tokens;
}

void engine_model::store_in_cache(chat_id chat, std::uint32_t tokens)
{
    const auto found = cached_.find(chat);
    if (found != cached_.end())
    {
        used_cache_tokens_ -= found->second->tokens;
        lru_order_.erase(found->second);
        cached_.erase(found);
    }
    lru_order_.push_front({chat, tokens});
    cached_[chat] = lru_order_.begin();
    used_cache_tokens_ += tokens;
    while (used_cache_tokens_ > cache_tokens_ && lru_order_.size() > 1)
    {
        const cached_chat& oldest = lru_order_.back();
        used_cache_tokens_ -= oldest.tokens;
        evicted_.push_back(oldest.chat);
        cached_.erase(oldest.chat);
        lru_order_.pop_back();
    }
}

std::vector<chat_id> engine_model::take_evicted()
{
    return std::exchange(evicted_, {});
}

} // namespace hickorygap::bench
