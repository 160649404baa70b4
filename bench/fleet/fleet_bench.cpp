// Starts a fleet of real processes on loopback. Depending on the mode, measures
// the latency added by the router, the time until tickets are accepted and in
// force, control traffic and resource usage, or a restart of all instances. No
// result fails the run.
// Usage: fleet_bench --mode=overhead|tickets|idle|restart [flags]

#include "fleet_operator.hpp"
#include "process_usage.hpp"
#include "scenarios/runner/fleet.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <iterator>
#include <map>
#include <stdexcept>
#include <thread>

ABSL_FLAG(std::string, mode, "", "overhead, tickets, idle or restart");
ABSL_FLAG(std::string, build, "build", "folder of the build");
ABSL_FLAG(std::uint32_t, instances, 8, "instances, of which 3 are voters");
ABSL_FLAG(
    std::uint32_t, tickets, 0,
    "tickets, 0 for 100 in mode tickets and 500 in mode restart");
ABSL_FLAG(std::uint32_t, clients, 4, "client threads of mode overhead");
ABSL_FLAG(std::uint32_t, requests, 2000, "requests of each client thread");
ABSL_FLAG(std::uint32_t, token_us, 100, "the engine's time per token");
ABSL_FLAG(std::uint32_t, tokens, 4, "tokens of an answer");
ABSL_FLAG(std::uint32_t, window_s, 20, "length of a window of mode idle");
ABSL_FLAG(std::uint32_t, settle_s, 10, "rest before a window of mode idle");

using namespace hickorygap::bench;
using namespace hickorygap::testing;

namespace
{

using steady = std::chrono::steady_clock;

double milliseconds_since(steady::time_point start)
{
    return std::chrono::duration<double, std::milli>(steady::now() - start)
        .count();
}

// Quantile of the samples; the fraction is 0 to 1, as 0.99 for p99.
double quantile(std::vector<double> samples, double fraction)
{
    if (samples.empty())
    {
        throw std::runtime_error{"can't take a quantile of 0 samples"};
    }
    std::ranges::sort(samples);
    const double last = static_cast<double>(samples.size() - 1);
    return samples[static_cast<std::size_t>(std::lround(fraction * last))];
}

void print_times(std::string_view name, const std::vector<double>& samples)
{
    fmt::print(
        "{:<36} {:>6} {:>9.2f} {:>9.2f} {:>9.2f}\n", name, samples.size(),
        quantile(samples, 0.5), quantile(samples, 0.99),
        quantile(samples, 1.0));
}

void print_times_header()
{
    fmt::print(
        "{:<36} {:>6} {:>9} {:>9} {:>9}\n", "milliseconds", "count", "median",
        "p99", "max");
}

// Starts an engine and all instances, files ticket 1, and waits until it is in
// force.
void start_all(fleet& all)
{
    all.start(
        "e1", {{"token_us", std::to_string(absl::GetFlag(FLAGS_token_us))},
               {"tokens", std::to_string(absl::GetFlag(FLAGS_tokens))}});
    for (const std::string& name : all.instances())
    {
        all.start(name, {});
    }
    file_ticket(all, 1);
    wait_until_ready(all);
    wait_until_in_force(all, 1);
}

// HTTP client with one persistent connection.
class chat_client
{
public:
    explicit chat_client(std::uint16_t port)
        : session_{"127.0.0.1", port}
    {
        session_.setKeepAlive(true);
    }

    // Sends one chat request. Returns the milliseconds until its whole response
    // was read.
    double send(const std::string& chat)
    {
        const std::string body =
            R"({"model": "report-7b", "messages":)"
            R"( [{"role": "user", "content": "wet wall, flat 3"}]})";
        const auto start = steady::now();
        Poco::Net::HTTPRequest request{
            "POST", "/v1/chat/completions", Poco::Net::HTTPMessage::HTTP_1_1};
        request.set(
            "Authorization", fmt::format("Bearer {}", fleet::api_key_of_alpha));
        request.set("X-Chat-Id", chat);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session_.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string answer;
        Poco::StreamCopier::copyToString(
            session_.receiveResponse(response), answer);
        if (response.getStatus() != status_ok)
        {
            throw std::runtime_error{
                "chat request failed, expected status 200: " + answer};
        }
        return milliseconds_since(start);
    }

private:
    Poco::Net::HTTPClientSession session_;
};

struct chat_times
{
    std::vector<double> direct;
    std::vector<double> routed;
};

// Alternates direct and routed requests, so that both run under the same load.
chat_times run_client(const fleet& all, std::uint32_t number)
{
    constexpr std::uint32_t chats = 8;
    constexpr std::uint32_t warm_up = 50;
    const auto names = all.instances();
    chat_client direct{all.stand_in_port("e1")};
    chat_client routed{all.caller_port(names[number % names.size()])};
    chat_times times;
    const std::uint32_t requests = absl::GetFlag(FLAGS_requests);
    for (std::uint32_t i = 0; i < warm_up + requests; ++i)
    {
        const std::string chat = fmt::format("chat-{}-{}", number, i % chats);
        const double direct_time = direct.send(chat);
        const double routed_time = routed.send(chat);
        if (i >= warm_up)
        {
            times.direct.push_back(direct_time);
            times.routed.push_back(routed_time);
        }
    }
    return times;
}

void run_overhead(fleet& all)
{
    std::vector<chat_times> results(absl::GetFlag(FLAGS_clients));
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < results.size(); ++i)
    {
        threads.emplace_back([&, i] { results[i] = run_client(all, i); });
    }
    chat_times times;
    for (std::size_t i = 0; i < threads.size(); ++i)
    {
        threads[i].join();
        std::ranges::copy(results[i].direct, std::back_inserter(times.direct));
        std::ranges::copy(results[i].routed, std::back_inserter(times.routed));
    }
    print_times_header();
    print_times("chat, direct", times.direct);
    print_times("chat, through the fleet", times.routed);
    for (const double fraction : {0.5, 0.99})
    {
        const double direct = quantile(times.direct, fraction);
        const double routed = quantile(times.routed, fraction);
        fmt::print(
            "quantile {:.2f}: ratio {:.2f}, difference {:.2f} ms\n", fraction,
            routed / direct, routed - direct);
    }
}

std::uint64_t ticket_count(std::uint32_t fallback)
{
    const std::uint32_t given = absl::GetFlag(FLAGS_tickets);
    return given == 0 ? fallback : given;
}

void run_tickets(fleet& all)
{
    std::vector<double> accepted;
    std::vector<double> in_force;
    std::uint32_t refused = 0;
    const std::uint64_t last = 1 + ticket_count(100);
    for (std::uint64_t number = 2; number <= last; ++number)
    {
        const auto start = steady::now();
        refused += file_ticket(all, number);
        accepted.push_back(milliseconds_since(start));
        const auto accept = steady::now();
        wait_until_in_force(all, number);
        in_force.push_back(milliseconds_since(accept));
    }
    print_times_header();
    print_times("filed to accepted", accepted);
    print_times("accepted to in force everywhere", in_force);
    fmt::print("refused attempts, each repeated after 100 ms: {}\n", refused);
}

// Runs the work and prints, per figure, the mean and the maximum over
// instances.
void measure_window(
    fleet& all, std::string_view name, const std::function<void()>& work)
{
    std::map<std::string, process_usage> before;
    for (const std::string& each : all.instances())
    {
        before[each] = read_usage(all, each);
    }
    const auto start = steady::now();
    work();
    const double seconds = milliseconds_since(start) / 1000;
    std::map<std::string, std::vector<double>> columns;
    for (const std::string& each : all.instances())
    {
        const process_usage now = read_usage(all, each);
        const process_usage& earlier = before[each];
        const double sent = (now.sent_bytes - earlier.sent_bytes) / seconds;
        const double received =
            (now.received_bytes - earlier.received_bytes) / seconds;
        columns["sent, bytes/s"].push_back(sent);
        columns["received, bytes/s"].push_back(received);
        columns["sent and received, bytes/s"].push_back(sent + received);
        columns["processor, ms/s"].push_back(
            (now.processor_s - earlier.processor_s) / seconds * 1000);
        columns["resident memory, MiB"].push_back(now.resident_mib);
    }
    fmt::print("{}, {:.1f} s\n", name, seconds);
    for (const auto& [column, values] : columns)
    {
        double sum = 0;
        for (const double value : values)
        {
            sum += value;
        }
        fmt::print(
            "  {:<28} mean {:>9.1f}  highest {:>9.1f}\n", column,
            sum / static_cast<double>(values.size()), quantile(values, 1.0));
    }
}

void run_idle(fleet& all)
{
    const std::chrono::seconds window{absl::GetFlag(FLAGS_window_s)};
    const std::chrono::seconds settle{absl::GetFlag(FLAGS_settle_s)};
    std::this_thread::sleep_for(settle);
    measure_window(all, "idle", [&] { std::this_thread::sleep_for(window); });
    measure_window(
        all, "a ticket every 2 s",
        [&]
        {
            const auto end = steady::now() + window;
            std::uint64_t number = 2;
            for (auto next = steady::now(); next < end;
                 next += std::chrono::seconds{2})
            {
                std::this_thread::sleep_until(next);
                file_ticket(all, number++);
            }
            std::this_thread::sleep_until(end);
        });
}

void run_restart(fleet& all)
{
    const std::uint64_t last = 1 + ticket_count(500);
    for (std::uint64_t number = 2; number <= last; ++number)
    {
        file_ticket(all, number);
    }
    wait_until_in_force(all, last);
    for (const std::string& name : all.instances())
    {
        all.find(name)->signal(SIGKILL);
    }
    for (const std::string& name : all.instances())
    {
        constexpr double limit_seconds = 10;
        all.find(name)->wait(limit_seconds);
    }
    const auto start = steady::now();
    for (const std::string& name : all.instances())
    {
        all.launch_instance(name);
    }
    wait_until_ready(all);
    const double ready = milliseconds_since(start);
    wait_until_in_force(all, last);
    const double in_force = milliseconds_since(start);
    // A ticket needs an elected leader, which readiness doesn't.
    file_ticket(all, last + 1);
    fmt::print(
        "restart of all after {} tickets: ready after {:.0f} ms, version {} "
        "on all after {:.0f} ms, next ticket accepted after {:.0f} ms\n",
        last, ready, last, in_force, milliseconds_since(start));
}

int run(const std::string& mode)
{
    const std::map<std::string, std::function<void(fleet&)>> modes{
        {"overhead", run_overhead},
        {"tickets", run_tickets},
        {"idle", run_idle},
        {"restart", run_restart}};
    if (!modes.contains(mode))
    {
        fmt::print(stderr, "use --mode=overhead|tickets|idle|restart\n");
        return 2;
    }
    fleet_options options;
    options.instances = absl::GetFlag(FLAGS_instances);
    options.build_folder = absl::GetFlag(FLAGS_build);
    options.work_folder = std::filesystem::temp_directory_path() /
                          fmt::format("hickorygap-fleet-bench-{}", ::getpid());
    {
        fleet all{options};
        start_all(all);
        fmt::print("mode {}, {} instances\n", mode, options.instances);
        modes.at(mode)(all);
    }
    std::filesystem::remove_all(options.work_folder);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return run(absl::GetFlag(FLAGS_mode));
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "fleet_bench: {}\n", error.what());
        return 1;
    }
}
