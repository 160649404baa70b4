#ifndef HICKORYGAP_PROCESS_CONTROL_DECISION_RECORD_SERVICE_HPP
#define HICKORYGAP_PROCESS_CONTROL_DECISION_RECORD_SERVICE_HPP

#include "process/control/clock_reading.hpp"
#include "process/decision_record/decision_recorder.hpp"
#include "process/decision_record/decision_store.hpp"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

struct decision_record_service_options
{
    instance_id self = 0;
    incarnation_number incarnation = 0;

    // Folder of the store; empty on an instance without a store.
    std::string folder;
    decision_recorder_options recorder;
    decision_store::options store;
};

// Records the placement decisions of this instance, sends them to instances
// with a store and, on such an instance, stores the batches that arrive. Used
// by the control thread only, except where noted.
class decision_record_service
{
public:
    // Errors: storage_failed, storage_damaged.
    static absl::StatusOr<std::unique_ptr<decision_record_service>>
    open(decision_record_service_options options);

    // Sets the live instances that have a store.
    void set_stores(std::vector<instance_id> stores);
    void record(
        std::vector<wire::decision_record_msg> records,
        const clock_reading& now);

    // Handles decision_batch and decision_batch_ack; ignores other payloads.
    void receive(const wire::payloadUnion& payload);

    // Sends the batches that are due; syncs received batches to disk and
    // acknowledges them.
    void tick(const clock_reading& now);
    std::vector<outgoing_message> take_outgoing();

    // Marks the end of this instance's chain of records at a graceful
    // shutdown.
    void close(const clock_reading& now);
    bool all_stored() const
    {
        return recorder_.all_stored();
    }

    // Null without a store. Safe from any thread.
    const decision_store* store() const
    {
        return store_.get();
    }

private:
    explicit decision_record_service(decision_record_service_options options);

    static void convert_to_stored_codes(wire::decision_record_msg& record);
    void store_batch(const wire::decision_batch_msg& batch);
    void sync_and_acknowledge();

    decision_record_service_options options_;
    decision_recorder recorder_;
    std::unique_ptr<decision_store> store_;
    bool has_unsynced_batches_ = false;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
