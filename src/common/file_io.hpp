#ifndef HICKORYGAP_COMMON_FILE_IO_HPP
#define HICKORYGAP_COMMON_FILE_IO_HPP

#include <absl/status/status.h>
#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Whole content of a file; empty when it can't be read.
std::vector<std::uint8_t> read_file(const std::string& path);

// Number after the prefix in the name of a file; nullopt for other names.
std::optional<std::uint64_t>
file_number(std::string_view name, std::string_view prefix);

// Writes all bytes at the offset. False on an error; errno says which.
bool write_all(int file, std::span<const std::uint8_t> data, off_t offset);

// Makes the names of new, renamed and removed files in a folder durable. False
// on an error; errno says which.
bool sync_folder(const std::string& folder);

// The error of an action on a file or folder of a voter, with the reason that
// errno names. Kind: storage_failed.
absl::Status file_error(std::string_view action, std::string_view file);

} // namespace hickorygap

#endif
