#include "common/address.hpp"

#include "common/error.hpp"
#include "common/text.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>

namespace hickorygap
{

bool is_ip_number(std::string_view text)
{
    if (text.find('\0') != std::string_view::npos)
    {
        // inet_pton would read the text before it only.
        return false;
    }
    const std::string terminated{text};
    in6_addr buffer{};
    return inet_pton(AF_INET, terminated.c_str(), &buffer) == 1 ||
           inet_pton(AF_INET6, terminated.c_str(), &buffer) == 1;
}

absl::StatusOr<numeric_address> parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[';
    if (bracketed && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view port_text =
        colon == std::string_view::npos ? "" : text.substr(colon + 1);
    std::uint16_t port = 0;
    // An IPv6 address needs brackets; without them its last group would be
    // parsed as the port.
    if (!is_ip_number(host) ||
        (host.find(':') != std::string_view::npos) != bracketed ||
        !parse_number(port_text, port) || port == 0)
    {
        return make_error(
            error_kind::invalid_request,
            fmt::format(
                "must be an IP number and a port from 1 to 65535, such as "
                "127.0.0.1:9001 or [::1]:9001; it is \"{}\"",
                text));
    }
    return numeric_address{std::string{host}, port};
}

std::string format_address(std::string_view host, std::uint16_t port)
{
    return host.find(':') == std::string_view::npos
               ? fmt::format("{}:{}", host, port)
               : fmt::format("[{}]:{}", host, port);
}

} // namespace hickorygap
