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

// Result of reading a whole store.
struct store_verification
{
    std::uint64_t batches = 0;
    std::uint64_t records = 0;
    std::vector<decision_gap> gaps;

    // Places that are damaged or were changed; empty when all is well.
    std::vector<std::string> damages;
};

// Decision records of all instances on one instance's disk, in numbered
// files that are only appended to. Each file holds frames of length,
// checksum and batch. A closed file has an index next to it, so that a start
// reads only the last file. Safe from any thread; reports read files without
// holding up appends.
class decision_store
{
public:
    struct options
    {
        // Size at which a file is closed and the next one begun.
        std::uint64_t file_bytes = 64UL * 1024 * 1024;
    };

    // Opens or makes the store in a folder. A torn frame at the end of the
    // last file is cut off. Errors: storage_failed, storage_damaged.
    static absl::StatusOr<std::unique_ptr<decision_store>>
    open(const std::string& folder, options limits);

    decision_store(const decision_store&) = delete;
    decision_store& operator=(const decision_store&) = delete;
    ~decision_store();

    // Writes a batch; its acknowledgement follows from the next sync().
    // Batches that are held already are acknowledged only. Errors:
    // invalid_request when the chain doesn't match, storage_failed.
    absl::Status append(const wire::decision_batch_msg& batch);

    // Makes all appended batches durable and returns their acknowledgements.
    // One call for many batches saves disk time.
    absl::StatusOr<std::vector<wire::decision_batch_ack_msg>> sync();

    // Matching records, oldest first, with the gaps of all chains.
    absl::StatusOr<decision_list> query(const decision_query& query) const;

    // Reads all files and checks every checksum and link.
    absl::StatusOr<store_verification> verify() const;

    // Held batches, e.g. to compare with other stores.
    chain_index index() const;

private:
    // One file and the time range of its records.
    struct record_file
    {
        std::uint64_t number = 0;

        // Valid bytes; the file may be longer when it is damaged.
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
    absl::Status rotate();
    absl::Status write_all(const std::vector<std::uint8_t>& bytes);
    absl::Status write_index(const record_file& file) const;
    bool read_index(record_file& file) const;
    std::string path_of(std::uint64_t number, const char* extension) const;
    // The files without their indexes.
    std::vector<record_file> files() const;
    absl::Status failure(std::string_view action);

    std::string folder_;
    options limits_;
    mutable std::mutex mutex_;
    std::vector<record_file> files_;
    chain_index index_;
    std::vector<wire::decision_batch_ack_msg> unsynced_;
    int descriptor_ = -1;

    // Set when the disk has lost writes; nothing is accepted until a restart
    // has read what is really there.
    bool failed_ = false;
};

} // namespace hickorygap

#endif
