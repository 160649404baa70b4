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

// zstd form of a text, with a checksum. With a reference text that is similar,
// it is little more than the difference.
std::vector<std::uint8_t>
compress(std::string_view text, std::string_view reference = {});

// Needs the same reference. Error: invalid_request, when the bytes are damaged,
// the reference is another one, or the text would be longer than max_size
// bytes.
absl::StatusOr<std::string> decompress(
    std::span<const std::uint8_t> data, std::size_t max_size,
    std::string_view reference = {});

} // namespace hickorygap

#endif
