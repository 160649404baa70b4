#include "support/service_handler.hpp"

#include <fmt/format.h>

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <thread>

namespace hickorygap::testing
{

namespace
{

struct service_state
{
    std::mutex mutex;
    std::atomic<std::uint32_t> running{0};
    std::uint64_t runs = 0;
};

std::uint64_t append_run(
    service_state& state, const service_options& options,
    const std::string& line)
{
    const std::lock_guard lock{state.mutex};
    std::ofstream file{options.log_file, std::ios::app};
    file << line << std::endl;
    return ++state.runs;
}

} // namespace

stand_in_function make_service_handler(const service_options& options)
{
    auto state = std::make_shared<service_state>();
    return [state, options](
               Poco::Net::HTTPServerRequest& request,
               Poco::Net::HTTPServerResponse& response)
    {
        Poco::JSON::Object answer;
        if (request.getURI() == "/load")
        {
            answer.set("in_flight", state->running.load());
            answer.set("queued", 0);
            answer.set("slots", options.slots);
            answer.set("age_ms", 0);
            send_json(response, answer);
            return;
        }
        const std::string body = read_all(request);
        ++state->running;
        const std::uint64_t run = append_run(
            *state, options,
            fmt::format(
                "{} {} {}", request.getMethod(), request.getURI(), body));
        if (!options.crash_marker.empty() &&
            body.find(options.crash_marker) != std::string::npos)
        {
            std::_Exit(EXIT_FAILURE);
        }
        std::this_thread::sleep_for(options.delay);
        --state->running;
        response.set("X-Attempt", request.get("X-Attempt", ""));
        answer.set("run", run);
        send_json(response, answer);
    };
}

} // namespace hickorygap::testing
