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

struct monitored_server
{
    backend_server_id id = 0;
    std::string host;
    std::uint16_t port = 0;

    // Whether the server has a prompt cache and reports its events.
    bool is_engine = true;
};

// Load report of a backend server.
struct polled_load
{
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;

    // Age of the figures when the server sent them.
    duration age{0};
};

// A prompt prefix was stored in or evicted from a backend server's cache.
struct polled_cache_event
{
    std::uint64_t sequence = 0;
    chat_id chat = 0;
    bool stored = false;
};

// Result of one poll of one backend server.
struct monitor_result
{
    backend_server_id backend_server = 0;

    // Whether a readable load report arrived before the timeout.
    bool healthy = false;
    std::optional<polled_load> load;
    std::vector<polled_cache_event> events;

    // Events before or between `events` were missed, so the known contents of
    // the server's cache may be out of date.
    bool events_missing = false;
};

struct backend_monitor_options
{
    duration interval{std::chrono::seconds{1}};
    duration timeout{std::chrono::milliseconds{500}};

    // A longer response body counts as a failed poll.
    std::size_t response_limit_bytes = std::size_t{64} << 10U;
};

// Polls load reports and cache events of a set of backend servers on its own
// thread. The load report doubles as the health check, which saves a separate
// probe.
class backend_monitor
{
public:
    using callback = std::function<void(const monitor_result&)>;

    // The callback runs on the monitor's thread.
    backend_monitor(callback on_result, backend_monitor_options options = {});
    ~backend_monitor();
    backend_monitor(const backend_monitor&) = delete;
    backend_monitor& operator=(const backend_monitor&) = delete;

    // Replaces the set of servers. Servers in both sets keep their position in
    // the event sequence.
    void set_servers(std::vector<monitored_server> servers);

private:
    void run();
    void poll(const monitored_server& server);
    void poll_events(const monitored_server& server, monitor_result& result);
    bool stopping();

    const callback on_result_;
    const backend_monitor_options options_;
    std::mutex mutex_;
    std::condition_variable wakeup_;
    std::vector<monitored_server> servers_;
    bool stopping_ = false;

    // Sequence number of the last event received; accessed only by the
    // monitor's thread.
    std::map<backend_server_id, std::uint64_t> last_events_;
    std::thread thread_;
};

} // namespace hickorygap

#endif
