#ifndef HICKORYGAP_BENCH_PLACEMENT_TRACE_HPP
#define HICKORYGAP_BENCH_PLACEMENT_TRACE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <cstdint>
#include <vector>

namespace hickorygap::bench
{

// One caller request of a generated load, which is the same for all policies.
struct trace_request
{
    time_point arrival;
    request_id request = 0;
    chat_id chat = 0;
    organisation_id organisation = 1;
    rank request_rank = rank::normal;

    // prompt_tokens includes context_tokens, the context from the earlier turns
    // of the chat.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t context_tokens = 0;
    std::uint32_t answer_tokens = 0;
};

// Source of chats of one organisation and rank.
struct trace_source
{
    organisation_id organisation = 1;
    rank request_rank = rank::normal;
    double requests_per_second = 1.0;
    duration from{0};
    duration until{0};
};

// Generates chats with Poisson arrivals. A chat has 6 turns on average, with
// pauses of 15 s on average; each turn adds its prompt and answer to the
// context.
std::vector<trace_request>
make_trace(const std::vector<trace_source>& sources, std::uint64_t seed);

} // namespace hickorygap::bench

#endif
