#include "process/control/decision_record_service.hpp"

#include "common/logging.hpp"
#include "common/status_text.hpp"
#include "process/decision_record/decision_reason.hpp"
#include "request/placement/cell_owner.hpp"

#include <utility>

namespace hickorygap
{

namespace
{

decision_reason stored_reason_of(placement_reason reason)
{
    switch (reason)
    {
    case placement_reason::directory:
        return decision_reason::directory;
    case placement_reason::least_loaded:
        return decision_reason::least_loaded;
    case placement_reason::isolated:
        return decision_reason::isolated;
    case placement_reason::local:
        return decision_reason::owner_unreachable;
    case placement_reason::ended:
        return decision_reason::ended;
    default:
        return decision_reason::unknown;
    }
}

} // namespace

decision_record_service::decision_record_service(
    decision_record_service_options options)
    : options_(std::move(options))
    , recorder_(options_.self, options_.incarnation, options_.recorder)
{
}

absl::StatusOr<std::unique_ptr<decision_record_service>>
decision_record_service::open(decision_record_service_options options)
{
    std::unique_ptr<decision_record_service> service{
        new decision_record_service{std::move(options)}};
    if (service->options_.folder.empty())
    {
        return service;
    }
    auto store =
        decision_store::open(service->options_.folder, service->options_.store);
    if (!store.ok())
    {
        return store.status();
    }
    service->store_ = *std::move(store);
    return service;
}

void decision_record_service::set_stores(std::vector<instance_id> stores)
{
    recorder_.set_stores(std::move(stores));
}

void decision_record_service::record(
    std::vector<wire::decision_record_msg> records, const clock_reading& now)
{
    for (wire::decision_record_msg& record : records)
    {
        convert_to_stored_codes(record);
        record.unix_ms = now.unix_time;
        recorder_.record(std::move(record), now.monotonic);
    }
}

void decision_record_service::receive(const wire::payloadUnion& payload)
{
    if (const auto* batch = message_in<wire::decision_batch_msg>(payload))
    {
        store_batch(*batch);
    }
    else if (
        const auto* ack = message_in<wire::decision_batch_ack_msg>(payload))
    {
        recorder_.receive(*ack);
    }
}

// Replaces placement's enum values, which may change between releases, by the
// codes of the stored format, which must not.
void decision_record_service::convert_to_stored_codes(
    wire::decision_record_msg& record)
{
    const auto reason = static_cast<placement_reason>(record.reason);
    if (reason == placement_reason::refused)
    {
        record.reason =
            reason_of(static_cast<wire::refusal_reason>(record.outcome));
        record.outcome = 0;
        return;
    }
    record.outcome =
        reason == placement_reason::ended
            ? outcome_of(static_cast<wire::attempt_outcome>(record.outcome))
            : 0;
    record.reason = static_cast<std::uint8_t>(stored_reason_of(reason));
}

void decision_record_service::store_batch(const wire::decision_batch_msg& batch)
{
    if (store_ == nullptr)
    {
        return;
    }
    const absl::Status status = store_->append(batch);
    if (!status.ok())
    {
        log(log_level::error, subsystem::records,
            "batch_refused instance={} sequence={} reason=\"{}\"",
            batch.instance, batch.sequence, message_of(status));
        return;
    }
    has_unsynced_batches_ = true;
}

void decision_record_service::tick(const clock_reading& now)
{
    recorder_.tick(now.monotonic);
    if (has_unsynced_batches_)
    {
        has_unsynced_batches_ = false;
        sync_and_acknowledge();
    }
}

void decision_record_service::sync_and_acknowledge()
{
    auto acknowledgements = store_->sync();
    if (!acknowledgements.ok())
    {
        log(log_level::error, subsystem::records,
            "batches_not_stored reason=\"{}\"",
            message_of(acknowledgements.status()));
        return;
    }
    for (const wire::decision_batch_ack_msg& each : *acknowledgements)
    {
        outgoing_.push_back(make_outgoing(each.instance, each));
    }
}

std::vector<outgoing_message> decision_record_service::take_outgoing()
{
    for (outgoing_message& message : recorder_.take_outgoing())
    {
        outgoing_.push_back(std::move(message));
    }
    return std::exchange(outgoing_, {});
}

void decision_record_service::close(const clock_reading& now)
{
    recorder_.close(now.unix_time, now.monotonic);
}

} // namespace hickorygap
