#ifndef HICKORYGAP_PROCESS_CONSENSUS_LOG_STORAGE_HPP
#define HICKORYGAP_PROCESS_CONSENSUS_LOG_STORAGE_HPP

#include "process/consensus/voter_list.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace hickorygap
{

// Raft's persistent state besides the log: a voter must keep it across
// restarts.
struct hard_state
{
    std::uint64_t term = 0;

    // Candidate that this voter voted for in the term; zero for none.
    instance_id vote = 0;
    disk_id disk = 0;

    // Set only on the disk of the voter that created the group.
    std::optional<voter_list> bootstrap;

    // Index of the last log entry with a voter list that this voter knows to be
    // committed, so that it still knows after a restart; zero for none. Stored
    // where it decides which quorums elect a leader: for lists with half
    // quorums and those after them.
    std::uint64_t committed_list = 0;
};

// State that replaces all log entries up to index.
struct log_snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    voter_list configuration;
    std::vector<std::uint8_t> data;
};

using snapshot_ptr = std::shared_ptr<const log_snapshot>;

// The complete content of a log_storage.
struct stored_state
{
    // No hard state yet: the data folder is new.
    bool empty = true;
    hard_state hard;

    // Null when the log was never compacted.
    snapshot_ptr snapshot;

    // Consecutive indexes; the first one follows the snapshot.
    std::vector<wire::log_entry_msg> entries;
};

// One change of the stored state.
struct storage_write
{
    std::optional<hard_state> hard;

    // When set, the snapshot and `entries` replace the whole log.
    snapshot_ptr snapshot;

    // Without a snapshot: they replace all entries from the index of the first
    // one on.
    std::vector<wire::log_entry_msg> entries;

    bool empty() const
    {
        return !hard && !snapshot && entries.empty();
    }
};

// Durable state of one voter.
class log_storage
{
public:
    log_storage() = default;
    log_storage(const log_storage&) = delete;
    log_storage& operator=(const log_storage&) = delete;
    virtual ~log_storage() = default;

    // Reads the stored state; called once, before any other function. Errors:
    // error_kind::storage_damaged when the state is corrupt and the voter must
    // not run; storage_failed when it could not be read.
    virtual absl::StatusOr<stored_state> load() = 0;

    // Buffers a change in memory; it is durable after the next successful sync.
    virtual void write(storage_write change) = 0;

    // Makes all buffered changes durable. Error: error_kind::storage_failed;
    // the changes stay buffered and the next call tries again.
    virtual absl::Status sync() = 0;
};

} // namespace hickorygap

#endif
