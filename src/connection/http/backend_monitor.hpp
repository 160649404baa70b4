#ifndef HICKORYGAP_CONNECTION_HTTP_BACKEND_MONITOR_HPP
#define HICKORYGAP_CONNECTION_HTTP_BACKEND_MONITOR_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace hickorygap
{

// A backend server to poll.
struct monitored_server
{
    backend_server_id id = 0;
    std::string host;
    std::uint16_t port = 0;

    // Whether it reports cache events.
    bool is_engine = true;
};

// What a backend server said about its load, some time ago.
struct polled_load
{
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;

    // Age of the figures when they were sent.
    duration age{0};
};

// A prompt prefix came into or left a backend server's cache.
struct polled_event
{
    std::uint64_t sequence = 0;
    chat_id chat = 0;
    bool stored = false;
};

// Result of polling one backend server once.
struct monitor_result
{
    backend_server_id backend_server = 0;

    // Answers its load report in time.
    bool healthy = false;
    std::optional<polled_load> load;
    std::vector<polled_event> events;

    // Events before the first of `events` were lost; what is known about the
    // server's cache may be wrong.
    bool events_missing = false;
};

struct backend_monitor_options
{
    duration interval{std::chrono::seconds{1}};
    duration timeout{std::chrono::milliseconds{500}};

    // Most bytes of one answer that are read.
    std::size_t answer_limit = std::size_t{64} << 10U;
};

// Polls the load, the cache events and with them the health of a set of
// backend servers on a thread of its own. The load report serves as the
// health check, which saves a probe.
class backend_monitor
{
public:
    using callback = std::function<void(const monitor_result&)>;

    // The callback runs on the monitor's thread.
    backend_monitor(callback on_result, backend_monitor_options options = {});
    ~backend_monitor();
    backend_monitor(const backend_monitor&) = delete;
    backend_monitor& operator=(const backend_monitor&) = delete;

    // Replaces the set; servers that stay keep their place in the events.
    void set_servers(std::vector<monitored_server> servers);

private:
    void run();
    void poll(const monitored_server& server);
    void poll_events(const monitored_server& server, monitor_result& result);
    bool stopping();

    const callback on_result_;
    const backend_monitor_options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<monitored_server> servers_;
    bool stopping_ = false;

    // Sequence number of the last event seen; used by the thread only.
    std::map<backend_server_id, std::uint64_t> last_events_;
    std::thread thread_;
};

} // namespace hickorygap

#endif
