#ifndef HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_RECORDER_HPP
#define HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_RECORDER_HPP

#include "common/hashing.hpp"
#include "common/time.hpp"
#include "messages/codec.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace hickorygap
{

struct decision_recorder_options
{
    // Rate limit for batches sent to other instances, as a token bucket that
    // holds one second's worth. Batches for this instance's own store don't
    // count.
    std::uint64_t bytes_per_second = 4096;

    // Limit for buffered records and unacknowledged batches together. Records
    // beyond it are dropped, and a gap record holds their number.
    std::uint64_t buffer_bytes = 4UL * 1024 * 1024;

    // A batch is sealed when it reaches this size or age.
    std::uint64_t batch_bytes = 8192;
    duration batch_delay{std::chrono::seconds{1}};

    // An unacknowledged batch is sent again after this time.
    duration resend_after{std::chrono::seconds{3}};
};

// Collects the decision records of one instance, seals them into batches that
// form a hash chain, and sends these to instances with a decision store.
// Records are not sampled; when the buffer is full, records are dropped and
// their number is recorded. A state machine without I/O; not thread-safe.
class decision_recorder
{
public:
    decision_recorder(
        instance_id self, incarnation_number incarnation,
        decision_recorder_options options = {});

    // Sets the live instances with a store. This instance is preferred when it
    // is among them; otherwise rendezvous hashing spreads senders over the
    // stores. With an empty list, batches stay buffered.
    void set_stores(std::vector<instance_id> stores);

    void record(wire::decision_record_msg record, time_point now);

    // Appends the end-of-chain record. Nothing may be recorded afterwards.
    void close(unix_millis wall_clock, time_point now);

    // Seals the open batch when it is due and sends batches within the rate
    // limit.
    void tick(time_point now);

    void receive(const wire::decision_batch_ack_msg& acknowledgement);

    // Returns the batches to send and clears the list. Those addressed to this
    // instance are for its own store.
    std::vector<outgoing_message> take_outgoing();

    // Size of the buffered records and unacknowledged batches, in bytes.
    std::uint64_t buffered_bytes() const
    {
        return open_batch_bytes_ + sealed_bytes_;
    }

    // True when a store has acknowledged every record, and every drop has its
    // gap record.
    bool all_stored() const
    {
        return open_batch_.empty() && sealed_batches_.empty() &&
               unreported_drops_ == 0;
    }

    // Number of records dropped since construction.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    struct sealed_batch
    {
        wire::decision_batch_msg content;
        std::uint64_t bytes = 0;
        std::optional<time_point> sent;

        // Number of times sent; each attempt goes to the next store.
        std::size_t attempts = 0;
    };

    void append(wire::decision_record_msg record, time_point now);
    void append_pending_gap_record(time_point now);
    void seal_open_batch();
    void send(sealed_batch& batch, time_point now);
    void refill_budget(time_point now);

    instance_id self_;
    incarnation_number incarnation_;
    decision_recorder_options options_;
    std::vector<instance_id> stores_;

    std::vector<wire::decision_record_msg> open_batch_;
    std::uint64_t open_batch_bytes_ = 0;
    time_point open_batch_since_;
    std::deque<sealed_batch> sealed_batches_;
    std::uint64_t sealed_bytes_ = 0;
    std::uint64_t sequence_ = 0;
    digest chain_;

    // Number of dropped records that no gap record covers yet, and the time of
    // the first of them.
    std::uint64_t unreported_drops_ = 0;
    unix_millis first_unreported_drop_ = 0;
    std::uint64_t dropped_ = 0;

    // Tokens in bytes that may be sent now; negative after a batch that was
    // larger than the rest of the budget.
    double budget_;
    std::optional<time_point> refilled_;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
