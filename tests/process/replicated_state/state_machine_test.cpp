#include "process/replicated_state/state_machine.hpp"
#include "voter_cluster.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <tuple>

using namespace hickorygap;
using status = wire::proposal_status;

namespace
{

constexpr unix_millis window = 1000;
constexpr std::size_t body_limit = 10;

// State machine with the log index that it needs.
class applier
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
        {window, body_limit}, std::make_shared<test::text_validator>()};

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

// Guards against a number with two contents, numbers with gaps, invalid
// documents, and a repetition that gets another answer.
TEST_CASE("tickets get the answers of the numbering rules")
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
    applier log;
    log.ticket(1, "first", 100);
    const apply_result second = log.ticket(2, "second", 200);
    const auto early = log.machine.answer(
        wire::entry_kind::ticket, test::ticket_data(number, document));
    const apply_result result = log.ticket(number, document, 300);
    CHECK(result.status == expected);
    CHECK(result.detail.find(named) != std::string::npos);
    if (number == 2 && expected == status::accepted)
    {
        CHECK(result == second);
    }
    // What is answered without an entry is what the entry would have given.
    CHECK(early.has_value() == (document != "third"));
    CHECK((!early || *early == result));
    CHECK(verify_chain(log.machine.tickets()).ok());
}

// Guards against acceptance times that run backwards when leaders' clocks
// differ.
TEST_CASE("a ticket is never older than the one before")
{
    applier log;
    log.ticket(1, "first", 500);
    CHECK(log.ticket(2, "second", 400).accepted == 500);
}

// Guards against a changed, removed or added ticket that goes unnoticed.
TEST_CASE("a changed history does not verify")
{
    applier log;
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
        // A consistent link by itself does not fit the next one.
        history[1].document[0] ^= 1;
        history[1].chain = ticket_chain(history[0].chain, history[1]);
        break;
    }
    const absl::Status checked = verify_chain(history);
    CHECK(kind_of(checked) == error_kind::storage_damaged);
}

// Guards against a second permission to run a call, and against retries that
// do not learn what happened to the first.
TEST_CASE("an intent gets the answer that fits the call's state")
{
    using prepare = std::function<void(applier&)>;
    const prepare nothing = [](applier&) {};
    const prepare recorded = [](applier& log) { log.outcome(1, "done"); };
    const prepare too_long = [](applier& log)
    { log.outcome(1, "longer than ten bytes"); };
    const prepare unknown = [](applier& log) { log.unknown_outcome(1); };
    const prepare released = [](applier& log) { log.not_run(1); };
    const prepare late = [](applier& log)
    {
        log.unknown_outcome(1);
        log.outcome(1, "done");
    };
    const prepare restarted = [](applier& log)
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
    applier log;
    REQUIRE(
        log.intent(test::make_intent("key", 11, 1)).status == status::accepted);
    before(log);
    const auto retry = test::make_intent("key", entry, request, body);
    const auto early = log.machine.answer(
        wire::entry_kind::call_intent, encode_table<wire::call_intent>(retry));
    const apply_result result = log.intent(retry);
    CHECK(result.status == expected);
    CHECK((!early || *early == result));
    if (expected == status::recorded)
    {
        const auto outcome = decode_table<wire::call_outcome>(result.recorded);
        REQUIRE(outcome.ok());
        CHECK(
            std::string(outcome->body.begin(), outcome->body.end()) == "done");
    }
}

// Guards against outcomes of strangers, changed outcomes, and a call that is
// declared as not run after it ran.
TEST_CASE("an outcome is taken once and from the right request")
{
    applier log;
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

// Guards against a key that stays taken because the intent arrives after its
// request gave up.
TEST_CASE("an intent that arrives after its request gave up takes no key")
{
    applier log;
    CHECK(log.not_run(1).status == status::accepted);
    CHECK(
        log.intent(test::make_intent("key", 11, 1)).status == status::expired);
    CHECK(
        log.intent(test::make_intent("key", 12, 2)).status == status::accepted);
    CHECK(log.not_run(1).status == status::invalid);
    CHECK(log.outcome(2, "done").status == status::accepted);
}

// Guards against keys that are kept for ever, and against records dropped
// before their window has passed in the log's own time.
TEST_CASE("a call is remembered for the window by the times in the log")
{
    const auto [time, expected] = GENERATE(table<unix_millis, status>(
        {{100 + window - 1, status::running},
         {100 + window, status::accepted}}));
    applier log;
    log.intent(test::make_intent("key", 11, 1), 100);
    CHECK(log.intent(test::make_intent("key", 12, 2), time).status == expected);
}

// Guards against calls and tickets that a snapshot leaves out: a restored
// state must answer everything like the one that it was taken from.
TEST_CASE("a restored snapshot continues like the original")
{
    using operation = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
    const auto run = [](applier& log, const operation& step)
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
        "all later answers are equal",
        [&](const std::vector<operation>& before,
            const std::vector<operation>& after)
        {
            applier original;
            for (const operation& step : before)
            {
                run(original, step);
            }
            applier copy = original;
            copy.machine = state_machine{
                {window, body_limit}, std::make_shared<test::text_validator>()};
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
TEST_CASE("a damaged snapshot is refused and changes nothing")
{
    applier log;
    log.ticket(1, "first");
    std::vector<std::uint8_t> data = log.machine.snapshot();
    const std::string_view word{"first"};
    const auto place =
        std::search(data.begin(), data.end(), word.begin(), word.end());
    REQUIRE(place != data.end());
    *place = 'g';
    CHECK(kind_of(log.machine.restore(data)) == error_kind::storage_damaged);
    CHECK(kind_of(log.machine.restore({})) == error_kind::storage_damaged);
    CHECK(log.machine.version() == 1);
    CHECK(verify_chain(log.machine.tickets()).ok());
}
