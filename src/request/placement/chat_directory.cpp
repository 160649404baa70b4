#include "request/placement/chat_directory.hpp"

#include "common/hashing.hpp"

#include <algorithm>
#include <utility>

namespace hickorygap
{

namespace
{

constexpr std::size_t initial_buckets = 64;

std::uint32_t to_ms(time_point time)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.since_start)
            .count());
}

// Compares times modulo 2^32 ms; right only for times less than 24 days apart.
bool is_later(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace

chat_directory::chat_directory(std::size_t capacity)
    : capacity_(std::max<std::size_t>(capacity, 1))
    , buckets_(initial_buckets, none)
{
}

std::size_t chat_directory::bucket_of(chat_id chat) const
{
    // Chat identifiers are hashes already, and the number of buckets is a power
    // of two.
    return chat & (buckets_.size() - 1);
}

chat_directory::position chat_directory::locate(chat_id chat) const
{
    position at = buckets_[bucket_of(chat)];
    while (at != none && entries_[at].chat != chat)
    {
        at = entries_[at].next_in_bucket;
    }
    return at;
}

std::array<engine_index, 2> chat_directory::find(chat_id chat) const
{
    const position at = locate(chat);
    if (at == none)
    {
        return {no_engine, no_engine};
    }
    return entries_[at].engines;
}

void chat_directory::put(chat_id chat, engine_index engine, time_point now)
{
    position at = locate(chat);
    if (at == none)
    {
        at = insert(chat);
    }
    else
    {
        remove_from_order(at);
        link_newest(at);
    }
    entry& known = entries_[at];
    known.served_ms = to_ms(now);
    if (known.engines[0] != engine)
    {
        known.engines = {engine, known.engines[0]};
    }
}

void chat_directory::add_if_unknown(
    chat_id chat, engine_index engine, time_point now)
{
    const position at = locate(chat);
    if (at == none)
    {
        put(chat, engine, now);
        return;
    }
    entry& known = entries_[at];
    if (known.engines[0] != engine && known.engines[1] == no_engine)
    {
        known.engines[1] = engine;
    }
}

void chat_directory::forget(chat_id chat, engine_index engine, time_point until)
{
    const position at = locate(chat);
    if (at == none || is_later(entries_[at].served_ms, to_ms(until)))
    {
        return;
    }
    entry& known = entries_[at];
    if (known.engines[1] == engine)
    {
        known.engines[1] = no_engine;
    }
    if (known.engines[0] == engine)
    {
        known.engines = {known.engines[1], no_engine};
    }
    if (known.engines[0] == no_engine)
    {
        remove(at);
    }
}

void chat_directory::forget_engine(engine_index engine)
{
    position at = newest_;
    while (at != none)
    {
        entry& known = entries_[at];
        const position next = known.older;
        if (known.engines[1] == engine)
        {
            known.engines[1] = no_engine;
        }
        if (known.engines[0] == engine)
        {
            known.engines = {known.engines[1], no_engine};
        }
        if (known.engines[0] == no_engine)
        {
            remove(at);
        }
        at = next;
    }
}

void chat_directory::visit_latest(
    const std::function<bool(chat_id, engine_index)>& visitor) const
{
    for (position at = newest_; at != none; at = entries_[at].older)
    {
        if (!visitor(entries_[at].chat, entries_[at].engines[0]))
        {
            return;
        }
    }
}

std::size_t chat_directory::memory() const
{
    return entries_.capacity() * sizeof(entry) +
           buckets_.capacity() * sizeof(position);
}

chat_directory::position chat_directory::insert(chat_id chat)
{
    const position at = allocate_entry();
    grow_buckets();
    entries_[at].chat = chat;
    position& bucket = buckets_[bucket_of(chat)];
    entries_[at].next_in_bucket = std::exchange(bucket, at);
    link_newest(at);
    return at;
}

chat_directory::position chat_directory::allocate_entry()
{
    if (size() >= capacity_)
    {
        remove(oldest_);
    }
    if (first_free_ != none)
    {
        const position at = first_free_;
        first_free_ = entries_[at].next_in_bucket;
        --free_entries_;
        entries_[at] = entry{};
        return at;
    }
    entries_.emplace_back();
    return static_cast<position>(entries_.size() - 1);
}

void chat_directory::remove(position at)
{
    remove_from_order(at);
    remove_from_bucket(at);
    entries_[at].next_in_bucket = std::exchange(first_free_, at);
    ++free_entries_;
}

void chat_directory::link_newest(position at)
{
    entry& linked = entries_[at];
    linked.newer = none;
    linked.older = newest_;
    if (newest_ != none)
    {
        entries_[newest_].newer = at;
    }
    newest_ = at;
    if (oldest_ == none)
    {
        oldest_ = at;
    }
}

void chat_directory::remove_from_order(position at)
{
    const entry& linked = entries_[at];
    if (linked.newer != none)
    {
        entries_[linked.newer].older = linked.older;
    }
    else
    {
        newest_ = linked.older;
    }
    if (linked.older != none)
    {
        entries_[linked.older].newer = linked.newer;
    }
    else
    {
        oldest_ = linked.newer;
    }
}

void chat_directory::remove_from_bucket(position at)
{
    position* link = &buckets_[bucket_of(entries_[at].chat)];
    while (*link != at)
    {
        link = &entries_[*link].next_in_bucket;
    }
    *link = entries_[at].next_in_bucket;
}

void chat_directory::grow_buckets()
{
    if (entries_.size() <= buckets_.size())
    {
        return;
    }
    buckets_.assign(buckets_.size() * 2, none);
    for (position at = newest_; at != none; at = entries_[at].older)
    {
        position& bucket = buckets_[bucket_of(entries_[at].chat)];
        entries_[at].next_in_bucket = std::exchange(bucket, at);
    }
}

} // namespace hickorygap
