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

    // Requests that may wait for a slot; further ones are refused as not run.
    std::uint32_t queue_limit = 64;

    // Time per token with one request running, and what each further request
    // in the batch adds.
    duration token_time{std::chrono::milliseconds{2}};
    duration token_time_per_peer{0};

    // Time to read a prompt that is not cached, per 4 bytes of it.
    duration prompt_token_time{0};

    // Chats whose prompts the cache holds; the longest unused one leaves.
    std::size_t cache_chats = 16;
    std::uint32_t tokens = 8;

    // Load reports show the state of this long ago.
    duration load_lag{0};

    // Events become visible after this time; every n-th event is lost, 0 for
    // none.
    duration event_lag{0};
    std::uint32_t event_gap = 0;
    bool resumes = true;
    bool checks_fencing = true;

    // The process exits when a body contains this text; empty for never.
    std::string crash_marker;

    // The connection closes after this many events, once; 0 for never.
    std::uint32_t break_after = 0;
};

// The n-th event of the answer to a body, counted from 0. Answers depend on
// the body alone, as with a fixed sampling seed, so that a repetition on
// another engine is equal.
std::string engine_token(const std::string& body, std::uint32_t index);
std::string engine_event(const std::string& body, std::uint32_t index);

// State of a stand-in engine: slots, batch, cache, events and orders. All
// functions may be called from any thread.
class engine_model
{
public:
    using fence = std::pair<std::uint64_t, std::uint64_t>;

    struct event
    {
        std::uint64_t sequence = 0;
        time_point visible;
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

    // Waits for a slot in rank order, lower numbers first. False when the
    // queue is full.
    bool acquire_slot(std::uint32_t rank);
    void release_slot();

    // Looks the chat up in the cache and stores it; true on a hit.
    bool use_cache(const std::string& chat);

    duration current_token_time();
    bool take_break();
    void count_cancelled();

    // Running and queued requests as the lagged report shows them.
    std::pair<std::uint32_t, std::uint32_t> reported_load();
    std::vector<event> events_after(std::uint64_t sequence);
    std::uint64_t last_event();

    // Takes an order; false when its fencing number is stale and checked.
    bool take_order(fence number, const std::string& text);
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
    std::uint64_t tickets_ = 0;
    std::set<std::pair<std::uint32_t, std::uint64_t>> waiting_;
    std::list<std::string> cached_;
    std::map<std::string, std::uint64_t> hits_;
    std::uint64_t last_sequence_ = 0;
    std::deque<event> events_;
    std::deque<std::pair<time_point, std::pair<std::uint32_t, std::uint32_t>>>
        load_history_;
    fence highest_fence_{0, 0};
    std::string last_order_;
    counters counters_;
    bool broke_ = false;
};

} // namespace hickorygap::testing

#endif
