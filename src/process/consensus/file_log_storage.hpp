#ifndef HICKORYGAP_PROCESS_CONSENSUS_FILE_LOG_STORAGE_HPP
#define HICKORYGAP_PROCESS_CONSENSUS_FILE_LOG_STORAGE_HPP

#include "process/consensus/log_storage.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Stores the log in one folder, which no other object or process may use.
//
// log-<n>: the current segment. It starts with the complete state after the
// snapshot, so older segments are not needed and are deleted. Each sync
// appends one checksummed frame; only the last frame can be torn by a crash.
//
// snapshot-<index>: the snapshot that the segment's header names.
//
// synced: length of the segment in bytes after the last successful sync. The
// file itself is not synced, so the length may be out of date but is never too
// large. Damage below that length can't be the result of a crash.
class file_log_storage final : public log_storage
{
public:
    explicit file_log_storage(std::string folder);
    ~file_log_storage() override;

    absl::StatusOr<stored_state> load() override;
    void write(storage_write change) override;
    absl::Status sync() override;

private:
    absl::Status load_segment(stored_state& state);
    absl::Status read_frames(
        std::span<const std::uint8_t> content, stored_state& state,
        std::uint64_t& valid_length);
    absl::Status load_snapshot(std::uint64_t index, stored_state& state);
    std::uint64_t read_synced_length() const;
    void write_synced_length();

    absl::Status append_pending();
    absl::Status start_segment();
    absl::Status write_snapshot_file();
    void remove_obsolete_files();
    void close_segment();
    std::string path(std::string_view name) const;

    std::string folder_;
    int segment_file_ = -1;
    std::uint64_t segment_ = 0;
    std::uint64_t segment_length_ = 0;

    // The complete state with all changes, written to each new segment.
    stored_state state_;

    // Changes since the last sync.
    storage_write pending_;
    bool new_segment_needed_ = true;
};

} // namespace hickorygap

#endif
