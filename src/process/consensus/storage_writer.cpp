#include "process/consensus/storage_writer.hpp"

#include <utility>

namespace hickorygap
{

storage_writer::storage_writer(
    std::unique_ptr<log_storage> storage, duration retry)
    : storage_{std::move(storage)}
    , retry_{retry}
{
}

absl::Status storage_writer::write(raft_node& node, time_point now)
{
    // A voter that elects itself alone writes again after its first sync.
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
            next_attempt_ = now + retry_;
            node.on_storage_failed(now);
            return status_;
        }
        unsynced_ = false;
        node.on_synced(now);
    }
    return absl::OkStatus();
}

} // namespace hickorygap
