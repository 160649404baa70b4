#ifndef HICKORYGAP_PROCESS_CONSENSUS_STORAGE_WRITER_HPP
#define HICKORYGAP_PROCESS_CONSENSUS_STORAGE_WRITER_HPP

#include "process/consensus/raft_node.hpp"

#include <memory>

namespace hickorygap
{

// Makes the changes of a raft_node durable and reports the result to it.
class storage_writer
{
public:
    // retry_interval: delay between attempts to write to a storage that failed.
    storage_writer(
        std::unique_ptr<log_storage> storage, duration retry_interval);

    // Writes and syncs all changes of the node, with one sync unless the sync
    // itself causes further changes. Error: storage_failed; the node has been
    // notified, and a later call tries again.
    absl::Status write(raft_node& node, time_point now);

    // Result of the last sync.
    const absl::Status& status() const
    {
        return status_;
    }

private:
    std::unique_ptr<log_storage> storage_;
    duration retry_interval_;
    absl::Status status_;
    time_point next_attempt_;
    bool unsynced_ = false;
};

} // namespace hickorygap

#endif
