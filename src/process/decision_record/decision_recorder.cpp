#include "process/decision_record/decision_recorder.hpp"

#include "process/decision_record/decision_chain.hpp"
#include "process/decision_record/decision_reason.hpp"

#include <algorithm>

namespace hickorygap
{

namespace
{

// Upper bounds of the encoded size of a record without candidates, of each
// candidate with its load, and of a batch without records.
// bench/decision_record_bench prints the exact sizes; a test checks that
// buffer_bytes is not exceeded.
constexpr std::uint64_t max_record_bytes = 104;
constexpr std::uint64_t max_candidate_bytes = 10;
constexpr std::uint64_t max_batch_overhead_bytes = 216;

std::uint64_t max_encoded_size(const wire::decision_record_msg& record)
{
    return max_record_bytes + max_candidate_bytes * record.candidates.size();
}

wire::decision_record_msg marker_record(
    decision_reason reason, std::uint64_t count, unix_millis wall_clock)
{
    wire::decision_record_msg marker;
    marker.reason = static_cast<std::uint8_t>(reason);
    marker.request = count;
    marker.unix_ms = wall_clock;
    return marker;
}

} // namespace

decision_recorder::decision_recorder(
    instance_id self, incarnation_number incarnation,
    decision_recorder_options options)
    : self_(self)
    , incarnation_(incarnation)
    , options_(options)
    , chain_(initial_chain_digest(self, incarnation))
    , budget_(static_cast<double>(options.bytes_per_second))
{
}

void decision_recorder::set_stores(std::vector<instance_id> stores)
{
    std::sort(
        stores.begin(), stores.end(),
        [this](instance_id left, instance_id right)
        {
            const auto order = [this](instance_id store) {
                return std::pair{
                    store != self_, ~rendezvous_score(self_, store)};
            };
            return order(left) < order(right);
        });
    stores_ = std::move(stores);
}

void decision_recorder::record(wire::decision_record_msg record, time_point now)
{
    // Reserve room for the gap record that may precede this record.
    if (buffered_bytes() + max_encoded_size(record) + max_record_bytes +
            2 * max_batch_overhead_bytes >
        options_.buffer_bytes)
    {
        if (unreported_drops_ == 0)
        {
            first_unreported_drop_ = record.unix_ms;
        }
        ++unreported_drops_;
        ++dropped_;
        return;
    }
    append_pending_gap_record(now);
    append(std::move(record), now);
}

void decision_recorder::close(unix_millis wall_clock, time_point now)
{
    append_pending_gap_record(now);
    append(marker_record(decision_reason::end_of_chain, 0, wall_clock), now);
    if (!open_batch_.empty())
    {
        seal_open_batch();
    }
    tick(now);
}

void decision_recorder::tick(time_point now)
{
    if (buffered_bytes() + max_record_bytes + max_batch_overhead_bytes <=
        options_.buffer_bytes)
    {
        append_pending_gap_record(now);
    }
    if (!open_batch_.empty() && now - open_batch_since_ >= options_.batch_delay)
    {
        seal_open_batch();
    }
    refill_budget(now);
    if (stores_.empty())
    {
        return;
    }
    for (sealed_batch& batch : sealed_batches_)
    {
        if (batch.sent && now - *batch.sent < options_.resend_after)
        {
            continue;
        }
        if (budget_ <= 0.0 && stores_.front() != self_)
        {
            return;
        }
        send(batch, now);
    }
}

void decision_recorder::receive(
    const wire::decision_batch_ack_msg& acknowledgement)
{
    if (acknowledgement.instance != self_ ||
        acknowledgement.incarnation != incarnation_)
    {
        return;
    }
    const auto found = std::find_if(
        sealed_batches_.begin(), sealed_batches_.end(),
        [&](const sealed_batch& batch)
        { return batch.content.sequence == acknowledgement.sequence; });
    if (found != sealed_batches_.end())
    {
        sealed_bytes_ -= found->bytes;
        sealed_batches_.erase(found);
    }
}

std::vector<outgoing_message> decision_recorder::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

void decision_recorder::append(wire::decision_record_msg record, time_point now)
{
    if (open_batch_.empty())
    {
        open_batch_since_ = now;
        open_batch_bytes_ = max_batch_overhead_bytes;
    }
    open_batch_bytes_ += max_encoded_size(record);
    open_batch_.push_back(std::move(record));
    if (open_batch_bytes_ >= options_.batch_bytes)
    {
        seal_open_batch();
    }
}

void decision_recorder::append_pending_gap_record(time_point now)
{
    if (unreported_drops_ > 0)
    {
        append(
            marker_record(
                decision_reason::gap, std::exchange(unreported_drops_, 0),
                first_unreported_drop_),
            now);
    }
}

void decision_recorder::seal_open_batch()
{
    sealed_batch batch;
    batch.content.instance = self_;
    batch.content.incarnation = incarnation_;
    batch.content.sequence = ++sequence_;
    for (wire::decision_record_msg& record : open_batch_)
    {
        batch.content.records.push_back(
            std::make_unique<wire::decision_record_msg>(std::move(record)));
    }
    open_batch_.clear();
    open_batch_bytes_ = 0;
    chain_ = seal_batch(batch.content, chain_);
    batch.bytes = encode_table<wire::decision_batch>(batch.content).size();
    sealed_bytes_ += batch.bytes;
    sealed_batches_.push_back(std::move(batch));
}

void decision_recorder::send(sealed_batch& batch, time_point now)
{
    const instance_id store = stores_[batch.attempts % stores_.size()];
    if (store != self_)
    {
        budget_ -= static_cast<double>(batch.bytes);
    }
    outgoing_.push_back(make_outgoing(store, batch.content));
    batch.sent = now;
    ++batch.attempts;
}

void decision_recorder::refill_budget(time_point now)
{
    const auto rate = static_cast<double>(options_.bytes_per_second);
    const duration elapsed = refilled_ ? now - *refilled_ : duration{0};
    const double seconds = std::chrono::duration<double>{elapsed}.count();
    budget_ = std::min(rate, budget_ + rate * seconds);
    refilled_ = now;
}

} // namespace hickorygap
