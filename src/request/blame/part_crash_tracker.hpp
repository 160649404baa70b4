#ifndef HICKORYGAP_REQUEST_BLAME_PART_CRASH_TRACKER_HPP
#define HICKORYGAP_REQUEST_BLAME_PART_CRASH_TRACKER_HPP

#include "common/ids.hpp"
#include "common/time.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace hickorygap
{

struct part_crash_options
{
    // Number of crashes, one after the other, after which a part is
    // quarantined.
    std::size_t crash_limit = 3;

    // The same for a part that was answered before: other parts of its requests
    // are more likely to be the cause.
    std::size_t answered_crash_limit = 6;

    // How long a crash counts against a part, and how long a quarantine lasts
    // after the last crash.
    std::chrono::milliseconds quarantine_time{std::chrono::minutes{10}};

    // Time from the last crash at the crash limit to the first trial. Each
    // further crash multiplies it by trial_backoff.
    std::chrono::milliseconds trial_delay{std::chrono::seconds{15}};
    unsigned trial_backoff = 4;

    // How long a permitted trial may wait for a request, and the minimum time
    // between two permits.
    std::chrono::milliseconds trial_time{std::chrono::seconds{5}};

    // Maximum number of crashes that are remembered.
    std::size_t capacity = 256;

    // Maximum number of parts in one crash, the first ones of the prompt.
    std::size_t parts_per_crash = 32;

    // Maximum number of parts whose last answer is remembered.
    std::size_t answered_capacity = 8192;
};

// A request that waited for the start of its answer, or had just begun to
// receive it, when its backend server crashed.
struct part_crash
{
    request_fingerprint fingerprint = 0;
    backend_server_id backend_server = 0;
    unix_millis sent = 0;
    unix_millis crashed = 0;

    // Parts of the prompt that other requests can have and that have not been
    // answered since.
    std::vector<prompt_part_id> parts;

    friend bool operator==(const part_crash&, const part_crash&) = default;
};

// Proof that a part does not crash servers.
struct answered_part
{
    prompt_part_id part = 0;

    // Start of an answer that the server survived.
    unix_millis began = 0;
};

// Finds the parts of prompts that crash backend servers, whatever else the
// requests contain, and tells which requests must not be sent.
//
// A crash counts against all parts of the requests in it, until a request with
// the part gets an answer that began after the crash. A part is quarantined
// when it has been in several crashes in a row, in different requests. Crashes
// are in a row when the later request was sent after the earlier crash; servers
// that fail together, such as those of one rack, count as one crash.
//
// Parts that only accompany the crashing one are in the same crashes. Those
// that were answered before need more crashes to be quarantined, and crashes
// with a quarantined part that was never answered do not count against them.
// Besides, a request is refused only if it has all parts that the crashed
// requests with the quarantined part have in common; the others are let
// through, and their answers clear the companions. A quarantined part is tried
// again with a single request after some time, with exponential backoff, since
// without any requests it could not be cleared.
//
// Pure. Times may come from any clock, but always the same one.
class part_crash_tracker
{
public:
    explicit part_crash_tracker(part_crash_options options = {});

    // Idempotent. Returns true if it changed what is known.
    bool add(const part_crash& crash, unix_millis now);

    // Returns true if a crash counted against the part until now.
    bool add(const answered_part& answer);

    // End of the quarantine that applies to a request with these parts; nullopt
    // when it may be sent. Uses up a trial that permits the request.
    std::optional<unix_millis>
    check_request(std::span<const prompt_part_id> parts, unix_millis now);

    // Permits one request with the part.
    void permit_trial(prompt_part_id part, unix_millis now);

    // Quarantined parts whose trial is due. Each is returned once per
    // trial_time.
    std::vector<prompt_part_id> take_due_trials(unix_millis now);

    // All crashes that count.
    std::span<const part_crash> crashes() const
    {
        return crashes_;
    }

    // The crashes that justify the quarantine of the part, in short: one
    // request of each server's crash, and only the latest crashes.
    std::vector<part_crash> proof_against(prompt_part_id part) const;

    // Last known answers to requests with these parts.
    std::vector<answered_part>
    answers_to(std::span<const prompt_part_id> parts) const;

    bool is_quarantined(prompt_part_id part) const
    {
        return quarantined_.contains(part);
    }
    const std::unordered_set<prompt_part_id>& quarantined() const
    {
        return quarantined_;
    }

private:
    // What the crashes tell about one part.
    struct evidence
    {
        std::vector<const part_crash*> crashes;
        std::size_t crashes_in_row = 0;
        unix_millis last = 0;
        bool in_different_requests = false;
    };

    evidence evidence_against(prompt_part_id part) const;
    bool
    is_explained_without(const part_crash& crash, prompt_part_id part) const;
    bool was_answered(prompt_part_id part) const
    {
        return answered_at(part).has_value();
    }
    std::size_t limit_for(prompt_part_id part) const;
    std::vector<prompt_part_id>
    rivals_of(prompt_part_id part, const part_crash& crash) const;
    static std::size_t count_in_row(std::vector<const part_crash*>& crashes);
    bool applies_to(
        prompt_part_id part, const evidence& known,
        std::span<const prompt_part_id> request) const;
    unix_millis end_of_quarantine(const evidence& known) const;
    std::optional<unix_millis> answered_at(prompt_part_id part) const;
    void remember_answer(const answered_part& answer);
    void make_room(unix_millis now);
    void update_quarantine(prompt_part_id part);
    void update_quarantines(std::vector<prompt_part_id> parts);

    part_crash_options options_;
    std::vector<part_crash> crashes_;
    std::unordered_set<prompt_part_id> quarantined_;

    // End of the time in which one request with the part is permitted.
    std::unordered_map<prompt_part_id, unix_millis> trials_;

    // When the trial of a part was last returned by take_due_trials.
    std::unordered_map<prompt_part_id, unix_millis> trials_taken_;

    // Last answers, in two generations: when the newer one is full it replaces
    // the older one.
    std::unordered_map<prompt_part_id, unix_millis> answered_;
    std::unordered_map<prompt_part_id, unix_millis> answered_before_;
};

} // namespace hickorygap

#endif
