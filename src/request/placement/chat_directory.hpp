#ifndef HICKORYGAP_REQUEST_PLACEMENT_CHAT_DIRECTORY_HPP
#define HICKORYGAP_REQUEST_PLACEMENT_CHAT_DIRECTORY_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace hickorygap
{

// Position of a backend server in its cell's engine table.
using engine_index = std::uint16_t;
inline constexpr engine_index no_engine = 0xffff;

// Remembers which engines hold the context of a chat: the one that served it
// last, and the one before. Bounded; the chat that was served longest ago is
// evicted first. A hash table with chains over one array of small entries, so
// that a chat takes 36 bytes.
class chat_directory
{
public:
    explicit chat_directory(std::size_t capacity);

    // Engines of the chat, the latest first; no_engine where there is none.
    std::array<engine_index, 2> find(chat_id chat) const;

    // Notes that the engine serves the chat now.
    void put(chat_id chat, engine_index engine, time_point now);

    // Notes an engine that was reported to hold the chat's context; does not
    // replace what is known from placements.
    void add_if_unknown(chat_id chat, engine_index engine, time_point now);

    // Forgets that the engine holds the chat's context, unless the chat was
    // served after the time.
    void forget(chat_id chat, engine_index engine, time_point until);

    // Forgets everything about an engine.
    void forget_engine(engine_index engine);

    // Calls the visitor with chats and their latest engines, the chat that
    // was served last first, until the visitor returns false.
    void visit_latest(
        const std::function<bool(chat_id, engine_index)>& visitor) const;

    std::size_t size() const
    {
        return entries_.size() - free_entries_;
    }

    // Memory in use, in bytes.
    std::size_t memory() const;

private:
    using position = std::uint32_t;
    static constexpr position none = 0xffffffff;

    struct entry
    {
        chat_id chat = 0;
        position newer = none;
        position older = none;
        position next_in_bucket = none;
        // Milliseconds of the clock, modulo 2^32.
        std::uint32_t served_ms = 0;
        std::array<engine_index, 2> engines{no_engine, no_engine};
    };

    position locate(chat_id chat) const;
    position insert(chat_id chat);
    position take_entry();
    void remove(position at);
    void link_newest(position at);
    void unlink(position at);
    void unchain(position at);
    void grow_buckets();
    std::size_t bucket_of(chat_id chat) const;

    std::size_t capacity_;
    std::vector<entry> entries_;
    std::vector<position> buckets_;
    position newest_ = none;
    position oldest_ = none;
    position first_free_ = none;
    std::size_t free_entries_ = 0;
};

} // namespace hickorygap

#endif
