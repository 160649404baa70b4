#ifndef HICKORYGAP_TESTS_SUPPORT_MEMORY_LOG_STORAGE_HPP
#define HICKORYGAP_TESTS_SUPPORT_MEMORY_LOG_STORAGE_HPP

#include "process/consensus/log_storage.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace hickorygap::test
{

// Simulated disk that survives a crash of the process. Holds synced changes
// only.
struct memory_disk
{
    stored_state synced;
    bool full = false;
};

// Log storage on a memory_disk. Destroying it simulates a crash: changes that
// were written but not synced are lost.
class memory_log_storage final : public log_storage
{
public:
    explicit memory_log_storage(std::shared_ptr<memory_disk> disk)
        : disk_{std::move(disk)}
    {
    }

    absl::StatusOr<stored_state> load() override
    {
        return disk_->synced;
    }

    void write(storage_write change) override
    {
        unsynced_.push_back(std::move(change));
    }

    absl::Status sync() override
    {
        if (disk_->full)
        {
            return make_error(
                error_kind::storage_failed, "the disk is full; free space");
        }
        for (storage_write& change : unsynced_)
        {
            apply(std::move(change));
        }
        unsynced_.clear();
        return absl::OkStatus();
    }

private:
    void apply(storage_write change)
    {
        stored_state& state = disk_->synced;
        if (change.hard)
        {
            state.hard = *change.hard;
            state.empty = false;
        }
        if (change.snapshot)
        {
            state.snapshot = change.snapshot;
            state.entries.clear();
        }
        if (!change.entries.empty())
        {
            const std::uint64_t first = change.entries.front().index;
            std::erase_if(
                state.entries, [first](const wire::log_entry_msg& entry)
                { return entry.index >= first; });
        }
        std::ranges::move(change.entries, std::back_inserter(state.entries));
    }

    std::shared_ptr<memory_disk> disk_;
    std::vector<storage_write> unsynced_;
};

} // namespace hickorygap::test

#endif
