#ifndef HICKORYGAP_COMMON_COMPRESSION_HPP
#define HICKORYGAP_COMMON_COMPRESSION_HPP

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickorygap
{

// Compresses a text with zstd, with a checksum. With a similar reference text
// the result is little larger than the difference between the two.
std::vector<std::uint8_t>
compress(std::string_view text, std::string_view reference = {});

// The inverse of compress(); needs the same reference. Error: invalid_request
// when the data is damaged, the reference differs, or the text would be longer
// than max_size bytes.
absl::StatusOr<std::string> decompress(
    std::span<const std::uint8_t> data, std::size_t max_size,
    std::string_view reference = {});

} // namespace hickorygap

#endif
