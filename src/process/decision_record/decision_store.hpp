#ifndef HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_STORE_HPP
#define HICKORYGAP_PROCESS_DECISION_RECORD_DECISION_STORE_HPP

#include "process/decision_record/decision_chain.hpp"
#include "process/decision_record/decision_query.hpp"
#include "process/decision_record/record_frames.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Result of decision_store::verify().
struct store_verification
{
    std::uint64_t batches = 0;
    std::uint64_t records = 0;
    std::vector<decision_gap> gaps;

    // Descriptions of the places that are corrupt or were altered.
    std::vector<std::string> corruptions;
};

// Stores decision records of all instances on this instance's disk, in numbered
// append-only files. Each file is a sequence of frames with length, checksum
// and batch. A closed file has an index file next to it, so that opening the
// store reads only the last file of records. Thread-safe; query() and verify()
// read files without blocking appends.
class decision_store
{
public:
    struct options
    {
        // A file of this size or more is closed and the next one created.
        std::uint64_t file_bytes = 64UL * 1024 * 1024;
    };

    // Opens or creates the store in a folder. A torn frame at the end of the
    // last file is truncated; damaged frames are kept, and appends go to a new
    // file. Error: storage_failed.
    static absl::StatusOr<std::unique_ptr<decision_store>>
    open(const std::string& folder, options limits);

    decision_store(const decision_store&) = delete;
    decision_store& operator=(const decision_store&) = delete;
    ~decision_store();

    // Writes a batch, which the next sync() acknowledges. A batch that is
    // already stored is acknowledged again and not written. Errors:
    // invalid_request when the batch doesn't match its chain, storage_failed.
    absl::Status append(const wire::decision_batch_msg& batch);

    // Makes all appended batches durable and returns their acknowledgements.
    // Call it once for many batches: every call waits for the disk. Error:
    // storage_failed.
    absl::StatusOr<std::vector<wire::decision_batch_ack_msg>> sync();

    // Returns the matching records, oldest first, and the gaps of all chains.
    absl::StatusOr<decision_list> query(const decision_query& query) const;

    // Reads all files and checks every checksum and every digest of the chains.
    absl::StatusOr<store_verification> verify() const;

    // Index of the stored batches, e.g. to compare with other stores.
    chain_index index() const;

private:
    // One file with the time range and the index of its records.
    struct record_file
    {
        std::uint64_t number = 0;

        // Length of the valid frames; a damaged file may be longer.
        std::uint64_t bytes = 0;
        unix_millis first_time = std::numeric_limits<unix_millis>::max();
        unix_millis last_time = 0;
        chain_index index;
    };

    decision_store(std::string folder, options limits);

    absl::Status load();
    absl::Status open_last_file(frames_tail tail);
    frames_tail scan(record_file& file) const;
    absl::Status start_file(std::uint64_t number);
    absl::Status sync_last_file();
    absl::Status rotate();
    absl::Status write_all(const std::vector<std::uint8_t>& bytes);
    absl::Status write_index(const record_file& file) const;
    bool read_index(record_file& file) const;
    std::string path_of(std::uint64_t number, const char* extension) const;
    // Copies of the entries of files_, with empty indexes.
    std::vector<record_file> file_list() const;

    // storage_failed with the folder, and errno or the earlier lost write as
    // the cause.
    absl::Status storage_error(std::string_view action);

    std::string folder_;
    options limits_;
    mutable std::mutex mutex_;
    std::vector<record_file> files_;
    chain_index index_;
    std::vector<wire::decision_batch_ack_msg> unsynced_;
    int descriptor_ = -1;

    // Set when a write may be lost. Appends are then refused until a restart
    // has read what the files contain.
    bool failed_ = false;
};

} // namespace hickorygap

#endif
