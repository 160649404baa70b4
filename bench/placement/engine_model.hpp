#ifndef HICKORYGAP_BENCH_PLACEMENT_ENGINE_MODEL_HPP
#define HICKORYGAP_BENCH_PLACEMENT_ENGINE_MODEL_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/placement/placement_policy.hpp"
#include "request/scheduling/request_key.hpp"
#include "trace.hpp"

#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace hickorygap::bench
{

// A request that is queued or running in an engine.
struct engine_job
{
    request_key key;
    chat_id chat = 0;
    rank request_rank = rank::normal;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t context_tokens = 0;
    std::uint32_t answer_tokens = 0;

    // Set when the job gets a slot.
    std::uint32_t reused_tokens = 0;
    time_point started;
    time_point first_byte;
    time_point end;
};

// Simulated inference engine: continuous batching with a fixed number of slots,
// a priority queue by rank, and an LRU prefix cache of whole chats.
class engine_model
{
public:
    engine_model(std::uint32_t slots, std::uint32_t cache_tokens);

    void add(const engine_job& job, time_point now);

    // Removes and returns the jobs that have ended by now.
    std::vector<engine_job> advance(time_point now);

    // Crashes the engine: empties the cache, and removes and returns all jobs.
    std::vector<engine_job> fail();

    std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(running_.size());
    }
    std::uint32_t waiting() const
    {
        return static_cast<std::uint32_t>(waiting_.size());
    }
    std::uint32_t cached_tokens(chat_id chat) const;

    // Returns the chats evicted since the last call.
    std::vector<chat_id> take_evicted();

    std::uint64_t start_number() const
    {
        return start_number_;
    }

private:
    struct cached_chat
    {
        chat_id chat = 0;
        std::uint32_t tokens = 0;
    };

    void start_waiting(time_point now);
    void store_in_cache(chat_id chat, std::uint32_t tokens);

    std::uint32_t slots_;
    std::uint32_t cache_tokens_;
    std::uint32_t used_cache_tokens_ = 0;
    std::uint64_t start_number_ = 1;
    std::vector<engine_job> running_;
    std::deque<engine_job> waiting_;
    std::list<cached_chat> lru_order_;
    std::unordered_map<chat_id, std::list<cached_chat>::iterator> cached_;
    std::vector<chat_id> evicted_;
};

} // namespace hickorygap::bench

#endif
