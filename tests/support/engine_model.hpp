#ifndef HICKORYGAP_TESTS_SUPPORT_ENGINE_MODEL_HPP
#define HICKORYGAP_TESTS_SUPPORT_ENGINE_MODEL_HPP

#include "common/time.hpp"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickorygap::testing
{

struct engine_options
{
    std::uint32_t slots = 8;

    // Most requests that wait for a slot; further ones are refused as not run.
    std::uint32_t queue_limit = 64;

    // Time per generated token with one request in the batch, and the time that
    // each further request in the batch adds.
    duration token_time{std::chrono::milliseconds{2}};
    duration token_time_per_peer{0};

    // Prefill time of an uncached prompt, per token of 4 bytes.
    duration prompt_token_time{0};

    // Capacity of the prefix cache in chats; the least recently used chat is
    // evicted.
    std::size_t cache_chats = 16;
    std::uint32_t tokens = 8;

    // Age of the state that a load report shows.
    duration load_lag{0};

    // Delay until a cache event can be read. Every event_gap-th event is lost;
    // 0: none is.
    duration event_lag{0};
    std::uint32_t event_gap = 0;
    bool resumes = true;
    bool checks_fencing = true;

    // The process exits when a request body contains this text; empty: never.
    std::string crash_marker;

    // The first stream that reaches this many events is cut off by closing its
    // connection; 0: never.
    std::uint32_t break_after = 0;
};

// Token and server-sent event at an index, counted from 0, of the response to
// a request body. They depend on the body alone, as with a fixed sampling seed,
// so that a retry on another engine gives the same response.
std::string engine_token(const std::string& body, std::uint32_t index);
std::string engine_event(const std::string& body, std::uint32_t index);

// State of a simulated inference engine: slots, batch, prefix cache, cache
// events and orders. All functions are thread-safe.
class engine_model
{
public:
    using fence = std::pair<std::uint64_t, std::uint64_t>;

    struct event
    {
        std::uint64_t sequence = 0;
        time_point visible_from;
        std::string chat;
        bool stored = false;
    };

    struct counters
    {
        std::uint64_t requests = 0;
        std::uint64_t cache_hits = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t refused = 0;
        std::uint64_t max_running = 0;
    };

    explicit engine_model(engine_options options);

    // Blocks until a slot is free; lower ranks go first, then earlier requests.
    // False when the queue is full.
    bool acquire_slot(std::uint32_t rank);
    void release_slot();

    // Looks the chat up in the cache and inserts it on a miss; true on a hit.
    bool use_cache(const std::string& chat);

    duration current_token_time();
    // Whether to cut off the stream that reached break_after: true once only.
    bool claim_stream_break();
    void count_cancelled();

    // Running and queued requests, load_lag ago.
    std::pair<std::uint32_t, std::uint32_t> reported_load();
    std::vector<event> events_after(std::uint64_t sequence);
    std::uint64_t last_event();

    // Stores an order; false when fencing is checked and its number is lower
    // than the highest one accepted.
    bool accept_order(fence number, const std::string& text);
    std::string last_order();

    counters counts();
    std::map<std::string, std::uint64_t> hits_by_chat();
    const engine_options& options() const
    {
        return options_;
    }

private:
    void add_event(const std::string& chat, bool stored);
    void record_load();

    const engine_options options_;
    std::mutex mutex_;
    std::condition_variable slot_freed_;
    std::uint32_t running_ = 0;
    std::uint64_t last_queue_number_ = 0;
    std::set<std::pair<std::uint32_t, std::uint64_t>> waiting_;
    std::list<std::string> lru_chats_;
    std::map<std::string, std::uint64_t> hits_by_chat_;
    std::uint64_t last_sequence_ = 0;
    std::deque<event> events_;
    std::deque<std::pair<time_point, std::pair<std::uint32_t, std::uint32_t>>>
        load_history_;
    fence highest_fence_{0, 0};
    std::string last_order_;
    counters counters_;
    bool stream_broken_ = false;
};

} // namespace hickorygap::testing

#endif
