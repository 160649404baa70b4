#ifndef HICKORYGAP_PROCESS_CONSENSUS_STORAGE_WRITER_HPP
#define HICKORYGAP_PROCESS_CONSENSUS_STORAGE_WRITER_HPP

#include "process/consensus/raft_node.hpp"

#include <memory>

namespace hickorygap
{

// Makes the changes of a raft node durable and tells it so.
class storage_writer
{
public:
    // retry: pause between attempts to write to a storage that failed.
    storage_writer(std::unique_ptr<log_storage> storage, duration retry);

    // Writes and syncs everything that the node has changed, with one sync
    // unless the node changes more because of it. Error: storage_failed; the
    // node has been told, and a later call tries again.
    absl::Status write(raft_node& node, time_point now);

    // Result of the last attempt.
    const absl::Status& status() const
    {
        return status_;
    }

private:
    std::unique_ptr<log_storage> storage_;
    duration retry_;
    absl::Status status_;
    time_point next_attempt_;
    bool unsynced_ = false;
};

} // namespace hickorygap

#endif
