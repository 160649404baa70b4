#include "request/blame/part_crash_tracker.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace hickorygap;

namespace
{

constexpr unix_millis second = 1000;
constexpr unix_millis minute = 60 * second;

constexpr prompt_part_id system_part = 0xa;
constexpr prompt_part_id subject_part = 0xb;
constexpr prompt_part_id other_subject_part = 0xc;
constexpr prompt_part_id crashing_part = 0xdead;

using prompt = std::vector<prompt_part_id>;

// A request that was sent 100 ms before the crash.
part_crash crash_of(unix_millis time, std::uint64_t number, prompt parts)
{
    return {number, number, time - 100, time, std::move(parts)};
}

// Three crashes in a row, one a second, of different requests with these parts.
part_crash_tracker after_three_crashes(const prompt& parts)
{
    part_crash_tracker tracker;
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        CHECK(tracker.add(crash_of(i * second, i, parts), i * second));
    }
    return tracker;
}

} // namespace

// Guards against requests with a crashing part that are let through, wherever
// the part is, and against healthy requests that are refused because they share
// the other parts.
TEST_CASE("only requests with the crashing part are refused")
{
    struct row
    {
        std::string label;
        prompt crashed;
        prompt request;
        bool is_refused;
    };
    const auto tested = GENERATE(
        row{"same parts",
            {system_part, subject_part, crashing_part},
            {system_part, subject_part, crashing_part},
            true},
        row{"part is the first one",
            {crashing_part, subject_part},
            {crashing_part, subject_part},
            true},
        row{"part is the only one", {crashing_part}, {crashing_part}, true},
        row{"one more part",
            {system_part, crashing_part},
            {system_part, subject_part, crashing_part},
            true},
        row{"without the crashing part",
            {system_part, subject_part, crashing_part},
            {system_part, subject_part},
            false},
        row{"another subject",
            {system_part, subject_part, crashing_part},
            {system_part, other_subject_part},
            false},
        row{"no shared parts", {system_part, crashing_part}, {}, false});
    CAPTURE(tested.label);
    part_crash_tracker tracker = after_three_crashes(tested.crashed);
    CHECK(
        tracker.check_request(tested.request, 4 * second).has_value() ==
        tested.is_refused);
}

// Guards against a quarantine that stays limited to the other parts of the
// requests that crashed first.
TEST_CASE(
    "answers to other requests narrow the quarantine to the crashing part")
{
    part_crash_tracker tracker =
        after_three_crashes({system_part, subject_part, crashing_part});
    const prompt other = {system_part, other_subject_part, crashing_part};
    CHECK_FALSE(tracker.check_request(other, 4 * second));
    CHECK(tracker.add(answered_part{subject_part, 4 * second}));
    CHECK(tracker.check_request(other, 4 * second));
    CHECK_FALSE(
        tracker.check_request(prompt{system_part, subject_part}, 4 * second));
    // The answer is known, so that it is not news again.
    CHECK_FALSE(tracker.add(answered_part{subject_part, 4 * second}));
}

// Guards against healthy parts that are quarantined because their requests were
// on servers that crashed.
TEST_CASE("parts are not quarantined without evidence")
{
    struct row
    {
        std::string label;
        std::vector<part_crash> crashes;
    };
    const prompt parts = {subject_part};
    const auto tested = GENERATE_COPY(
        row{"one request on three servers",
            {{1, 1, 900, 1000, parts},
             {1, 2, 1900, 2000, parts},
             {1, 3, 2900, 3000, parts}}},
        row{"servers that fail together",
            {{1, 1, 500, 1000, parts},
             {2, 2, 900, 1100, parts},
             {3, 3, 800, 1200, parts},
             {4, 4, 700, 1200, parts}}},
        row{"several requests on one server",
            {{1, 1, 900, 1000, parts},
             {2, 1, 950, 1050, parts},
             {3, 1, 1060, 1100, parts}}},
        row{"two crashes",
            {{1, 1, 900, 1000, parts}, {2, 2, 1900, 2000, parts}}});
    CAPTURE(tested.label);
    part_crash_tracker tracker;
    for (const part_crash& crash : tested.crashes)
    {
        tracker.add(crash, crash.crashed);
        // Another router reports the same.
        CHECK_FALSE(tracker.add(crash, crash.crashed + 10));
    }
    CHECK_FALSE(tracker.check_request(parts, 4 * second));
}

// Guards against a healthy part that is quarantined although its requests are
// answered between the crashes, and against one that became a crashing part and
// is not quarantined because of earlier answers.
TEST_CASE("only answers that began after a crash clear a part")
{
    const auto [began, crashes, is_refused] =
        GENERATE(table<unix_millis, std::uint64_t, bool>({
            {0, 2, false},
            {0, 3, true},
            {500, 5, false},
            {500, 6, true},
            {1500, 6, false},
            {3500, 6, false},
            {6500, 6, false},
        }));
    CAPTURE(began, crashes);
    part_crash_tracker tracker;
    const prompt parts = {crashing_part};
    const auto answer = [&, began = began] {
        tracker.add(answered_part{crashing_part, began});
    };
    if (began == 500)
    {
        answer();
    }
    for (std::uint64_t i = 1; i <= crashes; ++i)
    {
        tracker.add(crash_of(i * second, i, parts), i * second);
    }
    if (began > 500)
    {
        answer();
    }
    CHECK(tracker.check_request(parts, 7 * second).has_value() == is_refused);
}

// Load: two crashing parts at once in requests that have their first part in
// common with most others, while no other request is answered between the
// crashes (hunt bfdb6ea6). Guards against a quarantine of the first part, which
// refuses most requests and is cleared by none.
TEST_CASE("a part that was answered before is not blamed for crashing ones")
{
    const bool knows_answers = GENERATE(true, false);
    CAPTURE(knows_answers);
    part_crash_tracker leader;
    leader.add(answered_part{system_part, 500});
    for (std::uint64_t i = 1; i <= 10; ++i)
    {
        leader.add(
            crash_of(
                i * second, i, {system_part, 0x100 + i, crashing_part + i % 2}),
            i * second);
    }
    CHECK_FALSE(leader.is_quarantined(system_part));
    // A router that has just started.
    part_crash_tracker router;
    if (knows_answers)
    {
        router.add(answered_part{system_part, 500});
    }
    for (const prompt_part_id part : leader.quarantined())
    {
        for (const part_crash& crash : leader.proof_against(part))
        {
            router.add(crash, 11 * second);
        }
    }
    for (part_crash_tracker* each : {&leader, &router})
    {
        CHECK_FALSE(
            each->check_request(prompt{system_part, 0x99}, 11 * second));
        CHECK_FALSE(each->check_request(prompt{system_part}, 11 * second));
        for (const prompt_part_id part : {crashing_part, crashing_part + 1})
        {
            CHECK(each->check_request(
                prompt{system_part, 0x99, part}, 11 * second));
        }
    }
}

// Guards against a healthy part that stays refused: without requests no answer
// can clear it.
TEST_CASE("a quarantined part is tried again with single requests")
{
    const prompt parts = {subject_part};
    part_crash_tracker tracker = after_three_crashes(parts);
    unix_millis now = 3 * second;
    CHECK(tracker.take_due_trials(now + 14 * second).empty());
    now += 15 * second;
    CHECK(tracker.take_due_trials(now) == prompt{subject_part});
    CHECK(tracker.take_due_trials(now + second).empty());
    tracker.permit_trial(subject_part, now);
    CHECK_FALSE(tracker.check_request(parts, now));
    CHECK(tracker.check_request(parts, now));

    SECTION("the trial is answered")
    {
        tracker.add(answered_part{subject_part, now + 100});
        CHECK_FALSE(tracker.check_request(parts, now + second));
        CHECK(tracker.crashes().empty());
    }
    SECTION("the trial crashes a server")
    {
        tracker.add(crash_of(now + 200, 9, parts), now + 200);
        CHECK(tracker.take_due_trials(now + 59 * second).empty());
        CHECK(tracker.take_due_trials(now + minute + second).size() == 1);
    }
    SECTION("no request comes in time")
    {
        tracker.permit_trial(subject_part, now);
        CHECK(tracker.check_request(parts, now + 6 * second));
        CHECK(tracker.take_due_trials(now + 6 * second).size() == 1);
    }
    SECTION("the quarantine ends")
    {
        CHECK(tracker.check_request(parts, 3 * second + 10 * minute - 1));
        CHECK_FALSE(tracker.check_request(parts, 3 * second + 10 * minute));
    }
}

// Load: many servers crash with many requests. Guards against state without
// bounds, and against a quarantine that is evicted by unrelated crashes.
TEST_CASE("memory is bounded and keeps the quarantines")
{
    part_crash_options options;
    options.capacity = 16;
    options.answered_capacity = 64;
    options.parts_per_crash = 4;
    part_crash_tracker tracker{options};
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        tracker.add(crash_of(i * second, i, {crashing_part}), i * second);
    }
    for (std::uint64_t i = 100; i < 1000; ++i)
    {
        tracker.add(
            crash_of(4 * second, i, {i, i + 1, i + 2, i + 3, i + 4}),
            4 * second);
        tracker.add(answered_part{5000 + i, 4 * second});
    }
    CHECK(tracker.crashes().size() <= 16);
    CHECK(tracker.check_request(prompt{crashing_part}, 5 * second));
    prompt answered;
    for (std::uint64_t i = 100; i < 1000; ++i)
    {
        answered.push_back(5000 + i);
    }
    CHECK(tracker.answers_to(answered).size() <= 64);
}

// Pattern: two crashing parts at once among requests of several subjects, at
// any time and on any server; healthy requests run between them and sometimes
// on the same servers. Guards against more crashes than the quarantine needs,
// and against healthy parts that stay refused.
TEST_CASE("crashing parts are found among healthy ones")
{
    rc::prop(
        "any order of requests",
        [](const std::vector<std::uint8_t>& steps)
        {
            constexpr std::size_t max_crashes_per_part = 5;
            part_crash_tracker tracker;
            std::vector<std::size_t> crashes(2, 0);
            unix_millis now = minute;
            std::uint64_t number = 0;
            const auto subject = [](std::size_t step)
            { return prompt_part_id{0xb0 + step % 3}; };
            for (const std::uint8_t step : steps)
            {
                now += 300;
                ++number;
                const prompt healthy = {system_part, subject(step / 8)};
                const auto refused = tracker.check_request(healthy, now);
                const std::size_t index = step % 2;
                const prompt crashing = {
                    system_part, subject(index), crashing_part + index};
                if (step % 4 < 2 && !tracker.check_request(crashing, now))
                {
                    ++crashes[index];
                    tracker.add(crash_of(now, number, crashing), now);
                    // One healthy request waited at the same server.
                    tracker.add(
                        {number + 1000, number, now - 100, now, healthy}, now);
                }
                else if (!refused)
                {
                    for (const prompt_part_id part : healthy)
                    {
                        tracker.add(answered_part{part, now + 1});
                    }
                }
            }
            RC_ASSERT(crashes[0] <= max_crashes_per_part);
            RC_ASSERT(crashes[1] <= max_crashes_per_part);
        });
}
