#include "process/consensus/storage_writer.hpp"

#include <utility>

namespace hickorygap
{

storage_writer::storage_writer(
    std::unique_ptr<log_storage> storage, duration retry_interval)
    : storage_{std::move(storage)}
    , retry_interval_{retry_interval}
{
}

absl::Status storage_writer::write(raft_node& node, time_point now)
{
    // The sync of its own vote makes the only voter of a group the leader,
    // which appends entries that need another sync.
    while (node.has_writes() || unsynced_)
    {
        if (node.has_writes())
        {
            storage_->write(node.take_writes());
            unsynced_ = true;
        }
        if (!status_.ok() && now < next_attempt_)
        {
            return status_;
        }
        status_ = storage_->sync();
        if (!status_.ok())
        {
            next_attempt_ = now + retry_interval_;
            node.on_storage_failed(now);
            return status_;
        }
        unsynced_ = false;
        node.on_synced(now);
    }
    return absl::OkStatus();
}

} // namespace hickorygap
