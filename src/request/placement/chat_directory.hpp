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

// Index of an engine, that is a backend server that runs an inference engine,
// in the engine_table of its cell.
using engine_index = std::uint16_t;
inline constexpr engine_index no_engine = 0xffff;

// Maps chats to the engines that probably have their context cached: the one
// that served the chat last, and the one before. Evicts the chat that was
// served longest ago when full. A chained hash table over one array of small
// entries, so that a chat takes 36 bytes.
class chat_directory
{
public:
    explicit chat_directory(std::size_t capacity);

    // Engines of the chat, the most recent first; no_engine for unset
    // positions.
    std::array<engine_index, 2> find(chat_id chat) const;

    // Records that the engine serves the chat now.
    void put(chat_id chat, engine_index engine, time_point now);

    // Records an engine that is reported to have the chat's context cached;
    // never replaces an engine that is already known.
    void add_if_unknown(chat_id chat, engine_index engine, time_point now);

    // Removes the engine from the chat's entry, unless the chat was served
    // after the given time: an eviction reported late must not undo a newer
    // placement.
    void forget(chat_id chat, engine_index engine, time_point until);

    // Removes the engine from all entries.
    void forget_engine(engine_index engine);

    // Calls the visitor with each chat and its most recent engine, in order
    // from the chat that was served last, until the visitor returns false.
    void visit_latest(
        const std::function<bool(chat_id, engine_index)>& visitor) const;

    std::size_t size() const
    {
        return entries_.size() - free_entries_;
    }

    // Memory allocated for entries and buckets, in bytes.
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
        // Time at which the chat was last served, in milliseconds of the
        // instance's clock, modulo 2^32.
        std::uint32_t served_ms = 0;
        std::array<engine_index, 2> engines{no_engine, no_engine};
    };

    position locate(chat_id chat) const;
    position insert(chat_id chat);
    position allocate_entry();
    void remove(position at);
    void link_newest(position at);
    void remove_from_order(position at);
    void remove_from_bucket(position at);
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
