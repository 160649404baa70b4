#include "support/service_handler.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <cstdio>
#include <thread>

ABSL_FLAG(std::uint16_t, port, 0, "port to listen on, 0 for any");
ABSL_FLAG(std::string, log_file, "/dev/null", "file that lists the runs");
ABSL_FLAG(std::uint32_t, delay_ms, 0, "time that a run takes");
ABSL_FLAG(std::uint32_t, slots, 8, "slots in the load report");
ABSL_FLAG(
    std::string, crash_marker, "",
    "exit after the run is written when a body contains this text");

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    hickorygap::testing::service_options options;
    options.log_file = absl::GetFlag(FLAGS_log_file);
    options.delay = std::chrono::milliseconds{absl::GetFlag(FLAGS_delay_ms)};
    options.slots = absl::GetFlag(FLAGS_slots);
    options.crash_marker = absl::GetFlag(FLAGS_crash_marker);
    constexpr int threads = 64;
    const auto server = hickorygap::testing::start_stand_in(
        absl::GetFlag(FLAGS_port), threads,
        hickorygap::testing::make_service_handler(options));
    std::printf("listening port=%d\n", static_cast<int>(server->port()));
    std::fflush(stdout);
    while (true)
    {
        std::this_thread::sleep_for(std::chrono::hours{1});
    }
}
