#include "process/replicated_state/state_machine.hpp"
#include "voter_cluster.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <tuple>

using namespace hickorygap;
using status = wire::proposal_status;

namespace
{

constexpr unix_millis window_ms = 1000;
constexpr std::size_t max_body_bytes = 10;

// Applies entries to a state machine with consecutive log indexes.
class log_applier
{
public:
    apply_result ticket(
        configuration_version number, std::string_view document,
        unix_millis time = 100)
    {
        auto entry = *decode_table<wire::ticket_entry>(
            test::ticket_data(number, document));
        entry.accepted_unix_ms = time;
        return apply(
            wire::entry_kind::ticket, encode_table<wire::ticket_entry>(entry));
    }

    apply_result intent(wire::call_intent_msg intent, unix_millis time = 100)
    {
        intent.created_unix_ms = time;
        return apply(
            wire::entry_kind::call_intent,
            encode_table<wire::call_intent>(intent));
    }

    apply_result
    outcome(request_id request, std::string_view body, unix_millis time = 100)
    {
        wire::call_outcome_msg outcome = make_outcome(request, time);
        outcome.known = true;
        outcome.body.assign(body.begin(), body.end());
        return add(outcome);
    }

    apply_result unknown_outcome(request_id request)
    {
        return add(make_outcome(request, 100));
    }

    apply_result not_run(request_id request)
    {
        wire::call_outcome_msg outcome = make_outcome(request, 100);
        outcome.not_run = true;
        return add(outcome);
    }

    apply_result apply(wire::entry_kind kind, std::vector<std::uint8_t> data)
    {
        wire::log_entry_msg entry;
        entry.index = ++index_;
        entry.kind = kind;
        entry.data = std::move(data);
        return machine.apply(entry);
    }

    state_machine machine{
        {window_ms, max_body_bytes}, std::make_shared<test::text_validator>()};

private:
    static wire::call_outcome_msg
    make_outcome(request_id request, unix_millis time)
    {
        wire::call_outcome_msg outcome;
        outcome.organisation = 1;
        outcome.service = 2;
        outcome.key = "key";
        outcome.request = request;
        outcome.ended_unix_ms = time;
        return outcome;
    }

    apply_result add(const wire::call_outcome_msg& outcome)
    {
        return apply(
            wire::entry_kind::call_outcome,
            encode_table<wire::call_outcome>(outcome));
    }

    std::uint64_t index_ = 0;
};

} // namespace

// Guards against two documents accepted under one number, gaps in the numbers,
// accepted invalid documents, and a different answer to a repeated ticket.
TEST_CASE("a ticket is accepted or refused by its number and content")
{
    const auto [number, document, expected, named] =
        GENERATE(table<configuration_version, std::string, status, std::string>(
            {{3, "third", status::accepted, ""},
             {3, "!", status::invalid, "correct the ticket"},
             {2, "second", status::accepted, ""},
             {2, " sec ond", status::accepted, ""},
             {2, "other", status::conflict, "next free number 3"},
             {2, "!", status::conflict, "next free number 3"},
             {4, "fourth", status::invalid, "under number 3"},
             {0, "none", status::invalid, "under number 3"}}));
    log_applier log;
    log.ticket(1, "first", 100);
    const apply_result second = log.ticket(2, "second", 200);
    const auto answer_before_entry = log.machine.answer(
        wire::entry_kind::ticket, test::ticket_data(number, document));
    const apply_result result = log.ticket(number, document, 300);
    CHECK(result.status == expected);
    CHECK(result.detail.find(named) != std::string::npos);
    if (number == 2 && expected == status::accepted)
    {
        CHECK(result == second);
    }
    // An answer given without a log entry equals the result of the entry.
    CHECK(answer_before_entry.has_value() == (document != "third"));
    CHECK((!answer_before_entry || *answer_before_entry == result));
    CHECK(verify_chain(log.machine.tickets()).ok());
}

// Guards against acceptance times that go back when a new leader's clock is
// behind that of the previous one.
TEST_CASE("the acceptance times of tickets never decrease")
{
    log_applier log;
    log.ticket(1, "first", 500);
    CHECK(log.ticket(2, "second", 400).accepted == 500);
}

// Guards against undetected tampering with the history: a ticket that was
// changed or removed.
TEST_CASE("a changed ticket history fails verification")
{
    log_applier log;
    log.ticket(1, "first", 100);
    log.ticket(2, "second", 200);
    log.ticket(3, "third", 300);
    std::vector<ticket_record> history{
        log.machine.tickets().begin(), log.machine.tickets().end()};
    REQUIRE(verify_chain(history).ok());
    const int change = GENERATE(range(0, 6));
    switch (change)
    {
    case 0:
        history[1].document[0] ^= 1;
        break;
    case 1:
        history[1].accepted += 1;
        break;
    case 2:
        history.erase(history.begin() + 1);
        break;
    case 3:
        history.erase(history.begin());
        break;
    case 4:
        history[1].canonical_digest[5] ^= 1;
        break;
    default:
        // The recomputed chain value does not match that of the next ticket.
        history[1].document[0] ^= 1;
        history[1].chain = ticket_chain(history[0].chain, history[1]);
        break;
    }
    const absl::Status checked = verify_chain(history);
    CHECK(kind_of(checked) == error_kind::storage_damaged);
}

// Guards against a second request that may run the same call, and against
// retries that do not get the outcome of the first attempt.
TEST_CASE("the answer to an intent depends on the state of its call")
{
    using prepare = std::function<void(log_applier&)>;
    const prepare nothing = [](log_applier&) {};
    const prepare recorded = [](log_applier& log) { log.outcome(1, "done"); };
    const prepare too_long = [](log_applier& log)
    { log.outcome(1, "longer than ten bytes"); };
    const prepare unknown = [](log_applier& log) { log.unknown_outcome(1); };
    const prepare released = [](log_applier& log) { log.not_run(1); };
    const prepare late = [](log_applier& log)
    {
        log.unknown_outcome(1);
        log.outcome(1, "done");
    };
    const prepare restarted = [](log_applier& log)
    {
        wire::call_intent_msg other = test::make_intent("other", 11, 9);
        other.entry_incarnation = 2;
        log.intent(other);
    };
    const auto [before, entry, request, body, expected] = GENERATE_REF(
        table<prepare, instance_id, request_id, std::uint8_t, status>(
            {{nothing, 11, 1, 1, status::accepted},
             {nothing, 11, 2, 1, status::running},
             {nothing, 12, 1, 1, status::running},
             {nothing, 12, 2, 2, status::body_mismatch},
             {recorded, 12, 2, 1, status::recorded},
             {recorded, 11, 1, 1, status::recorded},
             {recorded, 12, 2, 2, status::body_mismatch},
             {too_long, 12, 2, 1, status::outcome_unknown},
             {unknown, 12, 2, 1, status::outcome_unknown},
             {unknown, 11, 1, 1, status::outcome_unknown},
             {late, 12, 2, 1, status::recorded},
             {restarted, 12, 2, 1, status::outcome_unknown},
             {restarted, 11, 1, 1, status::outcome_unknown},
             {released, 12, 2, 1, status::accepted},
             {released, 11, 1, 1, status::expired}}));
    log_applier log;
    REQUIRE(
        log.intent(test::make_intent("key", 11, 1)).status == status::accepted);
    before(log);
    const auto retry = test::make_intent("key", entry, request, body);
    const auto answer_before_entry = log.machine.answer(
        wire::entry_kind::call_intent, encode_table<wire::call_intent>(retry));
    const apply_result result = log.intent(retry);
    CHECK(result.status == expected);
    CHECK((!answer_before_entry || *answer_before_entry == result));
    if (expected == status::recorded)
    {
        const auto outcome = decode_table<wire::call_outcome>(result.recorded);
        REQUIRE(outcome.ok());
        CHECK(
            std::string(outcome->body.begin(), outcome->body.end()) == "done");
    }
}

// Guards against outcomes from a request that does not run the call, changed
// outcomes, and a call that is declared as not run after it has run.
TEST_CASE("an outcome is recorded once and only from the running request")
{
    log_applier log;
    CHECK(log.outcome(1, "done").status == status::expired);
    log.intent(test::make_intent("key", 11, 1));
    CHECK(log.outcome(2, "done").status == status::invalid);
    CHECK(log.not_run(2).status == status::invalid);
    CHECK(log.not_run(0).status == status::conflict);
    CHECK(log.outcome(1, "done").status == status::accepted);
    CHECK(log.outcome(1, "done").status == status::accepted);
    CHECK(log.unknown_outcome(1).status == status::accepted);
    CHECK(log.outcome(1, "other").status == status::conflict);
    CHECK(log.not_run(1).status == status::conflict);
}

// Guards against a key that remains claimed because a delayed intent arrives
// after its request has given up.
TEST_CASE("an intent that arrives after its request gave up claims no key")
{
    log_applier log;
    CHECK(log.not_run(1).status == status::accepted);
    CHECK(
        log.intent(test::make_intent("key", 11, 1)).status == status::expired);
    CHECK(
        log.intent(test::make_intent("key", 12, 2)).status == status::accepted);
    CHECK(log.not_run(1).status == status::invalid);
    CHECK(log.outcome(2, "done").status == status::accepted);
}

// Guards against keys that never expire, and against records that expire before
// the window has passed by the times in the log.
TEST_CASE("a call record expires after the window by the times in the log")
{
    const auto [time, expected] = GENERATE(table<unix_millis, status>(
        {{100 + window_ms - 1, status::running},
         {100 + window_ms, status::accepted}}));
    log_applier log;
    log.intent(test::make_intent("key", 11, 1), 100);
    CHECK(log.intent(test::make_intent("key", 12, 2), time).status == expected);
}

// Guards against state that is missing from a snapshot: a restored state
// machine must give the same results as the original one.
TEST_CASE("a state machine restored from a snapshot equals the original")
{
    using operation = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
    const auto run = [](log_applier& log, const operation& step)
    {
        const auto [kind, value, time] = step;
        const unix_millis now = 100 + time * 20;
        const request_id request = value % 3;
        switch (kind % 6)
        {
        case 0:
            return log.ticket(
                log.machine.version() + value % 2, std::to_string(value), now);
        case 1:
        case 2:
        {
            auto intent = test::make_intent("key", 11, request);
            intent.entry_incarnation = kind % 4;
            return log.intent(intent, now);
        }
        case 3:
            return log.outcome(request, std::to_string(value), now);
        case 4:
            return log.not_run(request);
        default:
            return log.unknown_outcome(request);
        }
    };
    rc::prop(
        "all later results are equal",
        [&](const std::vector<operation>& before,
            const std::vector<operation>& after)
        {
            log_applier original;
            for (const operation& step : before)
            {
                run(original, step);
            }
            log_applier copy = original;
            copy.machine = state_machine{
                {window_ms, max_body_bytes},
                std::make_shared<test::text_validator>()};
            RC_ASSERT(copy.machine.restore(original.machine.snapshot()).ok());
            for (const operation& step : after)
            {
                RC_ASSERT(run(original, step) == run(copy, step));
            }
            RC_ASSERT(original.machine.snapshot() == copy.machine.snapshot());
            RC_ASSERT(
                original.machine.call_chain() == copy.machine.call_chain());
        });
}

// Guards against a damaged snapshot that replaces the state.
TEST_CASE("a damaged snapshot is refused and leaves the state unchanged")
{
    log_applier log;
    log.ticket(1, "first");
    std::vector<std::uint8_t> data = log.machine.snapshot();
    const std::string_view word{"first"};
    const auto changed_byte =
        std::search(data.begin(), data.end(), word.begin(), word.end());
    REQUIRE(changed_byte != data.end());
    *changed_byte = 'g';
    CHECK(kind_of(log.machine.restore(data)) == error_kind::storage_damaged);
    CHECK(kind_of(log.machine.restore({})) == error_kind::storage_damaged);
    CHECK(log.machine.version() == 1);
    CHECK(verify_chain(log.machine.tickets()).ok());
}
