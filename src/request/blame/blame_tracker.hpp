#ifndef HICKORYGAP_REQUEST_BLAME_BLAME_TRACKER_HPP
#define HICKORYGAP_REQUEST_BLAME_BLAME_TRACKER_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickorygap
{

struct blame_options
{
    // Number of crashes after which a fingerprint is quarantined.
    std::size_t crash_limit = 2;

    // The same when some of the crashes came after a part of the response: a
    // long stream may be running on two servers that crash for other reasons.
    std::size_t midway_crash_limit = 3;
    std::chrono::milliseconds quarantine_time{std::chrono::minutes{10}};

    // How long a crash counts against a request.
    std::chrono::milliseconds suspicion_time{std::chrono::minutes{10}};

    // Maximum number of suspects and quarantines; the oldest suspects are
    // evicted first, and quarantines only when no suspects are left.
    std::size_t capacity = 4096;

    // Maximum number of completed fingerprints, see on_completed.
    std::size_t completed_capacity = 4096;
};

// Hash of the parts that identify the content of a request, such as its model
// and body.
request_fingerprint
fingerprint_of(std::initializer_list<std::string_view> parts);

// One crash of a backend server with the fingerprint in flight, as exchanged
// between instances.
struct suspect_notice
{
    request_fingerprint fingerprint = 0;
    backend_server_id backend_server = 0;
    unix_millis crashed = 0;

    // The request ran in isolation, so that no other one can be the cause.
    bool confirmed = false;

    // A part of the response had arrived.
    bool midway = false;
};

struct quarantine
{
    request_fingerprint fingerprint = 0;
    unix_millis until = 0;
};

// Finds the requests that crash backend servers. Every request in flight on a
// crashed backend server becomes a suspect. A suspect runs next in isolation,
// and is cleared if it completes. A fingerprint with a second crash is
// quarantined: after a crash in isolation, or because it was in flight in both
// crashes. This also holds when several fingerprints were in flight in both,
// because a third crash must be prevented.
//
// Callers that can't run suspects in isolation use on_crash and on_completed
// instead of the functions for single attempts: a fingerprint that completes is
// no longer a suspect, and requests that were merely in flight on the same
// server complete elsewhere.
//
// Pure. Times may come from any clock, but always the same one; instances that
// exchange them use Unix time.
class blame_tracker
{
public:
    explicit blame_tracker(blame_options options = {});

    // Call before an attempt is sent to a backend server. False when it must
    // not be sent: the fingerprint is quarantined, or it is a suspect that is
    // not isolated or is already running in isolation; two concurrent attempts
    // could crash two servers. Placement may have decided on outdated
    // information.
    bool on_sent(
        backend_server_id backend_server, request_fingerprint fingerprint,
        bool isolated, unix_millis now);

    // The attempt ended without a crash. `completed` clears a suspect that ran
    // in isolation.
    void on_ended(
        backend_server_id backend_server, request_fingerprint fingerprint,
        bool isolated, bool completed);

    // The backend server crashed: its connections were reset or refused and its
    // health check fails. `running` is the attempt that detected it. Counts
    // once for each fingerprint and crash.
    void on_backend_server_died(
        backend_server_id backend_server, request_fingerprint running,
        bool isolated, unix_millis now);

    // The backend server crashed with this request in flight. Has no effect for
    // a fingerprint that has completed since its last crash.
    void on_crash(const suspect_notice& notice, unix_millis now);

    // A request with the fingerprint got a complete response.
    void on_completed(request_fingerprint fingerprint);

    bool is_quarantined(request_fingerprint fingerprint, unix_millis now) const;
    unix_millis quarantined_until(request_fingerprint fingerprint) const;
    bool must_isolate(request_fingerprint fingerprint, unix_millis now) const;

    // Crashes seen by this instance since the last call, to be sent to the
    // other instances.
    std::vector<suspect_notice> take_suspect_reports();

    // All crashes seen by this instance that still count, for an instance that
    // knows none of them.
    std::vector<suspect_notice> suspects(unix_millis now) const;

    // Crashes of fingerprints that have several crashes and are not
    // quarantined, seen by any instance.
    std::vector<suspect_notice> repeated_crashes(unix_millis now) const;

    // Number of crashes that are known of the fingerprint.
    std::size_t crashes(request_fingerprint fingerprint) const;

    // Adds what another instance has seen. Idempotent. True when the crash was
    // not known.
    bool merge(const suspect_notice& notice, unix_millis now);
    void merge(const quarantine& entry, unix_millis now);

    // Quarantines in force, the one that ends last first.
    std::vector<quarantine> quarantines(unix_millis now) const;

    // Number of suspects and quarantines.
    std::size_t size() const
    {
        return records_.size();
    }

private:
    struct crash
    {
        backend_server_id backend_server = 0;
        unix_millis time = 0;
        bool seen_locally = false;
        bool midway = false;
    };

    struct record
    {
        std::vector<crash> crashes;
        unix_millis until = 0;
        bool running_isolated = false;
    };

    void report_crash(const suspect_notice& notice, unix_millis now);
    bool
    add_crash(const suspect_notice& notice, bool seen_locally, unix_millis now);
    bool has_reached_limit(const record& known) const;
    void append_crashes(
        request_fingerprint fingerprint, const record& known, bool seen_locally,
        unix_millis now, std::vector<suspect_notice>& output) const;
    record& find_or_add(request_fingerprint fingerprint, unix_millis now);
    void evict_oldest(unix_millis now);
    bool is_suspect(const record& known, unix_millis now) const;
    static unix_millis last_change(const record& known);

    blame_options options_;
    std::unordered_map<request_fingerprint, record> records_;
    std::unordered_map<
        backend_server_id, std::unordered_map<request_fingerprint, std::size_t>>
        in_flight_;
    std::vector<suspect_notice> reports_;

    // Fingerprints that have completed since their last crash, with the number
    // of that completion; and their order, the latest last. An entry of the
    // order is stale when its number is not that of its fingerprint in the map.
    std::unordered_map<request_fingerprint, std::uint64_t> completed_;
    std::deque<std::pair<std::uint64_t, request_fingerprint>> completed_order_;
    std::uint64_t completions_ = 0;
};

} // namespace hickorygap

#endif
