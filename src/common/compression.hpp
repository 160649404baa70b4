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

// zlib form of a text.
std::vector<std::uint8_t> compress(std::string_view text);

// Error: invalid_request, when the bytes are damaged or the text would be
// longer than max_size bytes.
absl::StatusOr<std::string>
decompress(std::span<const std::uint8_t> data, std::size_t max_size);

} // namespace hickorygap

#endif
