#include "support/engine_handler.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <cstdio>
#include <thread>

ABSL_FLAG(std::uint16_t, port, 0, "port to listen on, 0 for any");
ABSL_FLAG(std::uint32_t, slots, 8, "requests that run at once");
ABSL_FLAG(std::uint32_t, queue_limit, 64, "requests that wait for a slot");
ABSL_FLAG(std::uint32_t, token_us, 2000, "time per token, microseconds");
ABSL_FLAG(
    std::uint32_t, token_us_per_peer, 0,
    "time that each further running request adds per token, microseconds");
ABSL_FLAG(
    std::uint32_t, prompt_token_us, 0,
    "time per uncached prompt token, microseconds");
ABSL_FLAG(std::uint32_t, cache_chats, 16, "chats that the cache holds");
ABSL_FLAG(std::uint32_t, tokens, 8, "tokens per answer without max_tokens");
ABSL_FLAG(std::uint32_t, load_lag_ms, 0, "age of load reports");
ABSL_FLAG(std::uint32_t, event_lag_ms, 0, "delay of cache events");
ABSL_FLAG(std::uint32_t, event_gap, 0, "every n-th event is lost, 0 for none");
ABSL_FLAG(bool, resume, true, "honour X-Resume-From");
ABSL_FLAG(bool, check_fencing, true, "refuse orders with a stale number");
ABSL_FLAG(std::string, crash_marker, "", "exit when a body contains this text");
ABSL_FLAG(
    std::uint32_t, break_after, 0,
    "close the first stream after this many events, 0 for never");

int main(int argc, char** argv)
{
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    absl::ParseCommandLine(argc, argv);
    hickorygap::testing::engine_options options;
    options.slots = absl::GetFlag(FLAGS_slots);
    options.queue_limit = absl::GetFlag(FLAGS_queue_limit);
    options.token_time = microseconds{absl::GetFlag(FLAGS_token_us)};
    options.token_time_per_peer =
        microseconds{absl::GetFlag(FLAGS_token_us_per_peer)};
    options.prompt_token_time =
        microseconds{absl::GetFlag(FLAGS_prompt_token_us)};
    options.cache_chats = absl::GetFlag(FLAGS_cache_chats);
    options.tokens = absl::GetFlag(FLAGS_tokens);
    options.load_lag = milliseconds{absl::GetFlag(FLAGS_load_lag_ms)};
    options.event_lag = milliseconds{absl::GetFlag(FLAGS_event_lag_ms)};
    options.event_gap = absl::GetFlag(FLAGS_event_gap);
    options.resumes = absl::GetFlag(FLAGS_resume);
    options.checks_fencing = absl::GetFlag(FLAGS_check_fencing);
    options.crash_marker = absl::GetFlag(FLAGS_crash_marker);
    options.break_after = absl::GetFlag(FLAGS_break_after);

    hickorygap::testing::engine_model engine{options};
    // Threads for waiting requests and load reports besides the running
    // requests.
    const int threads =
        static_cast<int>(options.slots + options.queue_limit) + 8;
    const auto server = hickorygap::testing::start_stand_in(
        absl::GetFlag(FLAGS_port), threads,
        hickorygap::testing::make_engine_handler(engine));
    std::printf("listening port=%d\n", static_cast<int>(server->port()));
    std::fflush(stdout);
    while (true)
    {
        std::this_thread::sleep_for(std::chrono::hours{1});
    }
}
