#include "trace.hpp"

#include "common/random.hpp"

#include <algorithm>
#include <cmath>

namespace hickorygap::bench
{

namespace
{

constexpr double mean_turns = 6.0;
constexpr double mean_pause_seconds = 15.0;
constexpr std::uint32_t first_turn_prompt_tokens = 800;
constexpr std::uint32_t later_turn_prompt_tokens = 100;
constexpr std::uint32_t mean_answer_tokens = 100;

double uniform(random_engine& random)
{
    return (static_cast<double>(random() >> 11U) + 0.5) / 9007199254740992.0;
}

double exponential(random_engine& random, double mean)
{
    return -mean * std::log(uniform(random));
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

void add_chat(
    std::vector<trace_request>& trace, const trace_source& source,
    time_point start, random_engine& random)
{
    const chat_id chat = random() | 1U;
    std::uint32_t context = 0;
    time_point arrival = start;
    do
    {
        trace_request request;
        request.arrival = arrival;
        request.request = random() | 1U;
        request.chat = chat;
        request.organisation = source.organisation;
        request.request_rank = source.request_rank;
        request.context_tokens = context;
        request.prompt_tokens =
            context + (context == 0 ? first_turn_prompt_tokens
                                    : later_turn_prompt_tokens);
        request.answer_tokens = 20 + static_cast<std::uint32_t>(exponential(
                                         random, mean_answer_tokens - 20));
        context = request.prompt_tokens + request.answer_tokens;
        trace.push_back(request);
        arrival =
            arrival +
            from_seconds(4.0 + exponential(random, mean_pause_seconds - 4.0));
    } while (uniform(random) > 1.0 / mean_turns &&
             arrival.since_start < source.until);
}

} // namespace

std::vector<trace_request>
make_trace(const std::vector<trace_source>& sources, std::uint64_t seed)
{
    std::vector<trace_request> trace;
    random_engine random{seed};
    for (const trace_source& source : sources)
    {
        // Chats that began before the start are amid their turns then, so that
        // the load is steady from the beginning.
        time_point arrival{
            source.from - from_seconds(mean_turns * mean_pause_seconds)};
        const double chats_per_second = source.requests_per_second / mean_turns;
        while (arrival.since_start < source.until)
        {
            std::vector<trace_request> turns;
            add_chat(turns, source, arrival, random);
            for (const trace_request& turn : turns)
            {
                if (turn.arrival.since_start >= source.from)
                {
                    trace.push_back(turn);
                }
            }
            arrival = arrival +
                      from_seconds(exponential(random, 1 / chats_per_second));
        }
    }
    std::sort(
        trace.begin(), trace.end(),
        [](const trace_request& left, const trace_request& right)
        { return left.arrival < right.arrival; });
    return trace;
}

} // namespace hickorygap::bench
