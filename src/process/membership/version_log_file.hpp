#ifndef HICKORYGAP_PROCESS_MEMBERSHIP_VERSION_LOG_FILE_HPP
#define HICKORYGAP_PROCESS_MEMBERSHIP_VERSION_LOG_FILE_HPP

#include "process/membership/version_document.hpp"

#include <absl/status/statusor.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace hickorygap
{

// The documents that this instance has applied, in one append-only file in the
// data folder. A document must be appended before it is applied, so that a
// restarted instance never goes back to an older version than it had applied.
//
// Each record is a length, a checksum and a version_entry. An incomplete last
// record is the result of a crash during append; open truncates it.
class version_log_file
{
public:
    // Opens or creates the file. Errors: storage_damaged when a record before
    // the last one is damaged, storage_failed when the file can't be used.
    static absl::StatusOr<std::unique_ptr<version_log_file>>
    open(const std::filesystem::path& path);

    ~version_log_file();
    version_log_file(const version_log_file&) = delete;
    version_log_file& operator=(const version_log_file&) = delete;

    // Documents found by open; empty after the first call.
    std::vector<version_document> take_documents();

    // Appends documents and syncs the file. Versions that the file already has
    // are skipped. Errors: storage_failed, for example on a full disk; the file
    // is then unchanged and the call may be repeated. invalid_request for a gap
    // between versions.
    absl::Status append(std::span<const version_document_ptr> documents);

    // Highest version in the file.
    configuration_version last_version() const
    {
        return last_version_;
    }

private:
    version_log_file(int descriptor, std::filesystem::path path);

    absl::Status load();
    absl::Status write_at_end(std::span<const std::uint8_t> bytes);

    int descriptor_;
    std::filesystem::path path_;
    std::uint64_t size_ = 0;
    configuration_version last_version_ = 0;
    std::vector<version_document> documents_;
};

} // namespace hickorygap

#endif
