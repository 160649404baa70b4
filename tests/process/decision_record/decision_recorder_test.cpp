#include "process/decision_record/decision_chain.hpp"
#include "process/decision_record/decision_reason.hpp"
#include "process/decision_record/decision_recorder.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

using namespace hickorygap;

namespace
{

constexpr instance_id self = 7;
constexpr incarnation_number incarnation = 1000;

wire::decision_record_msg record_of(std::uint64_t number)
{
    wire::decision_record_msg record;
    record.request = number;
    record.unix_ms = 1'000'000 + number;
    record.reason = 1;
    record.candidates = {number, number + 1};
    record.loads = {1, 2};
    return record;
}

wire::decision_batch_ack_msg ack_of(const wire::decision_batch_msg& batch)
{
    wire::decision_batch_ack_msg result;
    result.instance = batch.instance;
    result.incarnation = batch.incarnation;
    result.sequence = batch.sequence;
    return result;
}

std::vector<wire::decision_batch_msg> take_batches(decision_recorder& recorder)
{
    std::vector<wire::decision_batch_msg> result;
    for (const outgoing_message& message : recorder.take_outgoing())
    {
        result.push_back(
            *message_in<wire::decision_batch_msg>(message.payload));
    }
    return result;
}

} // namespace

// Guards against records that are lost without a gap record, when messages or
// acknowledgements are lost and the buffer is full.
TEST_CASE("every record arrives or is counted in a gap record")
{
    rc::prop(
        "received records and gaps add up to what was recorded",
        []()
        {
            decision_recorder_options options;
            options.bytes_per_second = 3000;
            options.buffer_bytes = 4000;
            options.batch_bytes = 700;
            decision_recorder recorder{self, incarnation, options};
            recorder.set_stores({1, 2});
            time_point now{std::chrono::seconds{5}};
            std::uint64_t recorded = 0;
            std::map<std::uint64_t, wire::decision_batch_msg> received;
            // Loses a third of the batches and a third of the acknowledgements
            // when `lossy`.
            const auto deliver = [&](bool lossy)
            {
                for (auto& batch : take_batches(recorder))
                {
                    // 0: batch lost; 1: acknowledgement lost; 2: both arrive.
                    const auto delivery = lossy ? *rc::gen::inRange(0, 3) : 2;
                    if (delivery == 0)
                    {
                        continue;
                    }
                    received.emplace(batch.sequence, batch);
                    if (delivery == 2)
                    {
                        recorder.receive(ack_of(batch));
                    }
                }
            };
            const auto steps = *rc::gen::inRange(1, 40);
            for (int i = 0; i < steps; ++i)
            {
                const auto burst = *rc::gen::inRange(0, 30);
                for (int j = 0; j < burst; ++j)
                {
                    recorder.record(record_of(++recorded), now);
                }
                now =
                    now + std::chrono::milliseconds{*rc::gen::inRange(0, 2000)};
                recorder.tick(now);
                deliver(true);
                RC_ASSERT(recorder.buffered_bytes() <= options.buffer_bytes);
            }
            recorder.close(0, now);
            for (int i = 0; i < 100 && !recorder.all_stored(); ++i)
            {
                now = now + std::chrono::seconds{4};
                recorder.tick(now);
                deliver(false);
            }
            RC_ASSERT(recorder.all_stored());
            std::uint64_t received_records = 0;
            std::uint64_t dropped_records = 0;
            chain_index index;
            for (const auto& [sequence, batch] : received)
            {
                const auto segment = segment_of(batch);
                RC_ASSERT(segment.has_value());
                RC_ASSERT(
                    index.add({self, incarnation}, *segment) ==
                    chain_index::add_result::added);
                for (const auto& record : batch.records)
                {
                    const auto reason =
                        static_cast<decision_reason>(record->reason);
                    if (reason == decision_reason::gap)
                    {
                        dropped_records += record->request;
                    }
                    else if (reason != decision_reason::end_of_chain)
                    {
                        ++received_records;
                        // In order, and missing only where a gap record says
                        // so.
                        RC_ASSERT(
                            record->request ==
                            received_records + dropped_records);
                    }
                }
            }
            RC_ASSERT(received_records + dropped_records == recorded);
            RC_ASSERT(dropped_records == recorder.dropped());
            RC_ASSERT(index.gaps().empty());
            const auto& segments = index.chains().begin()->second;
            RC_ASSERT(segments.size() == 1U);
            RC_ASSERT(segments.begin()->second.closes_chain);
        });
}

// Guards against decision records that exceed their rate limit and take
// bandwidth from other control traffic.
TEST_CASE("batches are sent within the rate limit")
{
    decision_recorder_options options;
    options.bytes_per_second = 2000;
    decision_recorder recorder{self, incarnation, options};
    recorder.set_stores({1});
    time_point now;
    std::uint64_t sent = 0;
    constexpr int seconds = 60;
    for (int i = 0; i < seconds * 10; ++i)
    {
        for (int j = 0; j < 10; ++j)
        {
            recorder.record(record_of(static_cast<std::uint64_t>(i)), now);
        }
        recorder.tick(now);
        for (const auto& batch : take_batches(recorder))
        {
            sent += encode_table<wire::decision_batch>(batch).size();
            recorder.receive(ack_of(batch));
        }
        now = now + std::chrono::milliseconds{100};
    }
    // At most one burst and one batch more than the rate allows.
    CHECK(sent <= options.bytes_per_second * (seconds + 1) + 10'000);
    CHECK(sent >= options.bytes_per_second * (seconds - 5));
}

// Guards against resending to the same store although it doesn't answer, and
// against sending to other instances, or counting against the rate limit, when
// the instance has a store of its own.
TEST_CASE("batches go to the next store when one does not answer")
{
    decision_recorder recorder{self, incarnation};
    recorder.set_stores({1, 2, 3});
    time_point now;
    recorder.record(record_of(1), now);
    std::set<instance_id> tried;
    for (int i = 0; i < 3; ++i)
    {
        now = now + std::chrono::seconds{4};
        recorder.tick(now);
        const auto messages = recorder.take_outgoing();
        REQUIRE(messages.size() == 1);
        tried.insert(messages.front().destination);
    }
    CHECK(tried == std::set<instance_id>{1, 2, 3});

    decision_recorder with_own_store{
        self, incarnation, {.bytes_per_second = 64}};
    with_own_store.set_stores({1, self, 2});
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        with_own_store.record(record_of(i), now);
    }
    with_own_store.tick(now + std::chrono::seconds{2});
    std::size_t sent = 0;
    for (const auto& message : with_own_store.take_outgoing())
    {
        CHECK(message.destination == self);
        ++sent;
    }
    CHECK(sent > 10);
}

// Guards against a late acknowledgement, meant for the incarnation before a
// restart, that discards a new batch with the same sequence number.
TEST_CASE("acknowledgements of another incarnation are ignored")
{
    decision_recorder recorder{self, incarnation};
    recorder.set_stores({1});
    recorder.record(record_of(1), {});
    recorder.tick({std::chrono::seconds{2}});
    const auto batches = take_batches(recorder);
    REQUIRE(batches.size() == 1);
    auto acknowledgement = ack_of(batches.front());
    acknowledgement.incarnation = incarnation - 1;
    recorder.receive(acknowledgement);
    CHECK_FALSE(recorder.all_stored());
    acknowledgement.incarnation = incarnation;
    recorder.receive(acknowledgement);
    CHECK(recorder.all_stored());
}

// Guards against stored reasons and outcomes that are shown under a wrong name
// or none.
TEST_CASE("stored reasons and outcomes are shown by name")
{
    CHECK(decision_reason_name(1) == "directory");
    CHECK(decision_reason_name(7) == "ended");
    CHECK(
        decision_reason_name(reason_of(wire::refusal_reason::overloaded)) ==
        "refused_overloaded");
    CHECK(
        decision_reason_name(reason_of(wire::refusal_reason::draining)) ==
        "refused_draining");
    CHECK(decision_reason_name(255) == "gap");
    CHECK(decision_reason_name(50) == "50");
    CHECK(decision_reason_name(250) == "250");
    CHECK(decision_outcome_name(0) == "unknown");
    CHECK(
        decision_outcome_name(
            outcome_of(wire::attempt_outcome::backend_server_lost)) ==
        "backend_server_lost");
    CHECK(decision_outcome_name(99) == "99");
}
