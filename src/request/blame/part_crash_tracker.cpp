#include "request/blame/part_crash_tracker.hpp"

#include "request/blame/crash_time.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorygap
{

namespace
{

// Limit of the crashes by which a quarantine is explained to other instances.
// Twice the crash limit leaves room for crashes that are not in a row.
constexpr std::ptrdiff_t max_proof_crashes = 6;

bool is_same_server_crash(const part_crash& left, const part_crash& right)
{
    const auto [first, last] = std::minmax(left.crashed, right.crashed);
    return left.backend_server == right.backend_server &&
           last - first < same_crash_window_ms;
}

bool contains(std::span<const prompt_part_id> parts, prompt_part_id part)
{
    return std::ranges::find(parts, part) != parts.end();
}

bool contains_all(
    std::span<const prompt_part_id> parts,
    std::span<const prompt_part_id> required)
{
    return std::ranges::all_of(
        required, [&](prompt_part_id part) { return contains(parts, part); });
}

} // namespace

part_crash_tracker::part_crash_tracker(part_crash_options options)
    : options_(options)
{
}

bool part_crash_tracker::add(const part_crash& crash, unix_millis now)
{
    part_crash added = crash;
    if (added.parts.size() > options_.parts_per_crash)
    {
        added.parts.resize(options_.parts_per_crash);
    }
    std::erase_if(
        added.parts, [&](prompt_part_id part)
        { return answered_at(part).value_or(0) > added.crashed; });
    const auto same = std::ranges::find_if(
        crashes_,
        [&](const part_crash& known)
        {
            return known.fingerprint == added.fingerprint &&
                   is_same_server_crash(known, added);
        });
    if (same != crashes_.end())
    {
        // The other instance may know of more answers.
        std::vector<prompt_part_id> cleared;
        std::ranges::copy_if(
            same->parts, std::back_inserter(cleared),
            [&](prompt_part_id part) { return !contains(added.parts, part); });
        std::erase_if(
            same->parts,
            [&](prompt_part_id part) { return contains(cleared, part); });
        if (same->parts.empty())
        {
            crashes_.erase(same);
        }
        update_quarantines(cleared);
        return !cleared.empty();
    }
    if (added.parts.empty() ||
        added.crashed + to_unix_millis(options_.quarantine_time) <= now)
    {
        return false;
    }
    make_room(now);
    const std::vector<prompt_part_id> changed = added.parts;
    crashes_.push_back(std::move(added));
    update_quarantines(changed);
    return true;
}

bool part_crash_tracker::add(const answered_part& answer)
{
    remember_answer(answer);
    bool is_cleared = false;
    for (part_crash& crash : crashes_)
    {
        is_cleared = (crash.crashed < answer.began &&
                      std::erase(crash.parts, answer.part) > 0) ||
                     is_cleared;
    }
    if (is_cleared)
    {
        std::erase_if(
            crashes_,
            [](const part_crash& crash) { return crash.parts.empty(); });
    }
    if (is_cleared || is_quarantined(answer.part))
    {
        update_quarantine(answer.part);
    }
    return is_cleared;
}

std::optional<unix_millis> part_crash_tracker::check_request(
    std::span<const prompt_part_id> parts, unix_millis now)
{
    std::optional<unix_millis> until;
    std::vector<prompt_part_id> trials;
    for (const prompt_part_id part : parts)
    {
        if (!is_quarantined(part))
        {
            continue;
        }
        const evidence known = evidence_against(part);
        if (known.crashes.empty() || end_of_quarantine(known) <= now ||
            !applies_to(part, known, parts))
        {
            continue;
        }
        const auto trial = trials_.find(part);
        if (trial != trials_.end() && trial->second > now)
        {
            trials.push_back(part);
            continue;
        }
        until = std::max(until.value_or(0), end_of_quarantine(known));
    }
    if (!until)
    {
        for (const prompt_part_id part : trials)
        {
            trials_.erase(part);
        }
    }
    return until;
}

void part_crash_tracker::permit_trial(prompt_part_id part, unix_millis now)
{
    if (is_quarantined(part))
    {
        trials_[part] = now + to_unix_millis(options_.trial_time);
    }
}

std::vector<prompt_part_id> part_crash_tracker::take_due_trials(unix_millis now)
{
    std::vector<prompt_part_id> due;
    for (const prompt_part_id part : quarantined_)
    {
        const evidence known = evidence_against(part);
        unix_millis delay = to_unix_millis(options_.trial_delay);
        for (std::size_t i = limit_for(part);
             i < known.crashes_in_row && known.last + delay <= now; ++i)
        {
            delay *= options_.trial_backoff;
        }
        unix_millis& taken = trials_taken_[part];
        if (known.last + delay <= now &&
            taken + to_unix_millis(options_.trial_time) <= now)
        {
            taken = now;
            due.push_back(part);
        }
    }
    return due;
}

std::vector<part_crash>
part_crash_tracker::proof_against(prompt_part_id part) const
{
    std::vector<part_crash> proof;
    for (const part_crash* crash : evidence_against(part).crashes)
    {
        const auto same = std::ranges::find_if(
            proof, [&](const part_crash& other)
            { return is_same_server_crash(other, *crash); });
        if (same == proof.end())
        {
            proof.push_back(*crash);
        }
        else if (same->sent < crash->sent)
        {
            *same = *crash;
        }
    }
    if (proof.size() > max_proof_crashes)
    {
        proof.erase(proof.begin(), proof.end() - max_proof_crashes);
    }
    // Other instances may not know that the other parts were answered.
    for (part_crash& crash : proof)
    {
        std::erase_if(
            crash.parts,
            [&](prompt_part_id each) { return !is_quarantined(each); });
    }
    return proof;
}

std::vector<answered_part>
part_crash_tracker::answers_to(std::span<const prompt_part_id> parts) const
{
    std::vector<answered_part> result;
    for (const prompt_part_id part : parts)
    {
        if (const auto began = answered_at(part))
        {
            result.push_back({part, *began});
        }
    }
    return result;
}

part_crash_tracker::evidence
part_crash_tracker::evidence_against(prompt_part_id part) const
{
    evidence result;
    for (const part_crash& crash : crashes_)
    {
        if (!contains(crash.parts, part) || is_explained_without(crash, part))
        {
            continue;
        }
        result.in_different_requests =
            result.in_different_requests ||
            (!result.crashes.empty() &&
             result.crashes.front()->fingerprint != crash.fingerprint);
        result.last = std::max(result.last, crash.crashed);
        result.crashes.push_back(&crash);
    }
    result.crashes_in_row = count_in_row(result.crashes);
    return result;
}

// Sorts the crashes by time.
std::size_t
part_crash_tracker::count_in_row(std::vector<const part_crash*>& crashes)
{
    std::ranges::sort(crashes, {}, &part_crash::crashed);
    std::vector<const part_crash*> counted;
    for (const part_crash* crash : crashes)
    {
        const bool is_known = std::ranges::any_of(
            counted, [&](const part_crash* other)
            { return is_same_server_crash(*other, *crash); });
        if (!is_known &&
            (counted.empty() || crash->sent >= counted.back()->crashed))
        {
            counted.push_back(crash);
        }
    }
    return counted.size();
}

// Whether a quarantined part that was never answered is in the crash, while
// this part was answered before.
bool part_crash_tracker::is_explained_without(
    const part_crash& crash, prompt_part_id part) const
{
    return was_answered(part) && !quarantined_.empty() &&
           std::ranges::any_of(
               crashes_,
               [&](const part_crash& other)
               {
                   return is_same_server_crash(other, crash) &&
                          std::ranges::any_of(
                              other.parts,
                              [&](prompt_part_id each) {
                                  return is_quarantined(each) &&
                                         !was_answered(each);
                              });
               });
}

std::size_t part_crash_tracker::limit_for(prompt_part_id part) const
{
    return was_answered(part) ? options_.answered_crash_limit
                              : options_.crash_limit;
}

// The suspected parts of a crash, this one included, that are as likely to be
// its cause as this one.
std::vector<prompt_part_id> part_crash_tracker::rivals_of(
    prompt_part_id part, const part_crash& crash) const
{
    std::vector<prompt_part_id> rivals = crash.parts;
    if (!was_answered(part))
    {
        std::erase_if(
            rivals, [&](prompt_part_id each) { return was_answered(each); });
    }
    return rivals;
}

// Whether the quarantine of a part applies to a request with these parts.
bool part_crash_tracker::applies_to(
    prompt_part_id part, const evidence& known,
    std::span<const prompt_part_id> request) const
{
    std::vector<prompt_part_id> common = known.crashes.front()->parts;
    bool has_all_of_one = false;
    for (const part_crash* crash : known.crashes)
    {
        const auto rivals = rivals_of(part, *crash);
        std::erase_if(
            common,
            [&](prompt_part_id each) { return !contains(rivals, each); });
        has_all_of_one = has_all_of_one || contains_all(request, rivals);
    }
    // At the limit, a request that lacks a suspected part of each crashed one
    // is let through: its answer may clear the quarantined part.
    return contains_all(request, common) &&
           (known.crashes_in_row > limit_for(part) || has_all_of_one);
}

unix_millis part_crash_tracker::end_of_quarantine(const evidence& known) const
{
    return known.last + to_unix_millis(options_.quarantine_time);
}

std::optional<unix_millis>
part_crash_tracker::answered_at(prompt_part_id part) const
{
    for (const auto* generation : {&answered_, &answered_before_})
    {
        if (const auto found = generation->find(part);
            found != generation->end())
        {
            return found->second;
        }
    }
    return std::nullopt;
}

void part_crash_tracker::remember_answer(const answered_part& answer)
{
    const unix_millis latest =
        std::max(answer.began, answered_at(answer.part).value_or(0));
    if (!answered_.contains(answer.part) &&
        answered_.size() >= options_.answered_capacity / 2)
    {
        answered_before_ = std::exchange(answered_, {});
    }
    answered_[answer.part] = latest;
}

// Removes expired crashes, and the oldest one when there is no room. Crashes
// that count against a quarantined part are removed last.
void part_crash_tracker::make_room(unix_millis now)
{
    std::vector<prompt_part_id> removed;
    const auto remove = [&](std::vector<part_crash>::iterator crash)
    {
        removed.insert(removed.end(), crash->parts.begin(), crash->parts.end());
        return crashes_.erase(crash);
    };
    for (auto crash = crashes_.begin(); crash != crashes_.end();)
    {
        const bool is_expired =
            crash->crashed + to_unix_millis(options_.quarantine_time) <= now;
        crash = is_expired ? remove(crash) : crash + 1;
    }
    if (crashes_.size() >= options_.capacity)
    {
        const auto dispensable = std::ranges::find_if(
            crashes_,
            [&](const part_crash& crash)
            {
                return std::ranges::none_of(
                    crash.parts,
                    [&](prompt_part_id part) { return is_quarantined(part); });
            });
        remove(dispensable == crashes_.end() ? crashes_.begin() : dispensable);
    }
    update_quarantines(removed);
}

// Parts that were answered before come last, because the quarantines of the
// others explain crashes.
void part_crash_tracker::update_quarantines(std::vector<prompt_part_id> parts)
{
    std::ranges::copy_if(
        quarantined_, std::back_inserter(parts),
        [&](prompt_part_id part) { return was_answered(part); });
    std::ranges::stable_sort(
        parts, {}, [&](prompt_part_id part) { return was_answered(part); });
    for (const prompt_part_id part : parts)
    {
        update_quarantine(part);
    }
}

void part_crash_tracker::update_quarantine(prompt_part_id part)
{
    const evidence known = evidence_against(part);
    if (known.crashes_in_row >= limit_for(part) && known.in_different_requests)
    {
        quarantined_.insert(part);
        return;
    }
    quarantined_.erase(part);
    trials_.erase(part);
    trials_taken_.erase(part);
}

} // namespace hickorygap
