#include "support/engine_model.hpp"

#include "common/hashing.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hickorygap::testing
{

namespace
{

// Cache events and load samples kept; older ones are dropped, as in the ring
// buffer of a real engine.
constexpr std::size_t event_capacity = 1024;
constexpr std::size_t load_capacity = 1024;

} // namespace

std::string engine_token(const std::string& body, std::uint32_t index)
{
    return fmt::format("t{}-{:04x} ", index, hash_name(body) & 0xffffU);
}

std::string engine_event(const std::string& body, std::uint32_t index)
{
    return fmt::format(
        "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n",
        engine_token(body, index));
}

engine_model::engine_model(engine_options options)
    : options_(std::move(options))
{
}

bool engine_model::acquire_slot(std::uint32_t rank)
{
    std::unique_lock lock{mutex_};
    if (running_ >= options_.slots && waiting_.size() >= options_.queue_limit)
    {
        ++counters_.refused;
        return false;
    }
    const auto queue_position = std::pair{rank, ++last_queue_number_};
    waiting_.insert(queue_position);
    record_load();
    slot_freed_.wait(
        lock,
        [&] {
            return running_ < options_.slots &&
                   *waiting_.begin() == queue_position;
        });
    waiting_.erase(queue_position);
    ++running_;
    ++counters_.requests;
    counters_.max_running =
        std::max<std::uint64_t>(counters_.max_running, running_);
    record_load();
    slot_freed_.notify_all();
    return true;
}

void engine_model::release_slot()
{
    const std::lock_guard lock{mutex_};
    --running_;
    record_load();
    slot_freed_.notify_all();
}

bool engine_model::use_cache(const std::string& chat)
{
    if (chat.empty())
    {
        return false;
    }
    const std::lock_guard lock{mutex_};
    const auto found = std::find(lru_chats_.begin(), lru_chats_.end(), chat);
    if (found != lru_chats_.end())
    {
        lru_chats_.splice(lru_chats_.begin(), lru_chats_, found);
        ++hits_by_chat_[chat];
        ++counters_.cache_hits;
        return true;
    }
    lru_chats_.push_front(chat);
    add_event(chat, true);
    if (lru_chats_.size() > options_.cache_chats)
    {
        add_event(lru_chats_.back(), false);
        lru_chats_.pop_back();
    }
    return false;
}

void engine_model::add_event(const std::string& chat, bool stored)
{
    ++last_sequence_;
    if (options_.event_gap != 0 && last_sequence_ % options_.event_gap == 0)
    {
        return;
    }
    events_.push_back(
        {last_sequence_, boot_now() + options_.event_lag, chat, stored});
    if (events_.size() > event_capacity)
    {
        events_.pop_front();
    }
}

duration engine_model::current_token_time()
{
    const std::lock_guard lock{mutex_};
    return options_.token_time +
           options_.token_time_per_peer * (std::max(running_, 1U) - 1);
}

bool engine_model::claim_stream_break()
{
    const std::lock_guard lock{mutex_};
    return !std::exchange(stream_broken_, true);
}

void engine_model::count_cancelled()
{
    const std::lock_guard lock{mutex_};
    ++counters_.cancelled;
}

void engine_model::record_load()
{
    load_history_.emplace_back(
        boot_now(),
        std::pair{running_, static_cast<std::uint32_t>(waiting_.size())});
    if (load_history_.size() > load_capacity)
    {
        load_history_.pop_front();
    }
}

std::pair<std::uint32_t, std::uint32_t> engine_model::reported_load()
{
    const std::lock_guard lock{mutex_};
    const time_point sample_time = boot_now() - options_.load_lag;
    std::pair<std::uint32_t, std::uint32_t> load{0, 0};
    for (const auto& [time, sample] : load_history_)
    {
        if (time > sample_time)
        {
            break;
        }
        load = sample;
    }
    return load;
}

std::vector<engine_model::event>
engine_model::events_after(std::uint64_t sequence)
{
    const std::lock_guard lock{mutex_};
    std::vector<event> result;
    for (const event& each : events_)
    {
        if (each.sequence > sequence && each.visible_from <= boot_now())
        {
            result.push_back(each);
        }
    }
    return result;
}

std::uint64_t engine_model::last_event()
{
    const std::lock_guard lock{mutex_};
    return last_sequence_;
}

bool engine_model::accept_order(fence number, const std::string& text)
{
    const std::lock_guard lock{mutex_};
    if (options_.checks_fencing && number < highest_fence_)
    {
        return false;
    }
    highest_fence_ = std::max(highest_fence_, number);
    last_order_ = text;
    return true;
}

std::string engine_model::last_order()
{
    const std::lock_guard lock{mutex_};
    return last_order_;
}

engine_model::counters engine_model::counts()
{
    const std::lock_guard lock{mutex_};
    return counters_;
}

std::map<std::string, std::uint64_t> engine_model::hits_by_chat()
{
    const std::lock_guard lock{mutex_};
    return hits_by_chat_;
}

} // namespace hickorygap::testing
