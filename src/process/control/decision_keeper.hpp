#ifndef HICKORYGAP_PROCESS_CONTROL_DECISION_KEEPER_HPP
#define HICKORYGAP_PROCESS_CONTROL_DECISION_KEEPER_HPP

#include "process/control/clock_reading.hpp"
#include "process/decision_record/decision_recorder.hpp"
#include "process/decision_record/decision_store.hpp"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace hickorygap
{

struct decision_keeper_options
{
    instance_id self = 0;
    incarnation_number incarnation = 0;

    // Folder of the store; empty on an instance that keeps no store.
    std::string folder;
    decision_recorder_options recorder;
    decision_store::options store;
};

// Records the decisions of this instance and, on an instance with a store,
// keeps those of others. Belongs to the control thread, except where noted.
class decision_keeper
{
public:
    // Errors: storage_failed, storage_damaged.
    static absl::StatusOr<std::unique_ptr<decision_keeper>>
    open(decision_keeper_options options);

    // Live instances that keep a store.
    void set_stores(std::vector<instance_id> stores);
    void record(
        std::vector<wire::decision_record_msg> records,
        const clock_reading& now);

    // Handles decision_batch and decision_batch_ack; ignores others.
    void receive(const wire::payloadUnion& payload);

    // Ships what is due and makes received batches durable.
    void tick(const clock_reading& now);
    std::vector<outgoing_message> take_outgoing();

    // Marks the end of this instance's chain, at a graceful shutdown.
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
    explicit decision_keeper(decision_keeper_options options);

    static void set_stored_values(wire::decision_record_msg& record);
    void take_batch(const wire::decision_batch_msg& batch);
    void acknowledge();

    decision_keeper_options options_;
    decision_recorder recorder_;
    std::unique_ptr<decision_store> store_;
    bool unsynced_ = false;
    std::vector<outgoing_message> outgoing_;
};

} // namespace hickorygap

#endif
