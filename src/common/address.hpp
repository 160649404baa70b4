#ifndef HICKORYGAP_COMMON_ADDRESS_HPP
#define HICKORYGAP_COMMON_ADDRESS_HPP

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorygap
{

// IP address and port.
struct numeric_address
{
    std::string host;
    std::uint16_t port = 0;

    friend bool
    operator==(const numeric_address&, const numeric_address&) = default;
};

// Parses "127.0.0.1:9001" or "[::1]:9001". Host names are rejected, because the
// processes don't resolve names. Error: invalid_request; its message continues
// a sentence that starts with the path of the setting.
absl::StatusOr<numeric_address> parse_address(std::string_view text);

// Whether the text is an IPv4 or IPv6 address without brackets.
bool is_ip_number(std::string_view text);

// The inverse of parse_address.
std::string format_address(std::string_view host, std::uint16_t port);

} // namespace hickorygap

#endif
