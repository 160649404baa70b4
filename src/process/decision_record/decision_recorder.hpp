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
    // Bytes of batches sent to other instances in the long run, with a burst
    // of one second's worth. Batches to the own instance are free.
    std::uint64_t bytes_per_second = 4096;

    // Records and unacknowledged batches that wait; beyond this new records
    // are dropped and leave a gap record.
    std::uint64_t buffer_bytes = 4UL * 1024 * 1024;

    // A batch is closed at this size or age.
    std::uint64_t batch_bytes = 8192;
    duration batch_delay{std::chrono::seconds{1}};

    // Time after which an unacknowledged batch is sent again.
    duration resend_after{std::chrono::seconds{3}};
};

// Collects the decision records of one instance, chains them in batches and
// ships these to instances with disks. Every record is shipped, none is
// sampled away; when the buffer is full, the loss is recorded. Pure state
// machine, owned by one thread.
class decision_recorder
{
public:
    decision_recorder(
        instance_id self, incarnation_number incarnation,
        decision_recorder_options options = {});

    // Live instances with disks. The own instance is preferred when it is
    // among them; otherwise rendezvous hashing spreads instances over stores.
    // Without any, batches wait.
    void set_stores(std::vector<instance_id> stores);

    void record(wire::decision_record_msg record, time_point now);

    // Marks the end of the chain; nothing may be recorded afterwards.
    void close(unix_millis wall_clock, time_point now);

    // Closes batches that are due and sends within the budget.
    void tick(time_point now);

    void receive(const wire::decision_batch_ack_msg& acknowledgement);

    // Batches to send; those to the own instance go to its own store.
    std::vector<outgoing_message> take_outgoing();

    // Records and unacknowledged batches that wait, in bytes.
    std::uint64_t waiting_bytes() const
    {
        return open_bytes_ + batch_bytes_;
    }

    // True when every record is on a disk.
    bool all_stored() const
    {
        return open_.empty() && batches_.empty() && unrecorded_ == 0;
    }

    // Records dropped since the start.
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

        // How often it was sent; each time goes to the next store.
        std::size_t attempts = 0;
    };

    void append(wire::decision_record_msg record, time_point now);
    void append_gap_record(time_point now);
    void seal_open_batch();
    void send(sealed_batch& batch, time_point now);
    void refill_budget(time_point now);

    instance_id self_;
    incarnation_number incarnation_;
    decision_recorder_options options_;
    std::vector<instance_id> stores_;

    std::vector<wire::decision_record_msg> open_;
    std::uint64_t open_bytes_ = 0;
    time_point open_since_;
    std::deque<sealed_batch> batches_;
    std::uint64_t batch_bytes_ = 0;
    std::uint64_t sequence_ = 0;
    digest chain_;

    // Dropped records that no gap record stands for yet.
    std::uint64_t unrecorded_ = 0;
    unix_millis first_unrecorded_ = 0;
    std::uint64_t dropped_ = 0;

    // Bytes that may be sent now; negative after a large batch.
    double budget_;
    std::optional<time_point> refilled_;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
