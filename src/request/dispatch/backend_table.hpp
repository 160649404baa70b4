#ifndef HICKORYGAP_REQUEST_DISPATCH_BACKEND_TABLE_HPP
#define HICKORYGAP_REQUEST_DISPATCH_BACKEND_TABLE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/dialect/request_dialect.hpp"
#include "request/dispatch/listed_backend.hpp"
#include "request/dispatch/stream_versions.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// How a request to a backend server ended, as far as it says something about
// the server.
enum class dispatch_outcome
{
    // Complete response without a server error.
    answered,

    // The server had no capacity and has not run the request.
    rejected,

    // The server responded with an error of its own.
    server_error,

    // No complete response: connection refused or reset, response cut short or
    // malformed.
    broken,

    // No response in time.
    silent,

    // The caller disconnected, or the router gave up for reasons that have
    // nothing to do with the server.
    withdrawn
};

std::string_view dispatch_outcome_name(dispatch_outcome outcome);

// Short identifier of a server in load reports: the lower 32 bits of its
// identifier.
constexpr std::uint32_t short_backend_id(backend_server_id id)
{
    return static_cast<std::uint32_t>(id);
}

// One router's load report about one backend server.
struct backend_load
{
    // See short_backend_id.
    std::uint32_t backend = 0;

    // This router's requests in flight at the server.
    std::uint16_t in_flight = 0;

    // Since the last report: requests that ended, how many of them failed, and
    // how many response heads, stream events or body parts arrived.
    std::uint16_t outcomes = 0;
    std::uint16_t failures = 0;
    std::uint16_t progress = 0;

    friend bool operator==(const backend_load&, const backend_load&) = default;
};

// Load and failures of one backend server, summed over all routers by the
// leader.
struct fleet_backend_load
{
    // See short_backend_id.
    std::uint32_t backend = 0;

    // Requests in flight at the server from all routers.
    std::uint16_t in_flight = 0;

    // Share of recent requests that failed, in percent.
    std::uint16_t failure_percent = 0;

    friend bool
    operator==(const fleet_backend_load&, const fleet_backend_load&) = default;
};

// What this router knows about one backend server.
struct backend_record
{
    listed_backend listed;
    backend_server_id id = 0;
    software_version_id software_version = 0;

    // This router's requests in flight at the server.
    std::uint32_t in_flight = 0;

    // Last load report of the server itself, its arrival time, and in_flight at
    // that time.
    std::optional<reported_load> report;
    time_point reported_at;
    std::uint32_t in_flight_at_report = 0;

    // Requests of other routers in flight at the server, by the leader's last
    // count, and the arrival time of that count.
    std::uint32_t other_routers_in_flight = 0;
    std::optional<time_point> fleet_load_at;

    // Failure share over all routers, 0 to 1, by the leader's last count.
    double fleet_failure_share = 0;

    // Outcomes and progress since the last report_loads.
    backend_load unreported;

    // Moving average of the time to first byte, in ms; zero before the first
    // sample.
    double first_byte_ms = 0;

    // Moving average of the share of failed requests, 0 to 1, as of the last
    // outcome. See recent_failure_share.
    double failure_share = 0;
    time_point failure_share_at;

    // Failures since the last complete response.
    std::uint32_t consecutive_failures = 0;

    // Until then the server gets requests only when no other server can take
    // them.
    time_point avoided_until;

    // When a connection to the server was last refused: it may have started
    // again since.
    std::optional<time_point> unreachable_at;

    // Starts of the server under its identifier that this router has noticed.
    std::uint32_t start = 0;

    // The server announced its shutdown, possibly before the backend list shows
    // it. Holds until the server is known to have started again.
    bool announced_leaving = false;

    // It may have started again since it announced that: the list shows it as
    // in service after it did not, or the announcement came from an earlier
    // start.
    bool may_have_restarted = false;

    // The server asked this router to send no requests before this time.
    time_point declines_until;

    // Time since which requests have been in flight at the server without
    // progress on any of them.
    std::optional<time_point> unanswered_since;
};

// The backend servers of the list, with load and health as observed by this
// router. Pure: all times are passed in.
class backend_table
{
public:
    // Replaces the list. Servers that are missing from it are dropped once this
    // router has no request in flight at them.
    void replace(std::span<const listed_backend> list);

    std::size_t size() const
    {
        return records_.size();
    }

    // nullptr for an unknown server.
    const backend_record* find(backend_server_id id) const;

    // All servers of a service, leaving ones included, sorted by identifier.
    std::vector<const backend_record*> members(std::string_view service) const;

    // Identifiers of the servers in the list.
    const absl::flat_hash_set<backend_server_id>& listed() const
    {
        return listed_;
    }

    // The servers of a service, leaving ones included.
    std::vector<backend_server_id> servers_of(service_id service) const;

    // Services with requests in flight at several servers, none of which has
    // made progress for some time; each with the first few of these servers.
    std::map<service_id, std::vector<backend_server_id>>
    silent_services(time_point now) const;

    // Every request sent to a server must be reported with on_sent and its end
    // with on_end. on_progress: the server sent a response head, a stream event
    // or a part of a body.
    void on_sent(backend_server_id id, time_point now);
    void on_progress(backend_server_id id, time_point now);
    void on_first_byte(backend_server_id id, duration after);
    void
    on_load(backend_server_id id, const reported_load& load, time_point now);
    void on_end(backend_server_id id, dispatch_outcome outcome, time_point now);

    // This router's load report: requests in flight by server, and outcomes and
    // progress since the last call. Servers without any are left out. The
    // counts are kept for the next on_fleet_load, which subtracts them from the
    // totals.
    std::vector<backend_load> report_loads();

    // Takes the leader's totals over all routers, which include this router's
    // last report.
    void
    on_fleet_load(std::span<const fleet_backend_load> fleet, time_point now);

    // A connection to the server could not be established.
    void on_unreachable(backend_server_id id, time_point now);

    // Only this router's path to the server fails: its failures so far say
    // nothing about the server.
    void on_path_blocked(backend_server_id id, time_point now);

    // The server announced its shutdown, in a response to a request that was
    // sent in this start of it. That is final for the start.
    void on_leaving(backend_server_id id, std::uint32_t start);

    // The server has started again since it announced its shutdown.
    void on_restarted(backend_server_id id);

    // Servers that have announced their shutdown, but not in the list.
    std::vector<const backend_record*> announced_leaving() const;

    // The server asked for no requests from this router before `until`.
    void on_declined(backend_server_id id, time_point until);

    // Another server has taken over the server's address.
    void on_replaced(backend_server_id id, time_point now);

private:
    void count_failure(backend_record& record, time_point now);
    static void
    count_outcome(backend_record& record, bool failed, time_point now);
    static void begin_start(backend_record& record);
    void drop_if_unlisted(backend_server_id id);

    absl::flat_hash_map<backend_server_id, std::unique_ptr<backend_record>>
        records_;
    absl::flat_hash_set<backend_server_id> listed_;
    absl::flat_hash_map<std::uint32_t, std::uint32_t> reported_loads_;
};

// Estimated requests in flight at a server: this router's own plus those of the
// other routers by the leader's count. Without a recent count, the server's own
// last report is used instead.
double estimated_load(const backend_record& record, time_point now);

// Failure share of this router's requests or of the whole fleet's, whichever is
// higher, because a server may fail for some routers only. Both decay with the
// age of the last outcome: a server that gets no requests because it failed
// must be tried again.
double recent_failure_share(const backend_record& record, time_point now);

// Whether a request without a response may still be waiting in the server's
// queue: the server holds more requests than it processes at a time, and most
// recent requests to it succeed.
bool is_queueing(const backend_record& record, time_point now);

// Whether neither the list nor the server itself says that it is shutting down.
bool is_in_service(const backend_record& record);

// Time until the first of the servers accepts requests from this router again.
// nullopt when one accepts them now, or when all are leaving.
std::optional<duration> time_until_accepted(
    std::span<const backend_record* const> members, time_point now);

// Time without progress on any request that is in flight at the server.
duration time_without_progress(const backend_record& record, time_point now);

} // namespace hickorygap

#endif
