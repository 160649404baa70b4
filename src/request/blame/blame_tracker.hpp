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
    // Crashes after which a fingerprint is quarantined.
    std::size_t crash_limit = 2;

    // The same when some of them came midway through its answer: a long stream
    // may be at two servers that end for other reasons.
    std::size_t midway_crash_limit = 3;
    std::chrono::milliseconds quarantine{std::chrono::minutes{10}};

    // Time after which a single crash no longer counts against a request.
    std::chrono::milliseconds suspicion{std::chrono::minutes{10}};

    // Fingerprints remembered; the oldest suspects are forgotten first, and
    // quarantines only when nothing else is left.
    std::size_t capacity = 4096;

    // Fingerprints remembered because they completed, see on_completed.
    std::size_t completed_capacity = 4096;
};

// Digest of what identifies a request's content, such as its model and body.
request_fingerprint
fingerprint_of(std::initializer_list<std::string_view> parts);

// One crash with the fingerprint in flight, as instances tell each other.
struct suspect_notice
{
    request_fingerprint fingerprint = 0;
    backend_server_id backend_server = 0;
    unix_millis crashed = 0;

    // The request ran isolated, so that it alone can be the cause.
    bool confirmed = false;

    // Part of its answer had arrived.
    bool midway = false;
};

struct quarantine
{
    request_fingerprint fingerprint = 0;
    unix_millis until = 0;
};

// Finds the requests that crash backend servers. Every request in flight on a
// crashed backend server becomes a suspect. A suspect runs next in isolation,
// which clears it when it completes. A fingerprint with a second crash is
// quarantined: whether by isolation or as the one common to two crashes, and
// also when two crashes leave several candidates, because a third crash must
// not happen.
//
// Callers that can't run suspects in isolation use on_crash and on_completed
// instead of the calls for single attempts: what completes is no suspect, and
// requests that were only nearby complete elsewhere. Pure. Times are of any
// clock that the caller uses throughout; instances that exchange them use Unix
// time.
class blame_tracker
{
public:
    explicit blame_tracker(blame_options options = {});

    // An attempt goes to a backend server. False when it must not: the
    // fingerprint is quarantined, or a suspect that is not isolated or is
    // already being run in isolation; sending it twice at once could crash
    // two more. What placement was asked may be outdated by then.
    bool on_sent(
        backend_server_id backend_server, request_fingerprint fingerprint,
        bool isolated, unix_millis now);

    // The attempt ended without a crash; `completed` clears a suspect that
    // ran in isolation.
    void on_ended(
        backend_server_id backend_server, request_fingerprint fingerprint,
        bool isolated, bool completed);

    // The backend server died: its connections were reset or refused and its
    // health check fails. `running` is the attempt that noticed. Counts once
    // for each fingerprint and crash.
    void on_backend_server_died(
        backend_server_id backend_server, request_fingerprint running,
        bool isolated, unix_millis now);

    // The backend server died with this request in flight. Does nothing for a
    // fingerprint that has completed since its last crash.
    void on_crash(const suspect_notice& notice, unix_millis now);

    // A request with the fingerprint got its whole answer.
    void on_completed(request_fingerprint fingerprint);

    bool is_quarantined(request_fingerprint fingerprint, unix_millis now) const;
    unix_millis quarantined_until(request_fingerprint fingerprint) const;
    bool must_isolate(request_fingerprint fingerprint, unix_millis now) const;

    // Crashes seen here since the last call, for the other instances.
    std::vector<suspect_notice> take_suspect_reports();

    // All crashes seen here that still count, for an instance that knows
    // nothing of them.
    std::vector<suspect_notice> suspects(unix_millis now) const;

    // Crashes of fingerprints that several count against, wherever they were
    // seen, quarantined ones aside.
    std::vector<suspect_notice> repeated_crashes(unix_millis now) const;

    // Takes over what another instance has seen; repeats change nothing.
    void merge(const suspect_notice& notice, unix_millis now);
    void merge(const quarantine& entry, unix_millis now);

    // Quarantines in force, the newest first.
    std::vector<quarantine> quarantines(unix_millis now) const;

    // Fingerprints remembered.
    std::size_t size() const
    {
        return records_.size();
    }

private:
    struct crash
    {
        backend_server_id backend_server = 0;
        unix_millis time = 0;
        bool seen_here = false;
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
    add_crash(const suspect_notice& notice, bool seen_here, unix_millis now);
    bool is_over_limit(const record& known) const;
    void append_crashes(
        request_fingerprint fingerprint, const record& known, bool seen_here,
        unix_millis now, std::vector<suspect_notice>& output) const;
    record& remember(request_fingerprint fingerprint, unix_millis now);
    void forget_oldest(unix_millis now);
    bool is_suspect(const record& known, unix_millis now) const;
    static unix_millis last_change(const record& known);

    blame_options options_;
    std::unordered_map<request_fingerprint, record> records_;
    std::unordered_map<
        backend_server_id, std::unordered_map<request_fingerprint, std::size_t>>
        in_flight_;
    std::vector<suspect_notice> reports_;

    // Fingerprints that have completed since their last crash, with the number
    // of that completion, and their order, the latest last. An entry of the
    // order is outdated when its number is not that of its fingerprint.
    std::unordered_map<request_fingerprint, std::uint64_t> completed_;
    std::deque<std::pair<std::uint64_t, request_fingerprint>> completed_order_;
    std::uint64_t completions_ = 0;
};

} // namespace hickorygap

#endif
