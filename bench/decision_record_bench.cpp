// Prints, by the number of candidates, the bytes that a decision record takes
// within a batch and the time to record it.
#include "process/decision_record/decision_recorder.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>

namespace
{

using namespace hickorygap;

// Rate per instance at the target size: 3,200 requests/s over 380 instances.
constexpr double records_per_second = 3200.0 / 380.0;
constexpr std::uint64_t record_count = 20'000;

wire::decision_record_msg record_of(std::uint64_t number, int candidates)
{
    wire::decision_record_msg record;
    record.unix_ms = 1'750'000'000'000 + number;
    record.request = number * 0x9e3779b97f4a7c15;
    record.chat = number * 0xc2b2ae3d27d4eb4f;
    record.organisation = number * 0x165667b19e3779f9;
    record.rank = 1;
    record.version = 5000;
    record.cell = number * 0x85ebca77c2b2ae63;
    record.queued_ms = 12;
    record.reason = 2;
    record.outcome = 1;
    for (int i = 0; i < candidates; ++i)
    {
        record.candidates.push_back(
            record.cell + 977UL * static_cast<unsigned>(i));
        record.loads.push_back(5);
    }
    record.choice = candidates > 0 ? record.candidates.front() : 0;
    return record;
}

void measure(int candidates)
{
    decision_recorder_options options;
    options.bytes_per_second = 1'000'000'000;
    options.buffer_bytes = 1'000'000'000;
    decision_recorder recorder{1, 1, options};
    recorder.set_stores({2});
    time_point now;
    std::uint64_t bytes = 0;
    std::uint64_t batches = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < record_count; ++i)
    {
        now = now + std::chrono::microseconds{
                        static_cast<std::int64_t>(1e6 / records_per_second)};
        recorder.record(record_of(i + 1, candidates), now);
        recorder.tick(now);
        for (const auto& message : recorder.take_outgoing())
        {
            const auto* batch =
                message_in<wire::decision_batch_msg>(message.payload);
            bytes += encode_table<wire::decision_batch>(*batch).size();
            ++batches;
            wire::decision_batch_ack_msg acknowledgement;
            acknowledgement.instance = batch->instance;
            acknowledgement.incarnation = batch->incarnation;
            acknowledgement.sequence = batch->sequence;
            recorder.receive(acknowledgement);
        }
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    const double bytes_per_record =
        static_cast<double>(bytes) / static_cast<double>(record_count);
    fmt::print(
        "{:>2} candidates: {:6.1f} bytes per decision in batches of {:5.1f}, "
        "{:7.1f} bytes/s per instance at {:.1f} decisions/s, {:5.2f} us each\n",
        candidates, bytes_per_record,
        static_cast<double>(record_count) / static_cast<double>(batches),
        bytes_per_record * records_per_second, records_per_second,
        elapsed.count() / static_cast<double>(record_count));
}

} // namespace

int main()
{
    for (const int candidates : {0, 1, 2, 4, 8, 16})
    {
        measure(candidates);
    }
    return 0;
}
