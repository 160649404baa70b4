#ifndef HICKORYGAP_REQUEST_DISPATCH_BACKEND_TABLE_HPP
#define HICKORYGAP_REQUEST_DISPATCH_BACKEND_TABLE_HPP

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/dialect/request_dialect.hpp"
#include "request/dispatch/listed_backend.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// How a request at a backend server ended, as far as it tells about the
// server.
enum class dispatch_outcome
{
    // A complete answer other than a failure of the server.
    answered,

    // The server was full and has not run the request.
    rejected,

    // The server answered that it failed.
    server_error,

    // No complete answer: refused, reset, cut short, or bytes that are none.
    broken,

    // No answer in time.
    silent,

    // The caller left, or the router gave up for a reason of its own.
    withdrawn
};

std::string_view dispatch_outcome_name(dispatch_outcome outcome);

// Number of a server in counts of loads: the lower half of its identifier.
constexpr std::uint32_t load_number(backend_server_id id)
{
    return static_cast<std::uint32_t>(id);
}

// What requests tell about one backend server.
struct backend_load
{
    // See load_number.
    std::uint32_t backend = 0;

    // Requests that it holds.
    std::uint16_t in_flight = 0;

    // Since the last report: requests that ended, those of them that failed,
    // and heads, events or parts of answers that arrived.
    std::uint16_t outcomes = 0;
    std::uint16_t failures = 0;
    std::uint16_t progress = 0;

    friend bool operator==(const backend_load&, const backend_load&) = default;
};

// What the whole fleet's requests tell about one backend server.
struct backend_condition
{
    // See load_number.
    std::uint32_t backend = 0;

    // Requests of all routers that it holds.
    std::uint16_t in_flight = 0;

    // Share of requests that failed lately, in percent.
    std::uint16_t failure_percent = 0;

    friend bool
    operator==(const backend_condition&, const backend_condition&) = default;
};

// What this router knows of one backend server.
struct backend_record
{
    listed_backend listed;
    backend_server_id id = 0;

    // Requests of this router that it holds.
    std::uint32_t in_flight = 0;

    // Its last report, when that arrived, and in_flight at that time.
    std::optional<reported_load> report;
    time_point reported_at;
    std::uint32_t in_flight_at_report = 0;

    // Requests of other routers that it held at that time, by the leader's
    // count.
    std::uint32_t others = 0;
    std::optional<time_point> others_at;

    // Share of failures in the whole fleet, 0 to 1, by the leader's count.
    double fleet_failure_share = 0;

    // What was not reported yet of requests that ended.
    backend_load unreported;

    // Moving average of the time to the first byte of an answer, in ms; zero
    // before the first one.
    double first_byte_ms = 0;

    // Moving average of the share of requests that failed, 0 to 1, as of the
    // last outcome. See recent_failure_share.
    double failure_share = 0;
    time_point failure_share_at;

    // Failures since the last answer.
    std::uint32_t consecutive_failures = 0;

    // It gets no requests before, unless no other server can take them.
    time_point avoided_until;

    // It has said that it is leaving, perhaps before the list shows it.
    bool announced_leaving = false;

    // It has said that it wants no requests from this router before.
    time_point declines_until;

    // Something was sent to it at this time and it has made no progress with
    // any request since.
    std::optional<time_point> unanswered_since;
};

// The backend servers that the list names, with what the traffic of this
// router tells about each. Pure: all times are passed in.
class backend_table
{
public:
    // Takes a complete list: servers that it lacks are forgotten once they
    // hold no request of this router.
    void replace(std::span<const listed_backend> list);

    std::size_t size() const
    {
        return records_.size();
    }

    // nullptr for an unknown server.
    const backend_record* find(backend_server_id id) const;

    // All servers of a service, leaving ones included.
    std::vector<const backend_record*> members(std::string_view service) const;

    // Each request that is sent to a server is reported with on_sent, and
    // its end with on_end. on_progress: the server sent a head, an event, or a
    // part of an answer.
    void on_sent(backend_server_id id, time_point now);
    void on_progress(backend_server_id id, time_point now);
    void on_first_byte(backend_server_id id, duration after);
    void
    on_load(backend_server_id id, const reported_load& load, time_point now);
    void on_end(backend_server_id id, dispatch_outcome outcome, time_point now);

    // Requests of this router, by server, and what they have shown since the
    // last call; servers without any are left out. Remembered for the next
    // on_fleet_load.
    std::vector<backend_load> report_loads();

    // Requests of all routers, this one included as of its last report.
    void
    on_fleet_load(std::span<const backend_condition> fleet, time_point now);

    // A connection to the server could not be established.
    void on_unreachable(backend_server_id id, time_point now);

    // The server said that it is leaving. Holds for good: another start of it
    // has another identifier.
    void on_leaving(backend_server_id id);

    // The server wants no requests from this router before.
    void on_declined(backend_server_id id, time_point until);

    // The server's address belongs to another one by now.
    void on_replaced(backend_server_id id, time_point now);

private:
    void count_failure(backend_record& record, time_point now);
    static void
    count_outcome(backend_record& record, bool failed, time_point now);
    void drop_if_unlisted(backend_server_id id);

    absl::flat_hash_map<backend_server_id, std::unique_ptr<backend_record>>
        records_;
    absl::flat_hash_set<backend_server_id> listed_;
    absl::flat_hash_map<std::uint32_t, std::uint32_t> reported_loads_;
};

// Estimate of the requests that a server holds: those of this router and those
// of the others by the leader's count. Without a recent count, the server's own
// last report takes its place.
double estimated_load(const backend_record& record, time_point now);

// Share of failures, of this router's requests or of the fleet's, whichever is
// higher: a server may fail for some routers only. The own share counts less
// the longer ago the last outcome is, as the leader's does: a server that gets
// no requests because it failed has to get another chance.
double recent_failure_share(const backend_record& record, time_point now);

// Whether a request that gets no answer may be waiting in the server's queue:
// it holds more requests than it processes at a time, and those of others go
// on.
bool is_queueing(const backend_record& record, time_point now);

// Whether the server stays, as far as it and the list say.
bool is_staying(const backend_record& record);

// Time until the first of the servers takes requests from this router again.
// Nothing when some take them now, or when none of them stays.
std::optional<duration> time_until_accepted(
    std::span<const backend_record* const> members, time_point now);

// Time for which the server has answered nothing although it holds requests.
duration silence_of(const backend_record& record, time_point now);

} // namespace hickorygap

#endif
